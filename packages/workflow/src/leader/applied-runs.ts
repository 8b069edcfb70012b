import { RunEnd } from "../model/heartbeat.js";
import { parseTaskKey } from "../model/specification.js";
import { LossReason } from "../state/crash-history.js";
import { EventKind } from "../state/events.js";
import type { EventOf, WorkflowEvent } from "../state/events.js";
import type { CrashingTask, JobRecord } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { OverloadControl } from "./overload/overload-control.js";
import type { Planner } from "./planner.js";
import type { RunLosses } from "./run-losses.js";
import type { RunStops } from "./run-stops.js";
import type { ServerDirectory } from "./server-directory.js";
import type { Times } from "./times.js";
import type { WorkQueue } from "./work-queue.js";

/** Dependencies of {@link AppliedRuns}. */
export interface AppliedRunsOptions {
    state: WorkflowState;
    queue: WorkQueue;
    directory: ServerDirectory;
    planner: Planner;
    losses: RunLosses;
    stops: RunStops;
    overload: OverloadControl;
    propose: (event: WorkflowEvent) => void;
    reportCrashingTask: (task: CrashingTask, nowMs: number) => void;
}

/** Updates the leader's view after assignments, ends and losses of runs were applied to the replicated state. */
export class AppliedRuns {
    readonly #options: AppliedRunsOptions;

    constructor(options: AppliedRunsOptions) {
        this.#options = options;
    }

    /** Handles recorded assignments. */
    handleAssigned(event: EventOf<EventKind.RunsAssigned>, times: Times): void {
        for (const assigned of event.runs) {
            const { task, run, serverId, incarnation } = assigned;
            const view = this.#options.directory.find(serverId, incarnation)?.findRun(task, run);
            if (view !== undefined) {
                view.isCommitted = true;
                this.#options.overload.recordAssigned(view, times.timeOfDayMs);
                view.isStopping ||= this.#jobOf(task)?.isOver ?? true;
            }
            else {
                // The server has been removed since the proposal; no order was sent.
                this.#options.propose({
                    kind: EventKind.RunsLost,
                    runs: [{ task, run, checkpoint: "", reason: LossReason.ServerRemoved }],
                });
            }
            this.#options.planner.clearPending(task);
            this.#refreshTask(task, times);
        }
    }

    /** Handles recorded losses. */
    handleLost(event: EventOf<EventKind.RunsLost>, times: Times): void {
        event.runs.forEach(lost => this.#refreshTask(lost.task, times));
        event.runs.forEach(lost => this.#options.stops.stopGangMembers(lost));
        for (const { task, run } of event.runs) {
            const job = this.#jobOf(task);
            const { crashingTask } = job ?? {};
            if (job !== undefined && crashingTask?.task === task && crashingTask.run === run) {
                this.#options.stops.stopJob(job.id);
                this.#options.reportCrashingTask(crashingTask, times.nowMs);
            }
        }
    }

    /** Handles recorded ends. */
    handleEnded(event: EventOf<EventKind.RunsEnded>, times: Times): void {
        const server = this.#options.directory.find(event.server.serverId, event.server.incarnation);
        for (const ended of event.ends) {
            const run = server?.findRun(ended.task, ended.run);
            if (run !== undefined) {
                server?.removeRun(ended.task);
            }
            this.#refreshTask(ended.task, times);
            if (ended.end !== RunEnd.Done) {
                this.#options.stops.stopGangMembers(ended);
            }
            const job = this.#jobOf(ended.task);
            this.#options.overload.recordRunEnd(job, run, ended.end, times.nowMs);
            this.#options.losses.clearEnded(ended, times);
            if (job?.isOver === true) {
                this.#options.stops.stopJob(job.id);
            }
            this.#options.overload.recordEnd(job, times.nowMs);
        }
    }

    #refreshTask(key: string, { timeOfDayMs }: Times): void {
        const job = this.#jobOf(key);
        if (job !== undefined) {
            this.#options.queue.refreshTask(job, parseTaskKey(key)?.occurrence ?? 0, timeOfDayMs);
        }
    }

    #jobOf(task: string): JobRecord | undefined {
        return this.#options.state.job(parseTaskKey(task)?.jobId ?? "");
    }
}
