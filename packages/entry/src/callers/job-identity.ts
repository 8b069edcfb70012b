import type { Job } from "@waxwingspread/protocol";

/** Identifies a job in the whole system: the request id is unique only among the jobs of its customer. */
export interface JobIdentity {
    customer: string;
    requestId: string;
}

/** Returns whether the job has the identity. Checked on every reply, so that no customer gets another one's job. */
export const isJobOf = (job: Job, identity: JobIdentity): boolean =>
    job.specification?.customer === identity.customer && job.specification.requestId === identity.requestId;
