import type { HeartbeatOrders, HeartbeatReport, StartOrder, StopOrder } from "../model/heartbeat.js";
import { stepKeyOf } from "../model/specification.js";
import type { QuotaLedger } from "../organisations/quota-ledger.js";
import type { JobRecord } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { AnswerBudget, encodedBytesOf } from "./answer-budget.js";
import type { Eligibility } from "./eligibility.js";
import type { RunView, ServerView } from "./server-view.js";
import type { LeaderSettings } from "./settings.js";
import { StartAdmission } from "./start-admission.js";

/** Minimum mean interval between two heartbeats of the whole fleet; it bounds the leader's load in a large fleet. */
const MIN_HEARTBEAT_SPACING_MS = 1;

/**
 * Time of contact with a server without a gap by which its heartbeats from before the election have arrived or are superseded
 * by later ones.
 */
const LATE_HEARTBEAT_WINDOW_MS = 1_500;

/** Interval at which the pace of a filler that was ever paced is repeated; heartbeats don't show the present pace. */
const PACE_REPEAT_INTERVAL_MS = 2_000;

/** Time until the next heartbeat of a server for which orders had no room in the answer. */
const DEFERRED_ORDERS_INTERVAL_MS = 20;

/** Time within which a server must have executed a start order that is repeated in each response. */
const MAX_START_DELAY_MS = 2_000;
/** One answer may be lost on the way to a server that executes the next one. */
const MIN_START_ORDERS = 2;

/** Orders for a server, and the assigned runs that have certainly not started and are given up. */
export interface BuiltOrders {
    orders: HeartbeatOrders;
    /** Runs that are not allowed to start any more. */
    neverStarted: RunView[];
    /** Runs whose start orders the server has not executed. */
    unexecuted: RunView[];
}

/** What the runs of one answer share. */
interface AnswerInProgress {
    built: BuiltOrders;
    admission: StartAdmission;
    budget: AnswerBudget;
    /** Sequence number of the heartbeat that is answered. */
    sequence: number;
}

/** Builds the orders with which the leader responds to heartbeats. */
export class OrderWriter {
    readonly #state: WorkflowState;
    readonly #eligibility: Eligibility;
    readonly #term: number;
    readonly #settings: LeaderSettings;
    readonly #ledger: QuotaLedger;
    /** Encoded sizes of payloads, each of which is sent with every start of the job's tasks. */
    readonly #payloadBytes = new WeakMap<JobRecord, number>();

    constructor(
        state: WorkflowState,
        eligibility: Eligibility,
        term: number,
        settings: LeaderSettings,
        ledger: QuotaLedger,
    ) {
        this.#state = state;
        this.#eligibility = eligibility;
        this.#term = term;
        this.#settings = settings;
        this.#ledger = ledger;
    }

    /** Returns the orders for a server; marks the runs to start as ordered and the new paces as set. */
    buildOrders(server: ServerView, report: HeartbeatReport, serverCount: number, nowMs: number): BuiltOrders {
        const { id: serverId, incarnation } = server;
        const budget = new AnswerBudget(this.#settings.maxOrderBytes);
        const orders: HeartbeatOrders = {
            leaseMs: this.#settings.leaseMs,
            acknowledgedEnd: this.#state.acknowledgedEnd({ serverId, incarnation }),
            term: this.#term,
            starts: [],
            stops: this.#stopOrdersForUntrackedRuns(server, report, budget),
            paces: [],
            nextHeartbeatMs: 0,
        };
        const built: BuiltOrders = { orders, neverStarted: [], unexecuted: [] };
        const admission = new StartAdmission(server, view => this.#mayBePresent(server, view, nowMs));
        for (const view of server.runs.values()) {
            if (!view.isCommitted) {
                continue;
            }
            if (view.isReported) {
                this.#addOrderForRunning(server, view, orders, budget, nowMs);
            }
            else if (view.orderedAtSequence === undefined) {
                this.#addStart(server, view, { built, admission, budget, sequence: report.sequence }, nowMs);
            }
        }
        orders.nextHeartbeatMs = this.#nextHeartbeatMs(server, serverCount, budget.hasDeferred);
        server.orderedIntervalMs = orders.nextHeartbeatMs;
        return built;
    }

    #addOrderForRunning(
        server: ServerView,
        view: RunView,
        { stops, paces }: HeartbeatOrders,
        budget: AnswerBudget,
        nowMs: number,
    ): void {
        const { task, run } = view;
        if (view.isStopping) {
            stops.push(...budget.tryTake(task.length) ? [{ task, run }] : []);
        }
        else if (isPaceOrderDue(view, nowMs) && budget.tryTake(task.length)) {
            view.pacePercent = view.targetPacePercent;
            view.isPaceKnown = true;
            view.paceOrderedAtMs = nowMs;
            server.invalidateSaturation();
            paces.push({ task, run, pacePercent: view.pacePercent });
        }
    }

    /** Orders the start of a run that isn't there, leaves it for a later answer, or gives it up. */
    #addStart(server: ServerView, view: RunView, answer: AnswerInProgress, nowMs: number): void {
        const { built, admission, budget, sequence } = answer;
        if (isUnexecuted(view, nowMs)) {
            built.unexecuted.push(view);
        }
        else if (!this.#canStart(server, view, nowMs)) {
            this.#giveUpIfNotStarted(server, view, built, nowMs);
        }
        else if (!admission.canAdmit(view)) {
            this.#giveUpIfNotStarted(server, view, built, nowMs);
        }
        else if (budget.tryTake(this.#startBytesOf(view))) {
            admission.admit(view);
            view.orderedAtSequence = sequence;
            view.firstOrderedAtMs ??= nowMs;
            view.startOrders += 1;
            built.orders.starts.push(this.#startOrderFor(view));
        }
    }

    #giveUpIfNotStarted(server: ServerView, view: RunView, { neverStarted }: BuiltOrders, nowMs: number): void {
        if (this.#hasNotStarted(server, view, nowMs)) {
            neverStarted.push(view);
        }
    }

    #nextHeartbeatMs(server: ServerView, serverCount: number, hasDeferredOrders: boolean): number {
        const { busyHeartbeatMs, idleHeartbeatMs } = this.#settings;
        const intervalMs = server.runs.size > 0 ? busyHeartbeatMs : idleHeartbeatMs;
        const wantedMs = hasDeferredOrders ? Math.min(intervalMs, DEFERRED_ORDERS_INTERVAL_MS) : intervalMs;
        return Math.max(wantedMs, serverCount * MIN_HEARTBEAT_SPACING_MS);
    }

    /** Returns the size of the texts in a start order. */
    #startBytesOf({ task, position, eligibilityToken = "" }: RunView): number {
        const job = this.#state.job(position.jobId);
        const checkpoint = job?.task(position)?.checkpoint ?? "";
        return task.length + this.#payloadBytesOf(job) + encodedBytesOf(checkpoint) + encodedBytesOf(eligibilityToken);
    }

    #payloadBytesOf(job: JobRecord | undefined): number {
        if (job === undefined) {
            return 0;
        }
        const bytes = this.#payloadBytes.get(job) ?? encodedBytesOf(job.specification.payload);
        this.#payloadBytes.set(job, bytes);
        return bytes;
    }

    /** Returns stop orders for reported runs that the leader does not track, for example after their lease expired. */
    #stopOrdersForUntrackedRuns(server: ServerView, report: HeartbeatReport, budget: AnswerBudget): StopOrder[] {
        return report.running
            .filter(({ task, run }) => server.findRun(task, run) === undefined && budget.tryTake(task.length))
            .map(({ task, run }) => ({ task, run }));
    }

    /**
     * Whether a run that the server does not report has certainly not started. After a change of the leader, the first
     * heartbeats may arrive late and may have been sent before the former leader's start order was received.
     */
    #hasNotStarted(server: ServerView, view: RunView, nowMs: number): boolean {
        return !view.isAdopted || server.observedMs(nowMs) >= LATE_HEARTBEAT_WINDOW_MS;
    }

    /** Whether a run is on the server, or may be according to a start order that was sent. */
    #mayBePresent(server: ServerView, view: RunView, nowMs: number): boolean {
        return view.isReported || view.orderedAtSequence !== undefined || !this.#hasNotStarted(server, view, nowMs);
    }

    #canStart(server: ServerView, view: RunView, nowMs: number): boolean {
        const job = this.#state.job(view.position.jobId);
        return !view.isStopping
            && job?.isOver === false
            && server.isUsable
            && !this.#ledger.isOverQuota(job)
            && this.#isApproved(server, view, job, nowMs)
            && !this.#state.zonesOutOfService.has(server.availabilityZone);
    }

    /**
     * Whether the run's step has a valid approval of the server, which is set for the order. Approvals are not replicated:
     * the ones of a former leader are lost.
     */
    #isApproved(server: ServerView, view: RunView, job: JobRecord, nowMs: number): boolean {
        if (this.#state.currentQueueOf(job).eligibility === undefined) {
            return true;
        }
        view.eligibilityToken = this.#eligibility.orderTokenFor(stepKeyOf(view.position), server, nowMs);
        return view.eligibilityToken !== undefined;
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

/** Whether a pace has changed, or was ordered in an answer that may have been lost. */
const isPaceOrderDue = (view: RunView, nowMs: number): boolean =>
    view.targetPacePercent !== view.pacePercent
    || !view.isPaceKnown
    || nowMs - (view.paceOrderedAtMs ?? nowMs) >= PACE_REPEAT_INTERVAL_MS;

/** Whether a server has had the time and the orders to start a run. */
const isUnexecuted = ({ startOrders, firstOrderedAtMs }: RunView, nowMs: number): boolean =>
    startOrders >= MIN_START_ORDERS && nowMs - (firstOrderedAtMs ?? nowMs) >= MAX_START_DELAY_MS;
