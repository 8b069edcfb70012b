import type { Job } from "@waxwingspread/protocol";

/** Identifies a job within the whole system. */
export interface JobIdentity {
    customer: string;
    requestId: string;
}

/** True when the job is the one asked for; checked on every reply, so that no customer gets another one's job. */
export const isJobOf = (job: Job, identity: JobIdentity): boolean =>
    job.specification?.customer === identity.customer && job.specification.requestId === identity.requestId;
