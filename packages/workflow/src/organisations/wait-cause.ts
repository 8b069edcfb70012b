import type { WaitingStep } from "../leader/work-queue.js";
import type { FairShares } from "./fair-shares.js";
import type { OrganisationLimits } from "./organisation-limits.js";
import { exceedsQuota } from "./quota-check.js";

/** What holds back a waiting task beside the servers. */
export enum WaitCause {
    /** A task or gang of the step needs more than the whole quota of its organisation; a later configuration lowered it. */
    AboveQuota = "above-quota",
    /** The organisation holds as much as its quota allows. */
    Quota = "quota",
    /** The job was submitted beyond the agreed rate of its organisation, so that all other work precedes it. */
    Rate = "rate",
    /** The organisation holds more than its share, so that the work of others precedes it. */
    Share = "share",
}

/** Returns what the limits of its organisation have to do with the wait of a step; undefined for nothing. */
export const waitCauseOf = (
    { job, step }: WaitingStep,
    { ledger, contracts }: OrganisationLimits,
    shares: FairShares,
): WaitCause | undefined => {
    const { organisation } = job.specification;
    if (organisation === undefined) {
        return undefined;
    }
    if (exceedsQuota(step, contracts.find(organisation))) {
        return WaitCause.AboveQuota;
    }
    if (!ledger.allowsStart(job, step)) {
        return WaitCause.Quota;
    }
    if (job.specification.exceedsRate === true) {
        return WaitCause.Rate;
    }
    return shares.relativeShareOf(organisation, job.queue.priority) > 1 ? WaitCause.Share : undefined;
};
