/** Number of stalls that are kept to convert earlier times. */
const MAX_STALLS = 32;

interface Stall {
    endMs: number;
    /** Length of all stalls before this one. */
    totalBeforeMs: number;
    /** Length of all stalls up to and including this one. */
    totalMs: number;
}

/**
 * Clock of the timeouts that judge other replicas. It stands still while this replica's own process is stalled, since
 * messages of the others then wait unread. Leases and vote refusals use the real time.
 */
export class TimerClock {
    readonly #stalls: Stall[] = [];

    /** Records that the process was stalled for a while until `endMs`. */
    recordStall(endMs: number, durationMs: number): void {
        const totalBeforeMs = this.#stalls.at(-1)?.totalMs ?? 0;
        this.#stalls.push({ endMs, totalBeforeMs, totalMs: totalBeforeMs + durationMs });
        if (this.#stalls.length > MAX_STALLS) {
            this.#stalls.shift();
        }
    }

    /** Converts a real time to the time of this clock. */
    at(realMs: number): number {
        const last = this.#stalls.findLast(stall => stall.endMs <= realMs);
        return realMs - (last?.totalMs ?? this.#stalls[0]?.totalBeforeMs ?? 0);
    }
}
