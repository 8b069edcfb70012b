import { messageOf } from "@waxwingspread/common";
import { Refusal, refused } from "@waxwingspread/workflow";
import type { CallResult } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { CallError } from "./json-call.js";
import type { JsonCall } from "./json-call.js";
import type { LeaderFinder } from "./leader-finder.js";
import { ForwardedOperation, forwardedPath } from "./operations.js";
import type { ForwardedRequests, ForwardedResponse, ForwardedValues } from "./operations.js";

/** Time without an answer after which the leader is treated as lost and a further attempt begins. */
const ATTEMPT_TIMEOUT_MS = 500;
/** Delay after an attempt that failed or reached no leader, and between checks for a leader. */
const RETRY_DELAY_MS = 20;

/** Open attempts of one call, which bounds what a caller with a long deadline takes up. */
const MAX_OPEN_ATTEMPTS = 4;

/** Operations without an effect, so that a call without an answer is never uncertain. */
const READ_OPERATIONS: ReadonlySet<ForwardedOperation> = new Set([
    ForwardedOperation.JobState,
    ForwardedOperation.PendingJobs,
]);

/** Refusals of a leader that say that the call had no effect. */
const NO_EFFECT_REFUSALS: ReadonlySet<Refusal> = new Set([
    Refusal.Overloaded,
    Refusal.Unauthenticated,
    Refusal.QuotaExceeded,
]);

/** Deadlines of a forwarded call, as times of the monotonic clock. */
export interface ForwardDeadlines {
    /** Time at which a call that no leader can have received fails with NotRun. */
    notRunDeadlineMs: number;
    /** Time at which a call that a leader may have received fails. */
    deadlineMs: number;
}

/** Sends calls to control processes. */
export interface ForwardingCaller {
    call<Response>(call: JsonCall): Promise<Response>;
}

/** Construction parameters of a {@link ForwardedCall}. */
export interface ForwardedCallOptions<Operation extends ForwardedOperation> {
    operation: Operation;
    request: ForwardedRequests[Operation];
    deadlines: ForwardDeadlines;
    caller: ForwardingCaller;
    finder: Pick<
        LeaderFinder,
        "leaderHost" | "lastLeaderContactMs" | "recordLeader" | "setNamedLeader" | "clearLeader"
    >;
    /** Port of the internal listeners of all control processes. */
    port: number;
    readNowMs: () => number;
    logger: Logger;
}

/** One transmission of a call to a control process. */
interface Attempt {
    host: string;
    startedAtMs: number;
    /** Whether the control process may have received the request. */
    isSent: boolean;
}

/**
 * Call to the leader with repeated attempts. An attempt without an answer stays open beside the following ones, since
 * a leader that is late may have executed it; the first answer of a leader is the result.
 */
export class ForwardedCall<Operation extends ForwardedOperation> {
    readonly #options: ForwardedCallOptions<Operation>;
    /** Attempts without an answer, in the order of their start, with what ends them. */
    readonly #openAttempts = new Map<Attempt, AbortController>();
    #latestAttempt: Attempt | undefined;
    #deadlineMs: number;
    #nextAttemptAtMs = -Infinity;
    /** Whether an attempt that has ended without the answer of a leader may have taken effect. */
    #mayHaveActed = false;
    #isSettled = false;
    #settle: (result: CallResult<ForwardedValues[Operation]>) => void = () => undefined;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: ForwardedCallOptions<Operation>) {
        this.#options = options;
        this.#deadlineMs = options.deadlines.deadlineMs;
    }

    /**
     * Makes attempts until a leader has answered or the deadline has passed. The refusal is then Uncertain if a leader
     * may have executed a change, otherwise NotRun. To be called once.
     */
    run(): Promise<CallResult<ForwardedValues[Operation]>> {
        return new Promise(resolve => {
            this.#settle = resolve;
            this.#advance(this.#options.readNowMs());
        });
    }

    /** Ends the running call at this time at the latest. */
    limitDeadline(deadlineMs: number, nowMs: number): void {
        this.#deadlineMs = Math.min(this.#deadlineMs, deadlineMs);
        this.#advance(nowMs);
    }

    /** Time at which the call is refused unless a leader has answered. */
    get #endMs(): number {
        const mayGetAnswer = this.#mayHaveActed || this.#isAwaitingAnswer;
        const { notRunDeadlineMs } = this.#options.deadlines;
        return mayGetAnswer ? this.#deadlineMs : Math.min(this.#deadlineMs, notRunDeadlineMs);
    }

    get #isAwaitingAnswer(): boolean {
        return [...this.#openAttempts.keys()].some(attempt => attempt.isSent);
    }

    get #isRead(): boolean {
        return READ_OPERATIONS.has(this.#options.operation);
    }

    /** Does what is due and schedules what comes next. */
    #advance(nowMs: number): void {
        if (this.#isSettled) {
            return;
        }
        if (nowMs >= this.#endMs) {
            const isUncertain = !this.#isRead && (this.#mayHaveActed || this.#isAwaitingAnswer);
            this.#finish(refused(isUncertain ? Refusal.Uncertain : Refusal.NotRun));
            return;
        }
        if (nowMs >= this.#nextAttemptAtMs) {
            this.#startAttempt(nowMs);
        }
        clearTimeout(this.#timer);
        const nextMs = Math.min(this.#endMs, this.#nextAttemptAtMs);
        this.#timer = setTimeout(() => this.#advance(this.#options.readNowMs()), Math.max(0, nextMs - nowMs));
    }

    /** Makes an attempt at the leader. While none is known, nothing is sent: only the finder looks for it. */
    #startAttempt(nowMs: number): void {
        const { operation, request, caller, finder, port } = this.#options;
        if (this.#latestAttempt !== undefined && this.#isSilent(this.#latestAttempt.host)) {
            finder.clearLeader(this.#latestAttempt.host, `no response within ${ATTEMPT_TIMEOUT_MS} ms`);
        }
        const host = finder.leaderHost;
        if (host === undefined || this.#isSilent(host)) {
            this.#nextAttemptAtMs = nowMs + RETRY_DELAY_MS;
            return;
        }
        const attempt: Attempt = { host, startedAtMs: nowMs, isSent: false };
        this.#latestAttempt = attempt;
        this.#nextAttemptAtMs = nowMs + ATTEMPT_TIMEOUT_MS;
        caller.call<ForwardedResponse<Operation>>({
            host,
            port,
            path: forwardedPath(operation),
            body: request,
            timeoutMs: Math.max(1, this.#deadlineMs - nowMs),
            signal: this.#addOpenAttempt(attempt),
            onSent: () => this.#handleSent(attempt),
        }).then(
            response => this.#handleResponse(attempt, response, this.#options.readNowMs()),
            (error: unknown) => this.#handleError(attempt, error, this.#options.readNowMs()),
        );
    }

    /**
     * Whether an attempt at this host is open, and the host hasn't shown since that it leads. Followers name a frozen
     * leader until their election timeout has passed.
     */
    #isSilent(host: string): boolean {
        const { finder } = this.#options;
        const leaderContactMs = finder.leaderHost === host ? finder.lastLeaderContactMs : -Infinity;
        return [...this.#openAttempts.keys()].some(attempt =>
            attempt.host === host && attempt.startedAtMs >= leaderContactMs
        );
    }

    /** Adds an attempt and returns the signal that ends it. Ends the oldest attempt if too many are open. */
    #addOpenAttempt(attempt: Attempt): AbortSignal {
        const controller = new AbortController();
        this.#openAttempts.set(attempt, controller);
        if (this.#openAttempts.size > MAX_OPEN_ATTEMPTS) {
            const [oldest] = this.#openAttempts.values();
            oldest?.abort();
        }
        return controller.signal;
    }

    #handleSent(attempt: Attempt): void {
        attempt.isSent = true;
        this.#advance(this.#options.readNowMs());
    }

    #handleResponse(attempt: Attempt, response: ForwardedResponse<Operation>, nowMs: number): void {
        this.#openAttempts.delete(attempt);
        if (this.#isSettled) {
            return;
        }
        const { finder } = this.#options;
        const { result } = response;
        const isLatest = attempt === this.#latestAttempt;
        if (result.ok || (result.refusal !== Refusal.NotLeader && result.refusal !== Refusal.Uncertain)) {
            // A late answer doesn't show that its sender still leads.
            if (isLatest && (finder.leaderHost ?? attempt.host) === attempt.host) {
                finder.recordLeader(attempt.host);
            }
            this.#finish(this.#mayOtherAttemptAct(result) ? refused(Refusal.Uncertain) : result);
            return;
        }
        if (isLatest) {
            this.#followNamedLeader(attempt, response.leaderHost);
        }
        this.#handleAttemptWithoutAnswer(attempt, result.refusal === Refusal.Uncertain, nowMs);
    }

    /**
     * Whether a refusal that says that the call had no effect holds for its own attempt only. Another one may have acted
     * before the API key was taken away or the quota lowered.
     */
    #mayOtherAttemptAct(result: CallResult<unknown>): boolean {
        const saysNoEffect = !result.ok && NO_EFFECT_REFUSALS.has(result.refusal);
        return saysNoEffect && !this.#isRead && (this.#mayHaveActed || this.#isAwaitingAnswer);
    }

    /** Passes the leader that a host without the leadership names to the finder, unless the finder knows better. */
    #followNamedLeader(attempt: Attempt, namedHost: string | undefined): void {
        const { finder } = this.#options;
        finder.clearLeader(attempt.host, "it refused a call as not the leader");
        const isUsable = namedHost !== undefined && namedHost !== attempt.host && !this.#isSilent(namedHost);
        if (finder.leaderHost === undefined && isUsable) {
            finder.setNamedLeader(namedHost);
        }
    }

    #handleError(attempt: Attempt, error: unknown, nowMs: number): void {
        this.#openAttempts.delete(attempt);
        if (this.#isSettled) {
            return;
        }
        const { operation, finder, logger } = this.#options;
        logger.debug({ err: error, operation, host: attempt.host }, "forwarded call failed");
        if (attempt === this.#latestAttempt) {
            finder.clearLeader(attempt.host, messageOf(error));
        }
        this.#handleAttemptWithoutAnswer(attempt, !(error instanceof CallError) || error.mayHaveActed, nowMs);
    }

    #handleAttemptWithoutAnswer(attempt: Attempt, mayHaveActed: boolean, nowMs: number): void {
        this.#mayHaveActed ||= mayHaveActed && !this.#isRead;
        if (attempt === this.#latestAttempt) {
            this.#nextAttemptAtMs = nowMs + RETRY_DELAY_MS;
        }
        this.#advance(nowMs);
    }

    #finish(result: CallResult<ForwardedValues[Operation]>): void {
        this.#isSettled = true;
        clearTimeout(this.#timer);
        this.#settle(result);
        this.#openAttempts.forEach(controller => controller.abort());
    }
}
