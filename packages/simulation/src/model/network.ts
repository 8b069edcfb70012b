import type { EventQueue } from "./event-queue.js";

/** Additional delay of the messages of a server whose network is slow; longer than a server waits for an answer. */
const MAX_SLOW_DELAY_MS = 2_500;

/** Dependencies of a {@link Network}. */
export interface NetworkOptions {
    events: EventQueue;
    /** Returns a number between two bounds, both included. */
    pick: (minimum: number, maximum: number) => number;
    maxDelayMs: number;
}

/** Delivers the messages between the servers and the leader, late or not at all. */
export class Network {
    readonly #options: NetworkOptions;
    /** Times until which servers exchange no messages with the leader, by server. */
    readonly #partitionedUntilMs = new Map<string, number>();
    /** Times until which the messages of servers arrive late, by server. */
    readonly #slowUntilMs = new Map<string, number>();

    constructor(options: NetworkOptions) {
        this.#options = options;
    }

    partition(serverId: string, durationMs: number): void {
        this.#partitionedUntilMs.set(serverId, this.#options.events.nowMs + durationMs);
    }

    /** Delays the messages from and to a server, so that heartbeats arrive after later ones or at a later leader. */
    slowDown(serverId: string, durationMs: number): void {
        this.#slowUntilMs.set(serverId, this.#options.events.nowMs + durationMs);
    }

    heal(): void {
        this.#partitionedUntilMs.clear();
        this.#slowUntilMs.clear();
    }

    isPartitioned(serverId: string): boolean {
        return this.#options.events.nowMs < (this.#partitionedUntilMs.get(serverId) ?? 0);
    }

    /** Delivers a message from or to a server after a delay. */
    send(serverId: string, deliver: () => void): void {
        const { events, pick, maxDelayMs } = this.#options;
        const isSlow = events.nowMs < (this.#slowUntilMs.get(serverId) ?? 0);
        events.after(pick(0, isSlow ? MAX_SLOW_DELAY_MS : maxDelayMs), deliver);
    }
}
