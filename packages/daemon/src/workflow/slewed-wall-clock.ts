/** Maximum rate, relative to the monotonic clock, at which the wall clock follows a change of the system clock. */
const MAX_SLEW_RATIO = 0.1;

/**
 * Wall clock without jumps: it advances with the monotonic clock and is slewed towards the system clock at a limited
 * rate. A system clock that is wrong for some time would otherwise start scheduled work early or late by its whole
 * error.
 */
export class SlewedWallClock {
    #offsetMs: number;
    #lastReadMs: number;

    constructor(nowMs: number, systemTimeMs: number) {
        this.#offsetMs = systemTimeMs - nowMs;
        this.#lastReadMs = nowMs;
    }

    /** Returns the slewed time in milliseconds since the Unix epoch for the given monotonic and system times. */
    readMs(nowMs: number, systemTimeMs: number): number {
        const maxSlewMs = Math.max(0, nowMs - this.#lastReadMs) * MAX_SLEW_RATIO;
        const errorMs = systemTimeMs - nowMs - this.#offsetMs;
        this.#offsetMs += Math.min(maxSlewMs, Math.max(-maxSlewMs, errorMs));
        this.#lastReadMs = Math.max(this.#lastReadMs, nowMs);
        return nowMs + this.#offsetMs;
    }
}
