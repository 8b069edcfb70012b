import type { CallResult } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { ForwardedCall } from "./forwarded-call.js";
import type { ForwardDeadlines } from "./forwarded-call.js";
import { InternalCaller } from "./internal-caller.js";
import { LeaderFinder } from "./leader-finder.js";
import type { ForwardedOperation, ForwardedRequests, ForwardedValues } from "./operations.js";
import type { EntryMetrics } from "./workflow-metrics.js";

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

/** Forwards calls to the leader. */
export class LeaderClient {
    readonly #caller = new InternalCaller();
    readonly #port: number;
    readonly #metrics: EntryMetrics;
    readonly #logger: Logger;
    readonly #finder: LeaderFinder;
    readonly #openCalls = new Set<{ limitDeadline: (deadlineMs: number, nowMs: number) => void }>();
    /** Time at which all calls end. */
    #endMs = Infinity;

    constructor(options: LeaderClientOptions) {
        this.#port = options.port;
        this.#metrics = options.metrics;
        this.#logger = options.logger;
        this.#finder = new LeaderFinder({ ...options, caller: this.#caller, readNowMs: monotonicNowMs });
    }

    /** Starts to look for the leader. */
    start(): void {
        this.#finder.start();
    }

    /** Ends all open and later calls at this time, so that their callers are answered before the process exits. */
    endCallsAt(endMs: number, nowMs: number): void {
        this.#endMs = endMs;
        this.#openCalls.forEach(call => call.limitDeadline(endMs, nowMs));
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
     * if the call reached no leader or was a read, or Uncertain if a leader may have executed it.
     */
    async forward<Operation extends ForwardedOperation>(
        operation: Operation,
        request: ForwardedRequests[Operation],
        deadlines: ForwardDeadlines,
    ): Promise<CallResult<ForwardedValues[Operation]>> {
        const startedAtMs = monotonicNowMs();
        const call = new ForwardedCall({
            operation,
            request,
            deadlines: { ...deadlines, deadlineMs: Math.min(deadlines.deadlineMs, this.#endMs) },
            caller: this.#caller,
            finder: this.#finder,
            port: this.#port,
            readNowMs: monotonicNowMs,
            logger: this.#logger,
        });
        this.#openCalls.add(call);
        const result = await call.run();
        this.#openCalls.delete(call);
        this.#metrics.recordRequest(operation, result, monotonicNowMs() - startedAtMs);
        return result;
    }
}
