import type { Refusal } from "../model/calls.js";

/** Calls of those who submit jobs. */
export enum CallerOperation {
    Submit = "submit",
    Cancel = "cancel",
    JobState = "job-state",
    PendingJobs = "pending-jobs",
}

/** A refused call, as reported to operators. It holds neither the API key nor its digest. */
export interface CallRefusal {
    operation: CallerOperation;
    refusal: Refusal;
    /** Whether the call has a key, valid or not. */
    hasKey: boolean;
    /** Organisation of the key; undefined without a valid key. */
    organisation: string | undefined;
    path: string | undefined;
    /** Undefined for a call that names no job. */
    jobId: string | undefined;
    /** Organisation of the job; undefined if it has none or is not known. */
    owner: string | undefined;
}
