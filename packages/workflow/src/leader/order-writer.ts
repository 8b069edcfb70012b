import type { HeartbeatOrders, HeartbeatReport, PaceOrder, StartOrder, StopOrder } from "../model/heartbeat.js";
import { stepKeyOf } from "../model/specification.js";
import type { JobRecord } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { Eligibility } from "./eligibility.js";
import type { RunView, ServerView } from "./server-view.js";
import type { LeaderSettings } from "./settings.js";

/** Minimum mean interval between two heartbeats of the whole fleet; it bounds the leader's load in a large fleet. */
const MIN_HEARTBEAT_SPACING_MS = 1;

/**
 * Time after a server's first heartbeat in a term by which its heartbeats from before the election have arrived or are
 * superseded by later ones.
 */
const LATE_HEARTBEAT_WINDOW_MS = 1_500;

/** Orders for a server, and the assigned runs that have not started and are not allowed to start any more. */
export interface BuiltOrders {
    orders: HeartbeatOrders;
    neverStarted: RunView[];
}

/** Builds the orders with which the leader responds to heartbeats. */
export class OrderWriter {
    readonly #state: WorkflowState;
    readonly #eligibility: Eligibility;
    readonly #term: number;
    readonly #settings: LeaderSettings;

    constructor(state: WorkflowState, eligibility: Eligibility, term: number, settings: LeaderSettings) {
        this.#state = state;
        this.#eligibility = eligibility;
        this.#term = term;
        this.#settings = settings;
    }

    /** Returns the orders for a server; marks the runs to start as ordered and the new paces as set. */
    buildOrders(server: ServerView, report: HeartbeatReport, serverCount: number, nowMs: number): BuiltOrders {
        const starts: StartOrder[] = [];
        const stops = this.#stopOrdersForUntrackedRuns(server, report);
        const paces: PaceOrder[] = [];
        const neverStarted: RunView[] = [];
        for (const view of server.runs.values()) {
            if (!view.isCommitted) {
                continue;
            }
            if (view.isReported) {
                if (view.isStopping) {
                    stops.push({ task: view.task, run: view.run });
                }
                else if (view.targetPacePercent !== view.pacePercent) {
                    view.pacePercent = view.targetPacePercent;
                    server.invalidateSaturation();
                    paces.push({ task: view.task, run: view.run, pacePercent: view.pacePercent });
                }
            }
            else if (view.orderedAtSequence === undefined) {
                if (this.#canStart(server, view, nowMs)) {
                    view.orderedAtSequence = report.sequence;
                    starts.push(this.#startOrderFor(view));
                }
                else if (this.#hasNotStarted(server, view, nowMs)) {
                    neverStarted.push(view);
                }
            }
        }
        const { id: serverId, incarnation } = server;
        const { leaseMs, busyHeartbeatMs, idleHeartbeatMs } = this.#settings;
        const orders: HeartbeatOrders = {
            leaseMs,
            acknowledgedEnd: this.#state.acknowledgedEnd({ serverId, incarnation }),
            term: this.#term,
            starts,
            stops,
            paces,
            nextHeartbeatMs: Math.max(
                server.runs.size > 0 ? busyHeartbeatMs : idleHeartbeatMs,
                serverCount * MIN_HEARTBEAT_SPACING_MS,
            ),
        };
        return { orders, neverStarted };
    }

    /** Returns stop orders for reported runs that the leader does not track, for example after their lease expired. */
    #stopOrdersForUntrackedRuns(server: ServerView, report: HeartbeatReport): StopOrder[] {
        return report.running
            .filter(({ task, run }) => server.findRun(task, run) === undefined)
            .map(({ task, run }) => ({ task, run }));
    }

    /**
     * Whether a run that the server does not report has certainly not started. After a change of the leader, the first
     * heartbeats may arrive late and may have been sent before the former leader's start order was received.
     */
    #hasNotStarted(server: ServerView, view: RunView, nowMs: number): boolean {
        return !view.isAdopted || nowMs - (server.firstHeartbeatAtMs ?? nowMs) >= LATE_HEARTBEAT_WINDOW_MS;
    }

    #canStart(server: ServerView, view: RunView, nowMs: number): boolean {
        const job = this.#state.job(view.position.jobId);
        return !view.isStopping
            && job?.isOver === false
            && !server.isDraining
            && !server.isInMaintenance
            && this.#isApproved(server, view, job, nowMs)
            && !this.#state.zonesOutOfService.has(server.availabilityZone);
    }

    /** Approvals are not replicated: a run that a former leader assigned has lost its approval. */
    #isApproved(server: ServerView, view: RunView, job: JobRecord, nowMs: number): boolean {
        if (this.#state.currentQueueOf(job).eligibility === undefined) {
            return true;
        }
        const token = this.#eligibility.tokenFor(stepKeyOf(view.position), server, nowMs);
        return token !== undefined && token === view.eligibilityToken;
    }

    #startOrderFor(view: RunView): StartOrder {
        const job = this.#state.job(view.position.jobId);
        return {
            task: view.task,
            run: view.run,
            payload: job?.specification.payload ?? "",
            checkpoint: job?.task(view.position)?.checkpoint ?? "",
            eligibilityToken: view.eligibilityToken,
        };
    }
}
