import { messageOf } from "@waxwingspread/common";
import { Refusal } from "@waxwingspread/workflow";
import type { CallResult } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { InternalCaller } from "./internal-caller.js";
import { CallError } from "./json-call.js";
import { LeaderFinder } from "./leader-finder.js";
import { forwardedPath } from "./operations.js";
import type { ForwardedOperation, ForwardedRequests, ForwardedResponse, ForwardedValues } from "./operations.js";
import type { EntryMetrics } from "./workflow-metrics.js";

/** Timeout of a call, after which the leader is treated as lost. A commit takes a fraction of this time. */
const CALL_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 40;
/** Time without contact to a serving leader after which an entry is not ready. */
const READINESS_TIMEOUT_MS = 2_500;

/** Construction parameters of a leader client. */
export interface LeaderClientOptions {
    /** Hosts of control replicas from the settings. */
    seedHosts: readonly string[];
    /** Port of the internal listeners of all replicas. */
    port: number;
    metrics: EntryMetrics;
    logger: Logger;
}

/** Deadlines of a forwarded call, as times of the monotonic clock. */
export interface ForwardDeadlines {
    /** Time at which a call that no leader can have received fails with NotRun. */
    notRunDeadlineMs: number;
    /** Time at which a call that a leader may have received fails with Uncertain. */
    deadlineMs: number;
}

/** Forwards calls to the leader. */
export class LeaderClient {
    readonly #caller = new InternalCaller();
    readonly #port: number;
    readonly #metrics: EntryMetrics;
    readonly #logger: Logger;
    readonly #finder: LeaderFinder;

    constructor(options: LeaderClientOptions) {
        this.#port = options.port;
        this.#metrics = options.metrics;
        this.#logger = options.logger;
        this.#finder = new LeaderFinder({ ...options, caller: this.#caller });
    }

    /** Starts to look for the leader. */
    start(): void {
        this.#finder.start();
    }

    /** Stops looking for the leader and closes all connections. */
    stop(): void {
        this.#finder.stop();
        this.#caller.close();
    }

    /** Returns whether there was contact to a serving leader recently. */
    isReady(nowMs: number): boolean {
        return nowMs - this.#finder.lastLeaderContactMs < READINESS_TIMEOUT_MS;
    }

    /** Replaces the seed hosts, for example after the settings have changed. */
    setSeedHosts(hosts: readonly string[]): void {
        this.#finder.setSeedHosts(hosts);
    }

    /**
     * Forwards a call with retries until a leader has answered or the deadline has passed. The refusal is then NotRun
     * if the call reached no leader, or Uncertain if a leader may have executed it.
     */
    async forward<Operation extends ForwardedOperation>(
        operation: Operation,
        request: ForwardedRequests[Operation],
        deadlines: ForwardDeadlines,
    ): Promise<CallResult<ForwardedValues[Operation]>> {
        const startedAtMs = monotonicNowMs();
        const result = await this.#forward(operation, request, deadlines);
        this.#metrics.recordRequest(operation, result, monotonicNowMs() - startedAtMs);
        return result;
    }

    async #forward<Operation extends ForwardedOperation>(
        operation: Operation,
        request: ForwardedRequests[Operation],
        { notRunDeadlineMs, deadlineMs }: ForwardDeadlines,
    ): Promise<CallResult<ForwardedValues[Operation]>> {
        let isUncertain = false;
        while (monotonicNowMs() < (isUncertain ? deadlineMs : notRunDeadlineMs)) {
            const host = this.#finder.leaderHost ?? this.#finder.pickHost();
            const timeoutMs = Math.max(1, Math.min(CALL_TIMEOUT_MS, deadlineMs - monotonicNowMs()));
            try {
                const response = await this.#caller.call<ForwardedResponse<Operation>>({
                    host,
                    port: this.#port,
                    path: forwardedPath(operation),
                    body: request,
                    timeoutMs,
                });
                const { result } = response;
                if (result.ok || (result.refusal !== Refusal.NotLeader && result.refusal !== Refusal.Uncertain)) {
                    this.#finder.recordLeader(host);
                    return result;
                }
                isUncertain ||= result.refusal === Refusal.Uncertain;
                this.#finder.setNamedLeader(response.leaderHost === host ? undefined : response.leaderHost);
            }
            catch (error) {
                isUncertain ||= !(error instanceof CallError) || error.mayHaveActed;
                this.#logger.debug({ err: error, operation, host }, "forwarded call failed");
                this.#finder.clearLeader(host, messageOf(error));
            }
            await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
        }
        return { ok: false, refusal: isUncertain ? Refusal.Uncertain : Refusal.NotRun };
    }
}
