import type { TaskKind } from "../../model/specification.js";
import { TaskPhase } from "../../state/occurrence-records.js";
import type { Exclusion, ServerCounts } from "../placement.js";
import { isExpectedLate } from "../work-queue.js";
import type { WaitingStep } from "../work-queue.js";
import { taskWorkCoreSeconds } from "./job-work.js";

/** Steps of one group whose servers are counted, which bounds the cost of a summary. */
const MAX_SAMPLED_STEPS = 8;

/** The waiting steps of one kind and priority. */
export interface WaitSummary {
    kind: TaskKind;
    priority: number;
    steps: number;
    /** Steps whose jobs end late even if they begin now. */
    lateSteps: number;
    tasks: number;
    /** Estimated CPU time that the waiting tasks need. */
    workCoreSeconds: number;
    longestWaitMs: number;
    /** Steps of which {@link excludedServers} tells, spread evenly over the scheduling order. */
    sampledSteps: number;
    /** Servers with room for a sampled step, summed over these steps. */
    serversWithRoom: number;
    /** The other servers by the reason that excludes them, summed over the sampled steps. */
    excludedServers: Partial<Record<Exclusion, number>>;
}

/** Summarizes the waiting steps by kind and priority. */
export const summarizeWaits = (
    steps: readonly WaitingStep[],
    countServers: (waiting: WaitingStep) => ServerCounts,
    timeOfDayMs: number,
): WaitSummary[] => {
    const groups = new Map<string, WaitingStep[]>();
    for (const waiting of steps) {
        const key = `${waiting.job.queue.priority} ${waiting.kind}`;
        const group = groups.get(key) ?? [];
        groups.set(key, group);
        group.push(waiting);
    }
    return [...groups.values()].flatMap(group => summaryOf(group, countServers, timeOfDayMs));
};

const summaryOf = (
    group: readonly WaitingStep[],
    countServers: (waiting: WaitingStep) => ServerCounts,
    timeOfDayMs: number,
): WaitSummary[] => {
    const [first] = group;
    if (first === undefined) {
        return [];
    }
    const summary: WaitSummary = {
        kind: first.kind,
        priority: first.job.queue.priority,
        steps: group.length,
        lateSteps: group.filter(waiting => isExpectedLate(waiting, timeOfDayMs)).length,
        tasks: 0,
        workCoreSeconds: 0,
        longestWaitMs: 0,
        sampledSteps: 0,
        serversWithRoom: 0,
        excludedServers: {},
    };
    for (const { record, step, waitingSinceMs } of group) {
        const tasks = record.tasks.filter(({ phase }) => phase === TaskPhase.Waiting).length;
        summary.tasks += tasks;
        summary.workCoreSeconds += tasks * taskWorkCoreSeconds(step);
        summary.longestWaitMs = Math.max(summary.longestWaitMs, timeOfDayMs - waitingSinceMs);
    }
    const stride = Math.ceil(group.length / MAX_SAMPLED_STEPS);
    group.filter((unused, index) => index % stride === 0).forEach(waiting => addSample(summary, countServers(waiting)));
    return [summary];
};

const addSample = (summary: WaitSummary, { serversWithRoom, excludedServers }: ServerCounts): void => {
    summary.sampledSteps += 1;
    summary.serversWithRoom += serversWithRoom;
    for (const [reason, count] of Object.entries(excludedServers) as [Exclusion, number][]) {
        summary.excludedServers[reason] = (summary.excludedServers[reason] ?? 0) + count;
    }
};
