import { Refusal } from "@waxwingspread/workflow";
import type { CallResult, HeartbeatOrders, HeartbeatReport } from "@waxwingspread/workflow";
import { LeaderWait } from "./leader-wait.js";

/** Longest wait of a heartbeat for its turn or for a leader; backend servers wait 1 s for an answer. */
const MAX_WAIT_MS = 800;

type HeartbeatResult = CallResult<HeartbeatOrders | undefined>;

/** Construction parameters of {@link HeartbeatCalls}. */
export interface HeartbeatCallsOptions {
    /** Host of this replica. */
    host: string;
    /** Returns the host of the current leader; undefined if none is known. */
    readLeaderHost: () => string | undefined;
    /** Passes a heartbeat to the node and resolves with its result. */
    call: (report: HeartbeatReport, maxWaitMs: number) => Promise<HeartbeatResult>;
}

/**
 * Answers the heartbeats of backend servers. A heartbeat that arrives during an election waits for its result: servers
 * wait longer after each refusal, and would find the next leader late.
 */
export class HeartbeatCalls {
    readonly #host: string;
    readonly #readLeaderHost: () => string | undefined;
    readonly #call: (report: HeartbeatReport, maxWaitMs: number) => Promise<HeartbeatResult>;
    readonly #leaderWait: LeaderWait;

    constructor({ host, readLeaderHost, call }: HeartbeatCallsOptions) {
        this.#host = host;
        this.#readLeaderHost = readLeaderHost;
        this.#call = call;
        this.#leaderWait = new LeaderWait(readLeaderHost);
    }

    /** Resolves with the orders, or with NotLeader once another leader is known or none was elected in time. */
    async handle(report: HeartbeatReport, nowMs: number): Promise<HeartbeatResult> {
        const deadlineMs = nowMs + MAX_WAIT_MS;
        const result = await this.#call(report, MAX_WAIT_MS);
        const isDuringElection = !result.ok && result.refusal === Refusal.NotLeader
            && this.#readLeaderHost() === undefined;
        if (!isDuringElection) {
            return result;
        }
        const resumedAtMs = await this.#leaderWait.untilKnown(deadlineMs, nowMs);
        const isLeader = this.#readLeaderHost() === this.#host;
        return isLeader && resumedAtMs < deadlineMs ? this.#call(report, deadlineMs - resumedAtMs) : result;
    }

    /** Answers the waiting heartbeats if a leader is known by now, otherwise those whose time is up. */
    tick(nowMs: number): void {
        this.#leaderWait.tick(nowMs);
    }

    /** Answers the heartbeats that wait; later ones don't wait. */
    close(): void {
        this.#leaderWait.close();
    }
}
