import { Refusal, refused } from "@waxwingspread/workflow";
import type { CallResult } from "@waxwingspread/workflow";
import { LeaderWait } from "./leader-wait.js";

/** Construction parameters of {@link LeaderCalls}. */
export interface LeaderCallsOptions<Call, Value> {
    /** Host of this replica. */
    host: string;
    /** Longest time from a call's arrival to its result, which is below the time for which its sender waits. */
    maxWaitMs: number;
    /** Returns the host of the current leader; undefined if none is known. */
    readLeaderHost: () => string | undefined;
    /** Reads the monotonic clock. */
    readNowMs: () => number;
    /** Executes a call on this replica and resolves with its result. */
    execute: (call: Call, maxWaitMs: number) => Promise<CallResult<Value>>;
    /** Passes a call on to the leader and resolves with its result. */
    forward: (call: Call, leaderHost: string, maxWaitMs: number) => Promise<CallResult<Value>>;
}

/**
 * Answers calls that only the leader can answer: executes them here, or passes them on to the leader. A call that arrives
 * during an election waits for its result, since callers wait longer after each refusal and would find the next leader late.
 */
export class LeaderCalls<Call, Value> {
    readonly #options: LeaderCallsOptions<Call, Value>;
    readonly #leaderWait: LeaderWait;
    #isForwarding = true;
    #isClosed = false;
    #forwardedAtMs = -Infinity;

    constructor(options: LeaderCallsOptions<Call, Value>) {
        this.#options = options;
        this.#leaderWait = new LeaderWait(options.readLeaderHost);
    }

    /** Resolves with the result, or with a refusal if no leader has answered in time. */
    async handle(call: Call, receivedAtMs: number): Promise<CallResult<Value>> {
        const { readLeaderHost, readNowMs, maxWaitMs } = this.#options;
        const deadlineMs = receivedAtMs + maxWaitMs;
        let nowMs = receivedAtMs;
        let result: CallResult<Value> = refused(Refusal.NotLeader);
        while (nowMs < deadlineMs) {
            const leaderHost = readLeaderHost();
            result = await this.#attempt(call, leaderHost, deadlineMs - nowMs, nowMs);
            if (result.ok || this.#isClosed || !this.#mayNextLeaderAnswer(result.refusal, leaderHost)) {
                return result;
            }
            nowMs = await this.#leaderWait.untilKnown(deadlineMs, readNowMs(), leaderHost);
        }
        return result;
    }

    /** Answers the waiting calls if a leader is known by now, otherwise those whose time is up. */
    tick(nowMs: number): void {
        this.#leaderWait.tick(nowMs);
    }

    /** Lets callers call the leader themselves: this replica passes no calls on any more. */
    stopForwarding(): void {
        this.#isForwarding = false;
    }

    /** Whether a call was passed on within the given time. */
    hasForwarded(withinMs: number, nowMs: number): boolean {
        return nowMs - this.#forwardedAtMs <= withinMs;
    }

    /** Answers the calls that wait; later ones don't wait. */
    close(): void {
        this.#isForwarding = false;
        this.#isClosed = true;
        this.#leaderWait.close();
    }

    /** Whether no leader was known, or the one that was known has not answered or leads no more. */
    #mayNextLeaderAnswer(refusal: Refusal, leaderHost: string | undefined): boolean {
        return refusal === Refusal.Uncertain
            || leaderHost === undefined
            || this.#options.readLeaderHost() !== leaderHost;
    }

    #attempt(
        call: Call,
        leaderHost: string | undefined,
        maxWaitMs: number,
        nowMs: number,
    ): Promise<CallResult<Value>> {
        const { host, execute, forward } = this.#options;
        if (leaderHost === undefined || leaderHost === host) {
            return execute(call, maxWaitMs);
        }
        if (!this.#isForwarding) {
            return Promise.resolve(refused(Refusal.NotLeader));
        }
        this.#forwardedAtMs = nowMs;
        return forward(call, leaderHost, maxWaitMs);
    }
}
