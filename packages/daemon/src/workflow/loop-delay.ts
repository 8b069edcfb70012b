/** Measures by how much the ticks of an interval timer come late, which is the time that the event loop was held. */
export class LoopDelay {
    readonly #intervalMs: number;
    #lastTickMs: number | undefined;

    constructor(intervalMs: number) {
        this.#intervalMs = intervalMs;
    }

    /** Records a tick and returns its delay. */
    tick(nowMs: number): number {
        const dueMs = (this.#lastTickMs ?? nowMs) + this.#intervalMs;
        this.#lastTickMs = nowMs;
        return Math.max(0, nowMs - dueMs);
    }
}
