import { taskKeyOf, TaskKind, taskKindOf } from "../model/specification.js";
import { isSuspect } from "../state/crash-history.js";
import type { AssignedTask, JobRecord } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { isLaterIncarnation } from "./incarnation.js";
import type { ServerDirectory } from "./server-directory.js";
import { newRunView } from "./server-view.js";
import type { RunView } from "./server-view.js";
import type { LeaderSettings } from "./settings.js";
import type { Times } from "./times.js";

/**
 * Adds the runs that former leaders have recorded to the directory. Returns those that have certainly ended, because a
 * later incarnation of their server also has recorded runs: the former leader may not have recorded the loss any more.
 */
export const adoptRuns = (
    state: WorkflowState,
    directory: ServerDirectory,
    settings: LeaderSettings,
    { nowMs, timeOfDayMs }: Times,
): RunView[] => {
    const formerLeaseMs = Math.min(settings.maxLeaseMs, state.longestLeaseMs ?? Infinity);
    const assignedTasks = [...state.jobs.values()].flatMap(job =>
        [...job.assignedTasks()].map(assigned => ({ job, assigned }))
    );
    const latestIncarnations = new Map<string, number>();
    for (const { assigned: { server: { serverId, incarnation } } } of assignedTasks) {
        const latest = latestIncarnations.get(serverId);
        if (latest === undefined || isLaterIncarnation(incarnation, latest, timeOfDayMs)) {
            latestIncarnations.set(serverId, incarnation);
        }
    }
    const endedRuns: RunView[] = [];
    for (const { job, assigned } of assignedTasks) {
        const { serverId, incarnation } = assigned.server;
        const view = adoptedViewOf(assigned, job, nowMs);
        if (incarnation === latestIncarnations.get(serverId)) {
            directory.getOrAdd(serverId, incarnation, formerLeaseMs, nowMs).addRun(view);
        }
        else {
            endedRuns.push(view);
        }
    }
    return endedRuns;
};

const adoptedViewOf = ({ position, step, task }: AssignedTask, job: JobRecord, nowMs: number): RunView => {
    const { run, checkpoint } = task;
    const kind = taskKindOf(step);
    const view = newRunView(
        {
            task: taskKeyOf(position),
            run,
            position,
            step,
            kind,
            checkpoint,
            isSuspect: isSuspect(task.crashes),
            isAdopted: true,
        },
        nowMs,
    );
    view.isCommitted = true;
    view.isStopping = job.isOver;
    view.isPaceKnown = kind !== TaskKind.Filler;
    // The former leader may have sent the order; only the next heartbeat shows whether it did.
    view.orderedAtSequence = 0;
    return view;
};
