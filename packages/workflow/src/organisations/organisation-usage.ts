import { zeroAmounts } from "@waxwingspread/common";
import type { WorkQueue } from "../leader/work-queue.js";
import type { Amounts } from "../model/specification.js";
import { TaskPhase } from "../state/occurrence-records.js";
import type { OrganisationLimits } from "./organisation-limits.js";
import type { RefusedSubmissions } from "./refusal-counts.js";

/** What an organisation holds, waits for and may hold at one time. */
export interface OrganisationUsage {
    organisation: string;
    /** Tasks that are assigned to servers, and runs that servers report and the leader doesn't track. */
    assignedTasks: number;
    waitingTasks: number;
    held: Amounts;
    /** Undefined for an organisation that the configuration doesn't name any more. */
    quota: Amounts | undefined;
    /** Dominant share of the fleet that it holds. */
    heldShare: number;
    /** Dominant share of the fleet that it is entitled to while all of it is in use. */
    entitledShare: number;
    /** Submissions refused since the leader's election. */
    refused: RefusedSubmissions;
}

/** Returns the usage of all organisations that hold, wait for or were refused something, the busiest ones first. */
export const organisationUsageOf = (limits: OrganisationLimits, queue: WorkQueue): OrganisationUsage[] => {
    const { ledger, contracts, refusals } = limits;
    const waiting = waitingTasksByOrganisation(queue);
    const shares = limits.sharesWith(waiting.keys());
    const names = new Set([...ledger.holdings.keys(), ...waiting.keys(), ...refusals.organisations]);
    return [...names]
        .map(organisation => {
            const holding = ledger.holdings.get(organisation);
            return {
                organisation,
                assignedTasks: holding?.tasks ?? 0,
                waitingTasks: waiting.get(organisation) ?? 0,
                held: { ...holding?.amounts ?? zeroAmounts() },
                quota: contracts.find(organisation)?.quota,
                heldShare: shares.dominantShareOf(organisation, Infinity),
                entitledShare: shares.entitlementOf(organisation, Infinity),
                refused: refusals.of(organisation),
            };
        })
        .sort((a, b) => b.assignedTasks + b.waitingTasks - a.assignedTasks - a.waitingTasks);
};

const waitingTasksByOrganisation = (queue: WorkQueue): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const { job, record } of queue.steps) {
        const { organisation } = job.specification;
        if (organisation !== undefined) {
            const count = record.tasks.filter(({ phase }) => phase === TaskPhase.Waiting).length;
            counts.set(organisation, (counts.get(organisation) ?? 0) + count);
        }
    }
    return counts;
};
