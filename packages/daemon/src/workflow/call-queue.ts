/** Time after which a slice of calls gives the event loop back to replica messages, new connections and ticks. */
const SLICE_BUDGET_MS = 2;
/** Longest time between slices for which connections are accepted; calls get an equal share. */
const MAX_ACCEPT_TIME_MS = SLICE_BUDGET_MS;

/** Kinds of calls, each with a line of its own. */
export enum CallKind {
    /** Call of an operator; there are few of them, and they have to work while the others are late. */
    Operator = "operator",
    /** Call of an entry. */
    Request = "request",
    /** Heartbeat of a backend server; the heartbeats of a whole fleet may arrive at once. */
    Heartbeat = "heartbeat",
}

const KINDS = Object.values(CallKind);

/** A call that waits until it is handled. */
export interface QueuedCall {
    kind: CallKind;
    receivedAtMs: number;
    /** Longest time that the call may wait; it is below the time for which its sender waits. */
    maxWaitMs: number;
    execute: (nowMs: number) => void;
    /** Refuses the call, which then has no effect. */
    refuse: () => void;
    /** Answers a call whose execution threw an error. */
    fail: (error: unknown) => void;
}

/** Construction parameters of a {@link CallQueue}. */
export interface CallQueueOptions {
    /** Whether calls have to wait, for example while a leader waits for the answers of a quorum. */
    isBlocked: (nowMs: number) => boolean;
    readNowMs: () => number;
    /** Schedules the next slice; `setImmediate` by default, so that waiting messages of replicas are read before it. */
    defer?: (slice: () => void) => void;
}

/**
 * Handles calls in short slices, so that many calls at once don't delay replication. Calls of one kind are handled in the
 * order of their arrival, in turn with those of the other kinds. Calls whose sender has given up are refused, not executed.
 */
export class CallQueue {
    readonly #isBlocked: (nowMs: number) => boolean;
    readonly #readNowMs: () => number;
    readonly #defer: (slice: () => void) => void;
    readonly #lines: Readonly<Record<CallKind, CallLine>> = {
        [CallKind.Operator]: new CallLine(),
        [CallKind.Request]: new CallLine(),
        [CallKind.Heartbeat]: new CallLine(),
    };
    /** Position of the kind whose turn it is. */
    #turn = 0;
    #isSliceScheduled = false;
    #isConnectionAccepted = false;
    #lastSliceAtMs = 0;
    #isClosed = false;

    constructor(options: CallQueueOptions) {
        this.#isBlocked = options.isBlocked;
        this.#readNowMs = options.readNowMs;
        this.#defer = options.defer ?? setImmediate;
    }

    get length(): number {
        return KINDS.reduce((sum, kind) => sum + this.#lines[kind].length, 0);
    }

    /** Adds a call. */
    push(call: QueuedCall): void {
        if (this.#isClosed) {
            call.refuse();
            return;
        }
        this.#lines[call.kind].push(call);
        this.#scheduleSlice();
    }

    /**
     * Lets calls wait for the next iteration of the event loop, which accepts one connection each time. Many clients
     * connect at once after an election, and calls on connections that wait to be accepted would time out.
     */
    recordConnection(): void {
        this.#isConnectionAccepted = true;
    }

    /** Refuses overdue calls and schedules a slice if calls wait. To be called periodically. */
    tick(nowMs: number): void {
        this.#refuseOverdue(nowMs);
        this.#scheduleSlice();
    }

    /** Refuses the calls that wait and all later ones. */
    close(): void {
        this.#isClosed = true;
        Object.values(this.#lines).forEach(line => line.takeAll().forEach(call => call.refuse()));
    }

    #scheduleSlice(): void {
        if (this.#isSliceScheduled || this.length === 0 || this.#isBlocked(this.#readNowMs())) {
            return;
        }
        this.#isSliceScheduled = true;
        this.#defer(() => {
            this.#isSliceScheduled = false;
            const isAccepting = this.#isConnectionAccepted;
            this.#isConnectionAccepted = false;
            if (isAccepting && this.#readNowMs() - this.#lastSliceAtMs < MAX_ACCEPT_TIME_MS) {
                this.#scheduleSlice();
            }
            else {
                this.#runSlice();
            }
        });
    }

    #runSlice(): void {
        const endMs = this.#readNowMs() + SLICE_BUDGET_MS;
        for (let call = this.#take(); call !== undefined; call = this.#take()) {
            const nowMs = this.#readNowMs();
            if (isOverdue(call, nowMs)) {
                call.refuse();
            }
            else {
                executeSafely(call, nowMs);
            }
            if (this.#readNowMs() >= endMs) {
                break;
            }
        }
        this.#lastSliceAtMs = this.#readNowMs();
        this.#scheduleSlice();
    }

    /** Takes a call of the kind whose turn it is or, if there is none, of the next kind that has one. */
    #take(): QueuedCall | undefined {
        for (const position of KINDS.keys()) {
            const kind = KINDS[(this.#turn + position) % KINDS.length] ?? CallKind.Operator;
            const call = this.#lines[kind].take();
            if (call !== undefined) {
                this.#turn = (this.#turn + position + 1) % KINDS.length;
                return call;
            }
        }
        return undefined;
    }

    #refuseOverdue(nowMs: number): void {
        for (const line of Object.values(this.#lines)) {
            line.takeOverdue(nowMs).forEach(call => call.refuse());
        }
    }
}

/** Calls of one kind in the order of their arrival. */
class CallLine {
    #calls: QueuedCall[] = [];
    #next = 0;

    get length(): number {
        return this.#calls.length - this.#next;
    }

    push(call: QueuedCall): void {
        this.#calls.push(call);
    }

    take(): QueuedCall | undefined {
        const call = this.#calls[this.#next];
        this.#next += call === undefined ? 0 : 1;
        if (this.#next >= this.#calls.length) {
            this.#calls = [];
            this.#next = 0;
        }
        return call;
    }

    takeAll(): QueuedCall[] {
        const waiting = this.#calls.slice(this.#next);
        this.#calls = [];
        this.#next = 0;
        return waiting;
    }

    takeOverdue(nowMs: number): QueuedCall[] {
        const waiting = this.#calls.slice(this.#next);
        const overdue = waiting.filter(call => isOverdue(call, nowMs));
        if (overdue.length > 0) {
            this.#calls = waiting.filter(call => !isOverdue(call, nowMs));
            this.#next = 0;
        }
        return overdue;
    }
}

const isOverdue = (call: QueuedCall, nowMs: number): boolean => nowMs - call.receivedAtMs >= call.maxWaitMs;

/** Executes a call. An error fails this call only; thrown from here, it would end the process. */
const executeSafely = (call: QueuedCall, nowMs: number): void => {
    try {
        call.execute(nowMs);
    }
    catch (error) {
        call.fail(error);
    }
};
