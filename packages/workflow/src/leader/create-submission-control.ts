import type { OrganisationLimits } from "../organisations/organisation-limits.js";
import { checkQuota } from "../organisations/quota-check.js";
import { SubmissionRates } from "../organisations/submission-rates.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { JobAdmission } from "./job-admission.js";
import type { OverloadControl } from "./overload/overload-control.js";
import type { Planner } from "./planner.js";
import type { LeaderSettings } from "./settings.js";
import { SubmissionControl } from "./submission-control.js";
import type { WorkQueue } from "./work-queue.js";

/** What a leader's checks of submissions depend on. */
interface SubmissionControlSources {
    state: WorkflowState;
    settings: LeaderSettings;
    queue: WorkQueue;
    planner: Planner;
    limits: OrganisationLimits;
    overload: OverloadControl;
}

/** Creates a leader's checks of submissions. */
export const createSubmissionControl = (
    { state, settings, queue, planner, limits, overload }: SubmissionControlSources,
): SubmissionControl => {
    const { contracts, ledger } = limits;
    const rates = new SubmissionRates({
        contracts,
        ledger,
        queue,
        hasRoomFor: (job, contract, times) => planner.hasRoomFor(job, contract, times),
    });
    return new SubmissionControl({
        classify: (job, nowMs) => rates.classify(job, nowMs),
        checks: [
            job => checkQuota(job, contracts),
            (job, contract, times) => rates.check(job, contract, times),
            overload.check,
        ],
        admission: new JobAdmission({ state, maxBytes: settings.maxJobBytes }),
        recordRefusal: (job, { refusal }) => {
            limits.refusals.record(job, refusal);
            rates.recordRefusal(job);
        },
    });
};
