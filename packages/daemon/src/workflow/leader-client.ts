import { messageOf } from "@waxwingspread/common";
import { Refusal } from "@waxwingspread/workflow";
import type { CallResult } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { presentTimeMs } from "../transport/present-time.js";
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

/** A leader that doesn't answer for this long is taken for lost; it commits in a fraction of that. */
const CALL_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 40;
const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 400;
/** An entry that has not heard of a serving leader for this long isn't ready. */
const READY_AGE_MS = 2_500;

/** Construction parameters of a leader client. */
export interface LeaderClientOptions {
    /** Hosts of control replicas known from the settings. */
    seedHosts: readonly string[];
    /** Port of the internal listeners. */
    port: number;
    metrics: EntryMetrics;
    logger: Logger;
}

/** Until when a call may take. */
export interface ForwardLimits {
    /** When a call that no leader has received is given up. */
    refuseAtMs: number;
    /** When a call that a leader may have received is given up. */
    deadlineMs: number;
}

/** Finds the leader and forwards calls to it. */
export class LeaderClient {
    readonly #caller = new JsonCaller();
    readonly #port: number;
    readonly #metrics: EntryMetrics;
    readonly #logger: Logger;
    #seedHosts: readonly string[];
    #memberHosts: string[] = [];
    #leaderHost: string | undefined;
    #nextHost = 0;
    #leaderSeenAtMs = -Infinity;
    #prober: NodeJS.Timeout | undefined;

    constructor(options: LeaderClientOptions) {
        this.#seedHosts = options.seedHosts;
        this.#port = options.port;
        this.#metrics = options.metrics;
        this.#logger = options.logger;
    }

    start(): void {
        this.#prober = setInterval(() => void this.#probeAll(), PROBE_INTERVAL_MS);
        void this.#probeAll();
    }

    stop(): void {
        clearInterval(this.#prober);
        this.#caller.close();
    }

    /** Whether a serving leader was heard of lately. */
    isReady(nowMs: number): boolean {
        return nowMs - this.#leaderSeenAtMs < READY_AGE_MS;
    }

    /** Replaces the hosts from the settings. */
    setSeedHosts(hosts: readonly string[]): void {
        this.#seedHosts = hosts;
    }

    /**
     * Forwards a call until a leader has answered it or the time is up. NotRun if it reached no leader, Uncertain
     * if a leader may have acted.
     */
    async forward<Operation extends ForwardedOperation>(
        operation: Operation,
        request: ForwardedRequests[Operation],
        limits: ForwardLimits,
    ): Promise<CallResult<ForwardedValues[Operation]>> {
        const startedAtMs = presentTimeMs();
        const result = await this.#forward(operation, request, limits);
        this.#metrics.answered(operation, result, presentTimeMs() - startedAtMs);
        return result;
    }

    async #forward<Operation extends ForwardedOperation>(
        operation: Operation,
        request: ForwardedRequests[Operation],
        { refuseAtMs, deadlineMs }: ForwardLimits,
    ): Promise<CallResult<ForwardedValues[Operation]>> {
        let isUncertain = false;
        while (presentTimeMs() < (isUncertain ? deadlineMs : refuseAtMs)) {
            const host = this.#leaderHost ?? this.#pickHost();
            const timeoutMs = Math.max(1, Math.min(CALL_TIMEOUT_MS, deadlineMs - presentTimeMs()));
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
                    this.#sawLeader(host);
                    return result;
                }
                isUncertain ||= result.refusal === Refusal.Uncertain;
                this.#leaderHost = response.leaderHost === host ? undefined : response.leaderHost;
            }
            catch (error) {
                isUncertain ||= !(error instanceof CallError) || error.mayHaveActed;
                this.#logger.debug({ err: error, operation, host }, "forwarded call failed");
                this.#forgetLeader(host);
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

    #sawLeader(host: string): void {
        if (this.#leaderHost !== host) {
            this.#logger.info({ leader: host }, "leader found");
        }
        this.#leaderHost = host;
        this.#leaderSeenAtMs = presentTimeMs();
    }

    #forgetLeader(host: string): void {
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
                this.#sawLeader(host);
            }
            else {
                this.#forgetLeader(host);
            }
        }
        catch (error) {
            this.#logger.debug({ host, reason: messageOf(error) }, "control replica doesn't answer");
            this.#forgetLeader(host);
        }
    }
}
