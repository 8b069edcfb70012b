import { messageOf } from "@waxwingspread/common";
import { initialMembership } from "@waxwingspread/consensus";
import type { ReplicaRunner } from "@waxwingspread/consensus";
import type { Logger } from "pino";
import { hostOf } from "../transport/host-of.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import type { JsonCaller } from "./json-call.js";
import { JOIN_PATH } from "./operations.js";
import type { JoinRequest, JoinResponse } from "./operations.js";

const JOIN_TIMEOUT_MS = 500;
/** Time without a known leader after which a replica requests to join, since it may have been removed. */
const JOIN_AFTER_MS = 1_500;

/** Construction parameters of a cluster joiner. */
export interface ClusterJoinerOptions {
    runner: ReplicaRunner;
    caller: JsonCaller;
    /** Host of this replica. */
    host: string;
    /** Port of the internal listeners of all replicas. */
    internalPort: number;
    logger: Logger;
}

/** Requests membership from the other replicas while this replica knows no leader. */
export class ClusterJoiner {
    readonly #options: ClusterJoinerOptions;
    #leaderLastKnownMs: number;

    constructor(options: ClusterJoinerOptions, nowMs: number) {
        this.#options = options;
        this.#leaderLastKnownMs = nowMs;
    }

    /** Records the time if a leader is known. */
    tick(nowMs: number): void {
        if (this.#options.runner.replica.leader !== undefined) {
            this.#leaderLastKnownMs = nowMs;
        }
    }

    /** Sends a join request to all known hosts if no leader has been known for long enough. */
    async joinIfLeaderless(seedHosts: readonly string[], nowMs: number): Promise<void> {
        const { replica } = this.#options.runner;
        if (replica.leader !== undefined || nowMs - this.#leaderLastKnownMs < JOIN_AFTER_MS) {
            return;
        }
        const { name, diskId, address, availabilityZone } = replica.identity;
        const request: JoinRequest = { name, diskId, address, availabilityZone, isFormed: replica.isFormed };
        const memberHosts = replica.membership.members.map(member => hostOf(member.identity?.address ?? ""));
        const hosts = new Set(
            [...memberHosts, ...seedHosts].filter(host => host !== "" && host !== this.#options.host),
        );
        await Promise.all([...hosts].map(host => this.#requestJoin(host, request)));
    }

    async #requestJoin(host: string, body: JoinRequest): Promise<void> {
        const { caller, internalPort, logger } = this.#options;
        try {
            const call = { host, port: internalPort, path: JOIN_PATH, body, timeoutMs: JOIN_TIMEOUT_MS };
            const { mayFound } = await caller.call<JoinResponse>(call);
            if (mayFound === true) {
                this.#found();
            }
        }
        catch (error) {
            logger.debug({ host, reason: messageOf(error) }, "request to join failed");
        }
    }

    /** Forms a cluster of this replica alone, which the others then join. */
    #found(): void {
        const { runner, logger } = this.#options;
        if (!runner.replica.isFormed) {
            runner.form(initialMembership([runner.replica.identity]), monotonicNowMs());
            logger.info({ members: 1 }, "cluster formed for seeds without disks");
        }
    }
}
