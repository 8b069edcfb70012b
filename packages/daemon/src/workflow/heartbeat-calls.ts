import { Refusal, refused } from "@waxwingspread/workflow";
import type { CallResult, HeartbeatReport } from "@waxwingspread/workflow";
import { LeaderWait } from "./leader-wait.js";
import type { HeartbeatAnswer } from "./operations.js";

/** Longest wait of a heartbeat for its turn or for a leader; backend servers wait 1 s for an answer. */
const MAX_WAIT_MS = 800;

/** Result of a heartbeat; undefined for an outdated one, which gets no orders. */
export type HeartbeatResult = CallResult<HeartbeatAnswer | undefined>;

/** Construction parameters of {@link HeartbeatCalls}. */
export interface HeartbeatCallsOptions {
    /** Host of this replica. */
    host: string;
    /** Returns the host of the current leader; undefined if none is known. */
    readLeaderHost: () => string | undefined;
    /** Reads the monotonic clock. */
    readNowMs: () => number;
    /** Passes a heartbeat to the node of this replica and resolves with its result. */
    call: (report: HeartbeatReport, maxWaitMs: number) => Promise<HeartbeatResult>;
    /** Passes a heartbeat on to the leader and resolves with its result. */
    forward: (report: HeartbeatReport, leaderHost: string) => Promise<HeartbeatResult>;
}

/**
 * Answers the heartbeats of backend servers, or passes them on to the leader. A heartbeat that arrives during an election
 * waits for its result: servers wait longer after each refusal, and would find the next leader late.
 */
export class HeartbeatCalls {
    readonly #options: HeartbeatCallsOptions;
    readonly #leaderWait: LeaderWait;
    #isForwarding = true;
    #isClosed = false;
    #forwardedAtMs = -Infinity;

    constructor(options: HeartbeatCallsOptions) {
        this.#options = options;
        this.#leaderWait = new LeaderWait(options.readLeaderHost);
    }

    /** Resolves with the answer, or with a refusal if no leader has answered in time. */
    async handle(report: HeartbeatReport, receivedAtMs: number): Promise<HeartbeatResult> {
        const { readLeaderHost, readNowMs } = this.#options;
        const deadlineMs = receivedAtMs + MAX_WAIT_MS;
        let nowMs = receivedAtMs;
        let result: HeartbeatResult = refused(Refusal.NotLeader);
        while (nowMs < deadlineMs) {
            const leaderHost = readLeaderHost();
            result = await this.#attempt(report, leaderHost, deadlineMs - nowMs, nowMs);
            if (result.ok || this.#isClosed || !this.#mayNextLeaderAnswer(result.refusal, leaderHost)) {
                return result;
            }
            nowMs = await this.#leaderWait.untilKnown(deadlineMs, readNowMs(), leaderHost);
        }
        return result;
    }

    /** Answers the waiting heartbeats if a leader is known by now, otherwise those whose time is up. */
    tick(nowMs: number): void {
        this.#leaderWait.tick(nowMs);
    }

    /** Lets the servers call the leader themselves: this replica passes no heartbeats on any more. */
    stopForwarding(): void {
        this.#isForwarding = false;
    }

    /** Whether a heartbeat was passed on within the given time. */
    hasForwarded(withinMs: number, nowMs: number): boolean {
        return nowMs - this.#forwardedAtMs <= withinMs;
    }

    /** Answers the heartbeats that wait; later ones don't wait. */
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
        report: HeartbeatReport,
        leaderHost: string | undefined,
        maxWaitMs: number,
        nowMs: number,
    ): Promise<HeartbeatResult> {
        const { host, call, forward } = this.#options;
        if (leaderHost === undefined || leaderHost === host) {
            return call(report, maxWaitMs);
        }
        if (!this.#isForwarding) {
            return Promise.resolve(refused(Refusal.NotLeader));
        }
        this.#forwardedAtMs = nowMs;
        return forward(report, leaderHost);
    }
}
