import { create } from "@bufbuild/protobuf";
import { jobKeyOf } from "@waxwingspread/common";
import type { JobKey } from "@waxwingspread/common";
import { AttemptState, JobState, OrderKind, OrderSchema } from "@waxwingspread/protocol";
import type { Attempt, BackendServer, Job, Order, TaskStatus } from "@waxwingspread/protocol";
import { isFinalStop } from "../attempts/stop-reasons.js";
import { specificationOf } from "../decision.js";
import type { Decision } from "../decision.js";
import type { BackendClocks } from "../servers/backend-clocks.js";
import { heldAttempt } from "../state/usage.js";
import { DueQueue } from "../timing/due-queue.js";
import type { WorkView } from "../work-view.js";
import type { EntryRegistry } from "./entry-registry.js";

/** An order and the entry to which it is sent. */
export interface AddressedOrder {
    entryId: string;
    order: Order;
}

interface TrackedOrder {
    attemptNumber: number;
    kind: OrderKind;
    /** Number of times that an order of this kind was sent. */
    sends: number;
    /** Number of times that this leader sent a start of this attempt. */
    starts: number;
}

interface OfferedOutcome {
    entryIds: Set<string>;
    untilMs: number;
}

/** Number of sends that are followed by the short resend interval. */
const FAST_RESENDS = 5;

/** Derives orders from the state and resends them until their effect is observed. */
export class OrderTracker {
    readonly #decision: Decision;
    readonly #clocks: BackendClocks;
    readonly #entries: EntryRegistry;
    readonly #view: WorkView;
    readonly #tracked = new Map<JobKey, TrackedOrder>();
    readonly #dueOrders = new DueQueue();
    /** Jobs whose task the backend server reports as throttled. */
    readonly #throttled = new Set<JobKey>();
    /** Entries that wait for a job's outcome because they sent its request again. */
    readonly #watchers = new Map<JobKey, Set<string>>();
    readonly #outcomeOffers = new Map<JobKey, OfferedOutcome>();
    readonly #dueOutcomes = new DueQueue();
    #orphanStops: AddressedOrder[] = [];

    constructor(decision: Decision, clocks: BackendClocks, entries: EntryRegistry, view: WorkView) {
        this.#decision = decision;
        this.#clocks = clocks;
        this.#entries = entries;
        this.#view = view;
    }

    jobChanged(key: JobKey, before: Job | undefined, after: Job | undefined): void {
        const attempt = heldAttempt(after);
        if (after === undefined || attempt === undefined) {
            this.#tracked.delete(key);
            this.#dueOrders.delete(key);
            this.#throttled.delete(key);
        }
        else {
            this.#track(key, after, attempt);
        }
        if (after?.state === JobState.ENDED && before?.state !== JobState.ENDED) {
            this.#offerOutcome(key, after);
        }
    }

    /** Adds an entry that waits for the outcome of a job. */
    watch(key: JobKey, entryId: string): void {
        this.#watchers.set(key, (this.#watchers.get(key) ?? new Set()).add(entryId));
    }

    /** Cancels the delivery of an outcome that the submit response already carries. */
    outcomeDelivered(key: JobKey): void {
        this.#outcomeOffers.delete(key);
        this.#dueOutcomes.delete(key);
        this.#watchers.delete(key);
    }

    /** Records whether a backend server reports a task as throttled. */
    throttleReported(key: JobKey, throttled: boolean): void {
        if (throttled === this.#throttled.has(key)) {
            return;
        }
        if (throttled) {
            this.#throttled.add(key);
        }
        else {
            this.#throttled.delete(key);
        }
        const job = this.#decision.state.job(key);
        const attempt = heldAttempt(job);
        if (job !== undefined && attempt !== undefined) {
            this.#track(key, job, attempt);
        }
    }

    /** Returns the number of times that this leader sent a start of the attempt. */
    startsSent(key: JobKey, attemptNumber: number): number {
        const tracked = this.#tracked.get(key);
        return tracked?.attemptNumber === attemptNumber ? tracked.starts : 0;
    }

    /** Returns the start order of a job that was just assigned, for the submit response; it counts as sent. */
    takeStart(key: JobKey): Order | undefined {
        const job = this.#decision.state.job(key);
        const tracked = this.#tracked.get(key);
        const order = job && tracked?.kind === OrderKind.START ? this.#build(job, OrderKind.START) : undefined;
        if (order !== undefined && tracked !== undefined) {
            this.#recordSent(key, tracked);
        }
        return order;
    }

    /** Adds a stop order for a task that a backend server runs although the state has no such attempt there. */
    stopOrphan(server: BackendServer, task: TaskStatus): void {
        const { customer, requestId, attemptNumber } = task;
        const entryId = this.#entries.choose("", jobKeyOf(task), this.#decision.nowMs);
        if (entryId === undefined) {
            return;
        }
        const order = create(OrderSchema, {
            kind: OrderKind.STOP,
            customer,
            requestId,
            attemptNumber,
            backendServerId: server.backendServerId,
            incarnation: server.incarnation,
            backendServerAddress: server.address,
            term: this.#decision.term,
        });
        this.#orphanStops.push({ entryId, order });
    }

    /** Returns the orders that are due now. */
    takeDue(): AddressedOrder[] {
        const orders = this.#orphanStops;
        this.#orphanStops = [];
        for (const key of this.#dueOrders.takeDue(this.#decision.nowMs)) {
            const order = this.#send(key);
            if (order !== undefined) {
                orders.push(order);
            }
        }
        for (const key of this.#dueOutcomes.takeDue(this.#decision.nowMs)) {
            orders.push(...this.#sendOutcome(key));
        }
        return orders;
    }

    /**
     * Schedules the delivery of a job's outcome to the entries that wait for it and to the entry that submitted it. The
     * latter is part of the state, so that it receives the outcome also after a change of leader.
     */
    #offerOutcome(key: JobKey, job: Job): void {
        const { nowMs, settings } = this.#decision;
        const untilMs = job.endedAtMs + settings.outcomeOfferMs;
        const entryIds = this.#watchers.get(key) ?? new Set<string>();
        this.#watchers.delete(key);
        if (untilMs < nowMs) {
            return;
        }
        if (job.entryId !== "") {
            entryIds.add(job.entryId);
        }
        this.#outcomeOffers.set(key, { entryIds, untilMs });
        this.#dueOutcomes.set(key, nowMs);
    }

    #sendOutcome(key: JobKey): AddressedOrder[] {
        const { nowMs, settings, state, term } = this.#decision;
        const offer = this.#outcomeOffers.get(key);
        const job = state.job(key);
        if (offer === undefined || job?.state !== JobState.ENDED || nowMs > offer.untilMs) {
            this.#outcomeOffers.delete(key);
            return [];
        }
        const { customer, requestId } = specificationOf(job);
        const reachable = [...offer.entryIds].filter(entryId => this.#entries.isAlive(entryId, nowMs));
        reachable.forEach(entryId => offer.entryIds.delete(entryId));
        if (offer.entryIds.size === 0) {
            this.#outcomeOffers.delete(key);
        }
        else {
            this.#dueOutcomes.set(key, nowMs + settings.resendMs);
        }
        return reachable.map(entryId => ({
            entryId,
            order: create(OrderSchema, { kind: OrderKind.OUTCOME, customer, requestId, job, term }),
        }));
    }

    #track(key: JobKey, job: Job, attempt: Attempt): void {
        const kind = this.#requiredKind(key, job, attempt);
        const previous = this.#tracked.get(key);
        const isSameAttempt = previous?.attemptNumber === attempt.number;
        if (isSameAttempt && previous.kind === kind) {
            return;
        }
        const starts = isSameAttempt ? previous.starts : 0;
        this.#tracked.set(key, { attemptNumber: attempt.number, kind, sends: 0, starts });
        if (kind === OrderKind.UNSPECIFIED) {
            this.#dueOrders.delete(key);
        }
        else {
            this.#dueOrders.set(key, this.#decision.nowMs);
        }
    }

    #requiredKind(key: JobKey, job: Job, attempt: Attempt): OrderKind {
        if (attempt.state === AttemptState.ASSIGNED) {
            return OrderKind.START;
        }
        if (attempt.state === AttemptState.STOPPING) {
            return job.cancelRequested || isFinalStop(attempt.stopReason)
                ? OrderKind.STOP
                : OrderKind.CHECKPOINT_AND_STOP;
        }
        if (attempt.throttled === this.#throttled.has(key)) {
            return OrderKind.UNSPECIFIED;
        }
        return attempt.throttled ? OrderKind.THROTTLE : OrderKind.UNTHROTTLE;
    }

    #send(key: JobKey): AddressedOrder | undefined {
        const { state, nowMs, settings } = this.#decision;
        const job = state.job(key);
        const tracked = this.#tracked.get(key);
        if (job === undefined || tracked === undefined || this.#startWindowPassed(job, tracked)) {
            return undefined;
        }
        const entryId = this.#entries.choose(job.entryId, `${key}#${tracked.attemptNumber}`, nowMs);
        const order = entryId === undefined ? undefined : this.#build(job, tracked.kind);
        if (entryId === undefined || order === undefined) {
            this.#dueOrders.set(key, nowMs + settings.resendMs);
            return undefined;
        }
        this.#recordSent(key, tracked);
        return { entryId, order };
    }

    #recordSent(key: JobKey, tracked: TrackedOrder): void {
        const { nowMs, settings } = this.#decision;
        tracked.sends += 1;
        tracked.starts += tracked.kind === OrderKind.START ? 1 : 0;
        this.#dueOrders.set(key, nowMs + (tracked.sends <= FAST_RESENDS ? settings.resendMs : settings.slowResendMs));
    }

    /** A start is not resent after its window; the server's next announcement shows whether it was accepted. */
    #startWindowPassed(job: Job, tracked: TrackedOrder): boolean {
        const attempt = heldAttempt(job);
        const clockLowerBoundMs = attempt
            && this.#clocks.clockLowerBoundMs(attempt.backendServerId, this.#decision.nowMs);
        return tracked.kind === OrderKind.START && attempt !== undefined && clockLowerBoundMs !== undefined
            && clockLowerBoundMs > attempt.startDeadlineBackendMs;
    }

    /** Returns undefined for a start while the lease that it must carry is not known. */
    #build(job: Job, kind: OrderKind): Order | undefined {
        const attempt = heldAttempt(job);
        const server = attempt && this.#decision.state.backendServer(attempt.backendServerId);
        const leaseExpiryMs = attempt && this.#clocks.latestLeaseExpiryMs(attempt.backendServerId);
        if (attempt === undefined || server === undefined || kind === OrderKind.START && leaseExpiryMs === undefined) {
            return undefined;
        }
        const specification = specificationOf(job);
        return create(OrderSchema, {
            kind,
            customer: specification.customer,
            requestId: specification.requestId,
            attemptNumber: attempt.number,
            backendServerId: attempt.backendServerId,
            incarnation: attempt.incarnation,
            backendServerAddress: server.address,
            term: this.#decision.term,
            startDeadlineBackendMs: attempt.startDeadlineBackendMs,
            leaseExpiresBackendMs: leaseExpiryMs ?? 0,
            specification,
            reserved: attempt.reserved,
            checkpoint: job.checkpoint,
            workKind: this.#view.workKind(job),
        });
    }
}
