import type { Logger } from "pino";
import { Registry } from "prom-client";
import { LineBudget } from "../logging/line-budget.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { ByteBudget } from "./byte-budget.js";
import type { Holding } from "./byte-budget.js";
import { ClientMetrics, GiveUpReason } from "./client-metrics.js";
import { InputScheduler } from "./input-scheduler.js";
import type { ServedConnection } from "./served-connection.js";

/** Share of a VM's memory for requests that have not arrived in full or are in progress. */
const REQUEST_SHARE = 1 / 8;
/** Share of a VM's memory for answers that clients have yet to read. */
const ANSWER_SHARE = 1 / 4;
/** Used where the memory of the VM isn't known. */
const DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024;
/** Time after which an answer that its client doesn't read is given up. */
const UNREAD_ANSWER_TIMEOUT_MS = 30_000;
/** Share of a listener's connections from which on stalled ones are closed for the benefit of others. */
const CROWDED_SHARE = 0.9;
/** Time for which a client may be stalled on a crowded listener. */
const CROWDED_STALL_MS = 3_000;

/** Response to a request that has not arrived in full, and so has not run. */
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\n"
    + "Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** Memory that clients may hold, and where refusals are reported. */
export interface ClientLimitsOptions {
    /** Memory of the VM; 256 MiB if it isn't known. */
    memoryBytes?: number | undefined;
    /** Registry for the metrics; without it there are none. */
    registry?: Registry;
    logger: Logger;
}

/** Limits what clients hold together in one process. Shared by all its listeners for clients. */
export class ClientLimits {
    readonly scheduler = new InputScheduler();
    readonly requestBudget: ByteBudget;
    readonly answerBudget: ByteBudget;
    readonly #connections = new Map<Holding, ServedConnection>();
    readonly #lineBudget = new LineBudget(1);
    readonly #logger: Logger;
    readonly #metrics: ClientMetrics;

    constructor(options: ClientLimitsOptions) {
        const { memoryBytes = DEFAULT_MEMORY_BYTES } = options;
        this.#logger = options.logger;
        this.requestBudget = new ByteBudget(memoryBytes * REQUEST_SHARE);
        this.answerBudget = new ByteBudget(memoryBytes * ANSWER_SHARE);
        this.#metrics = new ClientMetrics(options.registry ?? new Registry());
    }

    /** Adds a connection until its socket closes. */
    add(connection: ServedConnection): void {
        const { requestMemory, answerMemory, socket } = connection;
        this.#connections.set(requestMemory, connection).set(answerMemory, connection);
        socket.once("close", () => {
            this.#connections.delete(requestMemory);
            this.#connections.delete(answerMemory);
        });
    }

    /** Closes connections until the budgets hold. */
    enforce(): void {
        this.#enforceBudget(this.requestBudget, GiveUpReason.RequestMemory);
        this.#enforceBudget(this.answerBudget, GiveUpReason.AnswerMemory);
    }

    /** Closes the connections of a listener whose clients are stalled for too long. */
    closeStalled(connections: ReadonlySet<ServedConnection>, maxConnections: number, nowMs: number): void {
        const crowdedCount = maxConnections * CROWDED_SHARE;
        this.#metrics.recordUse(this.requestBudget, this.answerBudget);
        if (connections.size <= crowdedCount && this.answerBudget.usedBytes === 0) {
            return;
        }
        const stalled = [...connections]
            .map(connection => ({ connection, stalledMs: nowMs - (connection.stalledSinceMs ?? nowMs) }))
            .sort((left, right) => right.stalledMs - left.stalledMs);
        let remaining = connections.size;
        for (const { connection, stalledMs } of stalled) {
            if (connection.answerMemory.bytes > 0 && stalledMs >= UNREAD_ANSWER_TIMEOUT_MS) {
                this.#giveUp(connection, GiveUpReason.UnreadAnswer);
                remaining -= 1;
            }
            else if (remaining > crowdedCount && stalledMs >= CROWDED_STALL_MS) {
                this.#giveUp(connection, GiveUpReason.Crowded);
                remaining -= 1;
            }
        }
    }

    #enforceBudget(budget: ByteBudget, reason: GiveUpReason): void {
        if (!budget.isExceeded) {
            return;
        }
        for (const holding of budget.selectExcess(monotonicNowMs())) {
            const connection = this.#connections.get(holding);
            if (connection !== undefined) {
                this.#giveUp(connection, reason);
            }
        }
    }

    #giveUp(connection: ServedConnection, reason: GiveUpReason): void {
        for (const [line, count] of this.#lineBudget.advance(monotonicNowMs())) {
            this.#logger.warn({ line, count }, "log lines dropped");
        }
        if (this.#lineBudget.tryTake(reason)) {
            const peer = connection.socket.remoteAddress;
            const heldBytes = connection.requestMemory.bytes + connection.answerMemory.bytes;
            this.#logger.warn({ reason, peer, heldBytes }, "connection closed to protect the process");
        }
        this.#metrics.recordClosed(reason);
        connection.close(REFUSAL);
    }
}
