import type { HeartbeatReport, ReportedRun } from "../model/heartbeat.js";
import type { RecordedEnd } from "../state/events.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { RunView, ServerView } from "./server-view.js";

/** One member's end stands for a gang, and its report may follow those of the other members' servers. */
const GANG_END_DELAY_MS = 1_500;

/** What a heartbeat brought. */
export interface Intake {
    newEnds: RecordedEnd[];
    /** Runs that the server has and no longer reports, in neither list; already removed from the view. */
    missingRuns: RunView[];
    /** Jobs of which a task is known to run. */
    startedJobs: string[];
}

/** Compares a server's lists with what the leader has ordered. */
export class HeartbeatIntake {
    readonly #state: WorkflowState;

    constructor(state: WorkflowState) {
        this.#state = state;
    }

    take(server: ServerView, report: HeartbeatReport, nowMs: number): Intake {
        const startedJobs = report.running.flatMap(reported => this.#takeRunning(server, reported, nowMs));
        const newEnds = this.#takeEnds(server, report);
        const missingRuns = this.#findMissing(server, report, nowMs);
        missingRuns.forEach(run => server.removeRun(run.task));
        server.useChanged();
        server.hasStrays = report.running.some(({ task, run }) => server.findRun(task, run) === undefined);
        return { newEnds, missingRuns, startedJobs };
    }

    #takeRunning(server: ServerView, reported: ReportedRun, nowMs: number): string[] {
        const view = server.findRun(reported.task, reported.run);
        if (view === undefined) {
            return [];
        }
        view.isReported = true;
        view.missingSinceMs = undefined;
        view.firstReportedAtMs ??= nowMs;
        if (reported.checkpoint !== "") {
            view.checkpoint = reported.checkpoint;
        }
        if (reported.progressPercent > view.progressPercent) {
            view.progressPercent = reported.progressPercent;
            view.progressAtMs = nowMs;
        }
        view.measurement = reported.measurement;
        return [view.position.jobId];
    }

    #takeEnds(server: ServerView, report: HeartbeatReport): RecordedEnd[] {
        const { id: serverId, incarnation } = server;
        server.proposedEnd = Math.max(server.proposedEnd, this.#state.acknowledgedEnd({ serverId, incarnation }));
        const fresh = report.ended.filter(ended => ended.sequence > server.proposedEnd);
        for (const ended of fresh) {
            server.proposedEnd = Math.max(server.proposedEnd, ended.sequence);
        }
        return fresh.map(({ task, run, end, checkpoint }) => ({ task, run, end, checkpoint }));
    }

    /** A run whose order was answered earlier and that is in neither list has not begun, or is gone. */
    #findMissing(server: ServerView, report: HeartbeatReport, nowMs: number): RunView[] {
        const listed = new Set<string>();
        report.running.forEach(({ task, run }) => listed.add(`${task}/${run}`));
        report.ended.forEach(({ task, run }) => listed.add(`${task}/${run}`));
        const missing: RunView[] = [];
        for (const view of server.runs.values()) {
            if (!view.isCommitted || view.orderedAtSequence === undefined || listed.has(`${view.task}/${view.run}`)) {
                continue;
            }
            if (view.isReported) {
                view.missingSinceMs ??= nowMs;
                if (!view.step.isGang || nowMs - view.missingSinceMs >= GANG_END_DELAY_MS) {
                    missing.push(view);
                }
            }
            else {
                // The answer with the order was lost or came too late; it may be sent again.
                view.orderedAtSequence = undefined;
            }
        }
        return missing;
    }
}
