import type { HeartbeatReport, ReportedRun } from "../model/heartbeat.js";
import type { RecordedEnd } from "../state/events.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { resetStartOrders } from "./server-view.js";
import type { RunView, ServerView } from "./server-view.js";

/**
 * Delay before a missing member of a gang counts as lost. The end of one member ends the whole gang, and the report of
 * that end may arrive after those of the other members' servers.
 */
const GANG_END_DELAY_MS = 1_500;

const FULL_PACE_PERCENT = 100;

/** Changes that a heartbeat reveals. */
export interface HeartbeatChanges {
    newEnds: RecordedEnd[];
    /** Runs that the server once reported and that are certainly gone without an end; removed from the view. */
    missingRuns: RunView[];
    /** Ids of the jobs with a task that runs on the server. */
    startedJobs: string[];
    /** Tasks whose run is reported for the first time. */
    startedTasks: string[];
    /** Runs that the server reports and the leader doesn't track. */
    untrackedRuns: ReportedRun[];
}

/** Reconciles the leader's view of a server with the runs that its heartbeat reports. */
export class HeartbeatReconciler {
    readonly #state: WorkflowState;

    constructor(state: WorkflowState) {
        this.#state = state;
    }

    /** Updates the view from a heartbeat and returns the changes. */
    reconcile(server: ServerView, report: HeartbeatReport, nowMs: number): HeartbeatChanges {
        const startedJobs: string[] = [];
        const startedTasks: string[] = [];
        for (const reported of report.running) {
            const view = server.findRun(reported.task, reported.run);
            if (view !== undefined) {
                startedJobs.push(view.position.jobId);
                startedTasks.push(...view.firstReportedAtMs === undefined ? [view.task] : []);
                updateRun(view, reported, nowMs);
            }
        }
        const newEnds = this.#collectNewEnds(server, report);
        const missingRuns = this.#findMissingRuns(server, report, nowMs);
        missingRuns.forEach(run => server.removeRun(run.task));
        server.invalidateSaturation();
        server.invalidateFreshRuns();
        const untrackedRuns = report.running.filter(({ task, run }) => server.findRun(task, run) === undefined);
        server.hasUntrackedRuns = untrackedRuns.length > 0;
        return { newEnds, missingRuns, startedJobs, startedTasks, untrackedRuns };
    }

    #collectNewEnds(server: ServerView, report: HeartbeatReport): RecordedEnd[] {
        const { id: serverId, incarnation } = server;
        server.lastProposedEnd = Math.max(
            server.lastProposedEnd,
            this.#state.acknowledgedEnd({ serverId, incarnation }),
        );
        const newEnds = report.ended.filter(ended => ended.sequence > server.lastProposedEnd);
        for (const ended of newEnds) {
            server.lastProposedEnd = Math.max(server.lastProposedEnd, ended.sequence);
        }
        return newEnds.map(({ task, run, end, checkpoint }) => ({ task, run, end, checkpoint }));
    }

    /**
     * Returns the runs that the server has reported before and now lists neither as running nor as ended, which shows that
     * they are gone. Of runs that were ordered but never reported, the start order may be sent again. As long as the list of
     * ends may be cut, a run that is listed nowhere may have ended, so that nothing is concluded.
     */
    #findMissingRuns(server: ServerView, report: HeartbeatReport, nowMs: number): RunView[] {
        const running = new Set(report.running.map(keyOf));
        const ended = new Set(report.ended.map(keyOf));
        const notRunning = [...server.runs.values()].filter(view => isOrdered(view) && !running.has(keyOf(view)));
        notRunning.filter(view => view.isReported).forEach(view => {
            view.missingSinceMs ??= nowMs;
            view.measurement = undefined;
        });
        if (report.mayHaveMoreEnds === true) {
            return [];
        }
        const unlisted = notRunning.filter(view => !ended.has(keyOf(view)));
        for (const view of unlisted) {
            if (!view.isReported) {
                // The response with the start order was lost or arrived too late; the order may be sent again.
                view.orderedAtSequence = undefined;
                if (server.hasMissedAnswer) {
                    resetStartOrders(view);
                }
            }
        }
        return unlisted.filter(view => isMissing(view, nowMs));
    }
}

const keyOf = ({ task, run }: { task: string; run: number }): string => `${task}/${run}`;

const isOrdered = (view: RunView): boolean => view.isCommitted && view.orderedAtSequence !== undefined;

/** Whether a run that was reported is gone; the end of a gang's member may still be listed by another server. */
const isMissing = ({ isReported, missingSinceMs, step }: RunView, nowMs: number): boolean =>
    isReported && (!step.isGang || nowMs - (missingSinceMs ?? nowMs) >= GANG_END_DELAY_MS);

const updateRun = (view: RunView, reported: ReportedRun, nowMs: number): void => {
    if (!view.isReported && !view.isPaceKnown) {
        estimatePace(view, reported);
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
};

/** Estimates the pace that a former leader has ordered by the CPU time that the run uses, so that it changes in steps. */
const estimatePace = (view: RunView, { measurement }: ReportedRun): void => {
    const { cpuMillicores } = view.step.amounts;
    const usedRatio = (measurement ?? cpuMillicores) / Math.max(1, cpuMillicores);
    view.pacePercent = Math.floor(FULL_PACE_PERCENT * Math.min(1, usedRatio));
    view.targetPacePercent = view.pacePercent;
};
