import { TaskKind } from "../model/specification.js";
import type { OrganisationLimits } from "../organisations/organisation-limits.js";
import { WaitCause, waitCauseOf } from "../organisations/wait-cause.js";
import { TaskPhase } from "../state/occurrence-records.js";
import type { ServerCounts } from "./placement.js";
import type { Planner } from "./planner.js";
import type { ServerDirectory } from "./server-directory.js";
import type { RunView } from "./server-view.js";
import type { Times } from "./times.js";
import type { UnstartedTasks } from "./unstarted-tasks.js";
import { taskKeyIn } from "./work-queue.js";
import type { WaitingStep, WorkQueue } from "./work-queue.js";

/** Shorter waits are not reported. */
const MIN_REPORTED_WAIT_MS = 3_000;
/** Order of the reports. */
const KINDS = [TaskKind.Standing, TaskKind.Finite, TaskKind.Filler];

/** The task of one kind that has waited longest for a start and for one cause, and what keeps servers from running it. */
export interface WaitReport extends ServerCounts {
    kind: TaskKind;
    task: string;
    waitedMs: number;
    /** Server that the task is assigned to but does not run on; undefined while the task is not assigned. */
    serverId: string | undefined;
    /** What holds it back beside the servers; undefined for nothing. */
    cause: WaitCause | undefined;
    /** Organisation whose limit is the cause; undefined without a cause. */
    organisation: string | undefined;
    /** Assignments since the last start whose run was lost before the server reported it. */
    lostRuns: number;
    /** Assignments since the last start that the server rejected. */
    rejectedRuns: number;
}

/** What the reports are derived from. */
export interface WaitReportSources {
    queue: WorkQueue;
    directory: ServerDirectory;
    planner: Planner;
    unstartedTasks: UnstartedTasks;
    limits: OrganisationLimits;
}

/** A task that has not started. */
interface Candidate {
    task: string;
    step: WaitingStep;
    waitedMs: number;
    serverId: string | undefined;
    cause: WaitCause | undefined;
}

/**
 * Returns a report on the task of each kind that has waited longest, unless its wait is short, and on those that have
 * waited longest because of a limit of their organisation. A filler whose job has another task at work is left out: its
 * job proceeds.
 */
export const waitReportsOf = (sources: WaitReportSources, times: Times): WaitReport[] => {
    const longest = new Map<string, Candidate>();
    for (const candidate of [...queuedCandidates(sources, times), ...assignedCandidates(sources, times)]) {
        const key = keyOf(candidate.step.kind, candidate.cause);
        if (candidate.waitedMs > (longest.get(key)?.waitedMs ?? MIN_REPORTED_WAIT_MS)) {
            longest.set(key, candidate);
        }
    }
    return [undefined, ...Object.values(WaitCause)].flatMap(cause =>
        KINDS.flatMap(kind => {
            const candidate = longest.get(keyOf(kind, cause));
            return candidate === undefined ? [] : [reportOf(candidate, sources, times.nowMs)];
        })
    );
};

const keyOf = (kind: TaskKind, cause: WaitCause | undefined): string => `${kind} ${cause ?? ""}`;

const reportOf = (candidate: Candidate, { planner, unstartedTasks }: WaitReportSources, nowMs: number): WaitReport => {
    const { task, step, serverId, cause } = candidate;
    const { lostRuns, rejectedRuns } = unstartedTasks.get(task) ?? { lostRuns: 0, rejectedRuns: 0 };
    return {
        kind: step.kind,
        task,
        waitedMs: Math.round(candidate.waitedMs),
        serverId,
        cause,
        organisation: cause === undefined ? undefined : step.job.specification.organisation,
        lostRuns,
        rejectedRuns,
        ...planner.countServersFor(step, nowMs),
    };
};

/** Returns the first waiting task of each step in the queue. */
const queuedCandidates = ({ queue, unstartedTasks, limits }: WaitReportSources, times: Times): Candidate[] => {
    const shares = limits.sharesOf(queue.steps);
    return queue.steps.filter(step => step.kind !== TaskKind.Filler || step.idleSinceMs !== undefined).map(step => {
        const index = step.record.tasks.findIndex(({ phase }) => phase === TaskPhase.Waiting);
        const task = taskKeyIn(step, index);
        const sinceMs = Math.min(step.waitingSinceMs, unstartedTasks.get(task)?.waitingSinceMs ?? Infinity);
        return {
            task,
            step,
            waitedMs: times.timeOfDayMs - sinceMs,
            serverId: undefined,
            cause: waitCauseOf(step, limits, shares),
        };
    });
};

/** Returns the tasks that are assigned to a server that has not reported them yet. */
const assignedCandidates = ({ directory, planner, unstartedTasks }: WaitReportSources, times: Times): Candidate[] => {
    const candidates: Candidate[] = [];
    for (const server of directory.servers) {
        for (const run of server.runs.values()) {
            const sinceMs = unstartedTasks.get(run.task)?.waitingSinceMs ?? run.waitingSinceMs;
            const waitedMs = sinceMs === undefined ? times.nowMs - run.assignedAtMs : times.timeOfDayMs - sinceMs;
            const step = isUnstarted(run) && waitedMs > MIN_REPORTED_WAIT_MS ? planner.stepOf(run) : undefined;
            if (step !== undefined) {
                candidates.push({ task: run.task, step, waitedMs, serverId: server.id, cause: undefined });
            }
        }
    }
    return candidates;
};

const isUnstarted = ({ firstReportedAtMs }: RunView): boolean => firstReportedAtMs === undefined;
