/** Most that the time of day may gain or lose on the steady clock; a clock that was set is followed at this rate. */
const MAX_SLEW_RATIO = 0.1;

/**
 * A time of day that doesn't jump: it runs with the steady clock and follows the system's time of day slowly. A clock
 * that is set for a while would otherwise start scheduled work early or late by all of the jump.
 */
export class TimeOfDay {
    #offsetMs: number;
    #atMs: number;

    constructor(nowMs: number, systemTimeMs: number) {
        this.#offsetMs = systemTimeMs - nowMs;
        this.#atMs = nowMs;
    }

    /** Returns the time of day in milliseconds since 1970, from the steady clock and the system's time of day. */
    at(nowMs: number, systemTimeMs: number): number {
        const limitMs = Math.max(0, nowMs - this.#atMs) * MAX_SLEW_RATIO;
        const errorMs = systemTimeMs - nowMs - this.#offsetMs;
        this.#offsetMs += Math.min(limitMs, Math.max(-limitMs, errorMs));
        this.#atMs = Math.max(this.#atMs, nowMs);
        return nowMs + this.#offsetMs;
    }
}
