import { messageOf } from "@waxwingspread/common";
import { Refusal } from "@waxwingspread/workflow";
import type { CallResult } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { CallError, JsonCaller } from "./json-call.js";
import { CLUSTER_PATH, forwardedPath } from "./operations.js";
import type {
    ClusterDescription,
    ForwardedOperation,
    ForwardedRequests,
    ForwardedResponse,
    ForwardedValues,
} from "./operations.js";
import type { EntryMetrics } from "./workflow-metrics.js";

/** Timeout of a call, after which the leader is treated as lost. A commit takes a fraction of this time. */
const CALL_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 40;
const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 400;
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

/** Discovers the leader by probing control replicas, and forwards calls to it. */
export class LeaderClient {
    readonly #caller = new JsonCaller();
    readonly #port: number;
    readonly #metrics: EntryMetrics;
    readonly #logger: Logger;
    #seedHosts: readonly string[];
    #memberHosts: string[] = [];
    #leaderHost: string | undefined;
    #nextHost = 0;
    #lastLeaderContactMs = -Infinity;
    #probeTimer: NodeJS.Timeout | undefined;

    constructor(options: LeaderClientOptions) {
        this.#seedHosts = options.seedHosts;
        this.#port = options.port;
        this.#metrics = options.metrics;
        this.#logger = options.logger;
    }

    /** Starts probing. */
    start(): void {
        this.#probeTimer = setInterval(() => void this.#probeAll(), PROBE_INTERVAL_MS);
        void this.#probeAll();
    }

    /** Stops probing and closes all connections. */
    stop(): void {
        clearInterval(this.#probeTimer);
        this.#caller.close();
    }

    /** Returns whether there was contact to a serving leader recently. */
    isReady(nowMs: number): boolean {
        return nowMs - this.#lastLeaderContactMs < READINESS_TIMEOUT_MS;
    }

    /** Replaces the seed hosts, for example after the settings have changed. */
    setSeedHosts(hosts: readonly string[]): void {
        this.#seedHosts = hosts;
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
            const host = this.#leaderHost ?? this.#pickHost();
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
                    this.#recordLeader(host);
                    return result;
                }
                isUncertain ||= result.refusal === Refusal.Uncertain;
                this.#leaderHost = response.leaderHost === host ? undefined : response.leaderHost;
            }
            catch (error) {
                isUncertain ||= !(error instanceof CallError) || error.mayHaveActed;
                this.#logger.debug({ err: error, operation, host }, "forwarded call failed");
                this.#clearLeader(host);
            }
            await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
        }
        return { ok: false, refusal: isUncertain ? Refusal.Uncertain : Refusal.NotRun };
    }

    get #hosts(): string[] {
        return [...new Set([...this.#memberHosts, ...this.#seedHosts])];
    }

    #pickHost(): string {
        const hosts = this.#hosts;
        this.#nextHost = (this.#nextHost + 1) % hosts.length;
        return hosts[this.#nextHost] ?? "";
    }

    #recordLeader(host: string): void {
        if (this.#leaderHost !== host) {
            this.#logger.info({ leader: host }, "leader found");
        }
        this.#leaderHost = host;
        this.#lastLeaderContactMs = monotonicNowMs();
    }

    #clearLeader(host: string): void {
        if (this.#leaderHost === host) {
            this.#logger.info({ leader: host }, "leader lost");
            this.#leaderHost = undefined;
        }
    }

    async #probeAll(): Promise<void> {
        const hosts = this.#leaderHost === undefined ? this.#hosts : [this.#leaderHost];
        await Promise.all(hosts.map(host => this.#probe(host)));
    }

    async #probe(host: string): Promise<void> {
        try {
            const description = await this.#caller.call<ClusterDescription>({
                host,
                port: this.#port,
                path: CLUSTER_PATH,
                body: {},
                timeoutMs: PROBE_TIMEOUT_MS,
            });
            if (description.isServing) {
                this.#memberHosts = description.memberHosts;
                this.#recordLeader(host);
            }
            else {
                this.#clearLeader(host);
            }
        }
        catch (error) {
            this.#logger.debug({ host, reason: messageOf(error) }, "probe of control replica failed");
            this.#clearLeader(host);
        }
    }
}
