import type { Registry } from "prom-client";
import { MetricFactory } from "../metrics/metric-factory.js";
import type { ByteBudget } from "./byte-budget.js";

/** Why a connection was closed to protect the process. */
export enum GiveUpReason {
    /** Requests that have not arrived in full, or are in progress, hold too much memory. */
    RequestMemory = "request-memory",
    /** Answers that clients have yet to read hold too much memory. */
    AnswerMemory = "answer-memory",
    /** The client has not read its answer in time. */
    UnreadAnswer = "unread-answer",
    /** The client is stalled while the listener has hardly any connections left. */
    Crowded = "crowded",
}

/** Metrics of the limits on what clients hold. */
export class ClientMetrics {
    readonly #closed;
    readonly #usedBytes;
    readonly #limitBytes;

    constructor(registry: Registry) {
        const factory = new MetricFactory(registry);
        const budgets = { budget: ["requests", "answers"] } as const;
        this.#closed = factory.counter("client_connections_closed", "Connections closed to protect the process", {
            reason: Object.values(GiveUpReason),
        });
        this.#usedBytes = factory.gauge("client_memory_bytes", "Memory that clients hold, by budget", budgets);
        this.#limitBytes = factory.gauge("client_memory_limit_bytes", "Memory that clients may hold", budgets);
    }

    /** Counts a connection that was closed. */
    recordClosed(reason: GiveUpReason): void {
        this.#closed.add({ reason });
    }

    /** Records how much of the budgets is in use. */
    recordUse(requests: ByteBudget, answers: ByteBudget): void {
        this.#usedBytes.set({ budget: "requests" }, requests.usedBytes);
        this.#usedBytes.set({ budget: "answers" }, answers.usedBytes);
        this.#limitBytes.set({ budget: "requests" }, requests.limitBytes);
        this.#limitBytes.set({ budget: "answers" }, answers.limitBytes);
    }
}
