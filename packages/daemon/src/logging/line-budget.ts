const WINDOW_MS = 1_000;

/** Limits the log lines of each kind of event per second and counts those that exceed the limit. */
export class LineBudget {
    readonly #maxLinesPerSecond: number;
    readonly #linesByKind = new Map<string, number>();
    #windowEndMs = 0;

    constructor(maxLinesPerSecond: number) {
        this.#maxLinesPerSecond = maxLinesPerSecond;
    }

    /** Counts a line and returns whether it may be written. */
    tryTake(kind: string): boolean {
        const lines = (this.#linesByKind.get(kind) ?? 0) + 1;
        this.#linesByKind.set(kind, lines);
        return lines <= this.#maxLinesPerSecond;
    }

    /** Begins a new window if the current one has ended, and returns the lines dropped in that one, by kind. */
    advance(nowMs: number): ReadonlyMap<string, number> {
        if (nowMs < this.#windowEndMs) {
            return NONE_DROPPED;
        }
        this.#windowEndMs = nowMs + WINDOW_MS;
        const dropped = new Map<string, number>();
        for (const [kind, lines] of this.#linesByKind) {
            if (lines > this.#maxLinesPerSecond) {
                dropped.set(kind, lines - this.#maxLinesPerSecond);
            }
        }
        this.#linesByKind.clear();
        return dropped;
    }
}

const NONE_DROPPED: ReadonlyMap<string, number> = new Map();
