import TinyQueue from "tinyqueue";

interface ScheduledEvent {
    atMs: number;
    /** Events of the same time are executed in the order in which they were scheduled. */
    number: number;
    execute: () => void;
}

/** Simulated clock with the events that are due at later times. */
export class EventQueue {
    readonly #events = new TinyQueue<ScheduledEvent>([], (a, b) => a.atMs - b.atMs || a.number - b.number);
    #nowMs: number;
    #count = 0;

    constructor(startMs: number) {
        this.#nowMs = startMs;
    }

    get nowMs(): number {
        return this.#nowMs;
    }

    /** Schedules an event; one of the past is executed at the present time. */
    after(delayMs: number, execute: () => void): void {
        this.#count += 1;
        this.#events.push({ atMs: this.#nowMs + Math.max(0, delayMs), number: this.#count, execute });
    }

    /** Executes the events of the given time span, and those that they schedule in it. */
    advance(durationMs: number): void {
        const endMs = this.#nowMs + durationMs;
        for (let next = this.#events.peek(); next !== undefined && next.atMs <= endMs; next = this.#events.peek()) {
            this.#events.pop();
            this.#nowMs = next.atMs;
            next.execute();
        }
        this.#nowMs = endMs;
    }
}
