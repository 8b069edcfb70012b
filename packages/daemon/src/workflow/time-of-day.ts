/** Maximum rate at which the wall-clock time is adjusted relative to the monotonic clock. */
const MAX_SLEW_RATIO = 0.1;

/**
 * Wall clock without jumps: it advances with the monotonic clock and is slewed towards the system clock at a limited
 * rate. A system clock that is wrong for some time would otherwise start scheduled work early or late by its whole
 * error.
 */
export class TimeOfDay {
    #offsetMs: number;
    #atMs: number;

    constructor(nowMs: number, systemTimeMs: number) {
        this.#offsetMs = systemTimeMs - nowMs;
        this.#atMs = nowMs;
    }

    /** Returns the wall-clock time in milliseconds since the Unix epoch, given the current times of both clocks. */
    at(nowMs: number, systemTimeMs: number): number {
        const limitMs = Math.max(0, nowMs - this.#atMs) * MAX_SLEW_RATIO;
        const errorMs = systemTimeMs - nowMs - this.#offsetMs;
        this.#offsetMs += Math.min(limitMs, Math.max(-limitMs, errorMs));
        this.#atMs = Math.max(this.#atMs, nowMs);
        return nowMs + this.#offsetMs;
    }
}
