import { create } from "@bufbuild/protobuf";
import { JournalEventSchema } from "@waxwingspread/protocol";
import type { JournalEvent } from "@waxwingspread/protocol";
import { HybridClock } from "./hybrid-clock.js";

/** Events kept by a journal unless told otherwise. */
export const DEFAULT_JOURNAL_CAPACITY_EVENTS = 4_000;

/** What happened, to which request, with which peer. */
export interface JournalRecord {
    name: string;
    customer?: string;
    requestId?: string;
    peer?: string;
    detail?: string;
}

/** Bounded ring of events of one process, in causal order. */
export class Journal {
    readonly clock = new HybridClock();
    readonly #events: JournalEvent[] = [];
    #next = 0;
    #dropped = 0;

    constructor(readonly process: string, readonly capacityEvents = DEFAULT_JOURNAL_CAPACITY_EVENTS) {}

    get dropped(): number {
        return this.#dropped;
    }

    /** Adds an event at the given wall time; the oldest event makes room for it. */
    record(record: JournalRecord, wallNowMs: number): void {
        const time = this.clock.next(wallNowMs);
        const event = create(JournalEventSchema, { ...record, ...time, process: this.process });
        if (this.#events.length < this.capacityEvents) {
            this.#events.push(event);
            return;
        }
        this.#events[this.#next] = event;
        this.#next = (this.#next + 1) % this.capacityEvents;
        this.#dropped += 1;
    }

    /** Returns the kept events from the oldest to the newest. */
    events(): JournalEvent[] {
        return [...this.#events.slice(this.#next), ...this.#events.slice(0, this.#next)];
    }
}
