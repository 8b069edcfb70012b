import { create } from "@bufbuild/protobuf";
import { JournalEventSchema } from "@waxwingspread/protocol";
import type { JournalEvent } from "@waxwingspread/protocol";
import { HybridClock } from "./hybrid-clock.js";

/** Default number of events that a journal retains. */
export const DEFAULT_JOURNAL_CAPACITY_EVENTS = 4_000;

/** An event to record, with the job and the peer that it concerns. */
export interface JournalRecord {
    name: string;
    customer?: string;
    requestId?: string;
    peer?: string;
    detail?: string;
}

/** Ring buffer of the events of one process, ordered by its hybrid logical clock. */
export class Journal {
    readonly clock = new HybridClock();
    readonly #events: JournalEvent[] = [];
    #oldestIndex = 0;
    #dropped = 0;

    constructor(readonly process: string, readonly capacityEvents = DEFAULT_JOURNAL_CAPACITY_EVENTS) {}

    /** Number of events that newer ones have overwritten. */
    get dropped(): number {
        return this.#dropped;
    }

    /** Adds an event at the given wall-clock time. A full journal overwrites its oldest event. */
    record(record: JournalRecord, wallNowMs: number): void {
        const time = this.clock.next(wallNowMs);
        const event = create(JournalEventSchema, { ...record, ...time, process: this.process });
        if (this.#events.length < this.capacityEvents) {
            this.#events.push(event);
            return;
        }
        this.#events[this.#oldestIndex] = event;
        this.#oldestIndex = (this.#oldestIndex + 1) % this.capacityEvents;
        this.#dropped += 1;
    }

    /** Returns the retained events from the oldest to the newest. */
    events(): JournalEvent[] {
        return [...this.#events.slice(this.#oldestIndex), ...this.#events.slice(0, this.#oldestIndex)];
    }
}
