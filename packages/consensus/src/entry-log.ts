import type { LogEntry } from "@waxwingspread/protocol";

const ENTRY_OVERHEAD_BYTES = 24;
const MEMBER_BYTES = 80;

/** Returns the approximate encoded size of an entry without encoding it. */
export const approximateSizeBytes = (entry: LogEntry): number => {
    switch (entry.body.case) {
        case "data":
            return ENTRY_OVERHEAD_BYTES + entry.body.value.length;
        case "membership":
            return ENTRY_OVERHEAD_BYTES + entry.body.value.members.length * MEMBER_BYTES;
        default:
            return ENTRY_OVERHEAD_BYTES;
    }
};

/** Consecutive log entries after a base position, with lookup by index in constant time. */
export class EntryLog {
    #entries: LogEntry[] = [];
    #baseIndex = 0;
    #baseTerm = 0;

    /** Index of the entry before the first one kept; 0 for a complete log. */
    get baseIndex(): number {
        return this.#baseIndex;
    }

    get lastIndex(): number {
        return this.#baseIndex + this.#entries.length;
    }

    get lastTerm(): number {
        return this.#entries.at(-1)?.term ?? this.#baseTerm;
    }

    get(index: number): LogEntry | undefined {
        return this.#entries[index - this.#baseIndex - 1];
    }

    /** Returns the term at an index; undefined when the log doesn't contain it. */
    termAt(index: number): number | undefined {
        return index === this.#baseIndex ? this.#baseTerm : this.get(index)?.term;
    }

    /** Adds the entry that follows the last one. */
    append(entry: LogEntry): void {
        this.#entries.push(entry);
    }

    /** Removes the entry at this index and all later ones. */
    truncateFrom(index: number): void {
        this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
    }

    /**
     * Removes the entries up to and including this index, except for the last ones within the bounds; does nothing if the
     * log doesn't contain the index.
     */
    compact(lastIndex: number, retainedEntries: number, retainedBytes: number): void {
        let index = lastIndex;
        let bytes = 0;
        while (index > this.#baseIndex && lastIndex - index < retainedEntries) {
            const entry = this.get(index);
            bytes += entry === undefined ? 0 : approximateSizeBytes(entry);
            if (bytes > retainedBytes) {
                break;
            }
            index -= 1;
        }
        const term = this.termAt(index);
        if (term === undefined || index <= this.#baseIndex) {
            return;
        }
        this.#entries.splice(0, index - this.#baseIndex);
        this.#baseIndex = index;
        this.#baseTerm = term;
    }

    /** Discards everything; the log continues after the given position. */
    reset(index: number, term: number): void {
        this.#entries = [];
        this.#baseIndex = index;
        this.#baseTerm = term;
    }

    /** Returns the entries from `first` to `last`, both included. */
    slice(first: number, last: number): LogEntry[] {
        return this.#entries.slice(first - this.#baseIndex - 1, last - this.#baseIndex);
    }

    /** Returns entries from `first` within the bounds, at least one if there is any. */
    batch(first: number, maximumEntries: number, maximumBytes: number): { entries: LogEntry[]; bytes: number } {
        const entries: LogEntry[] = [];
        let bytes = 0;
        for (let index = first; index <= this.lastIndex && entries.length < maximumEntries; index += 1) {
            const entry = this.get(index);
            if (entry === undefined) {
                break;
            }
            const size = approximateSizeBytes(entry);
            if (entries.length > 0 && bytes + size > maximumBytes) {
                break;
            }
            entries.push(entry);
            bytes += size;
        }
        return { entries, bytes };
    }
}
