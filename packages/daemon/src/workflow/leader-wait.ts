interface Waiting {
    deadlineMs: number;
    resume: (nowMs: number) => void;
}

/** Lets calls wait until a leader is known, up to a deadline for each. */
export class LeaderWait {
    readonly #readLeaderHost: () => string | undefined;
    #waiting: Waiting[] = [];
    #isClosed = false;

    /** `readLeaderHost` returns the host of the current leader, or undefined if none is known. */
    constructor(readLeaderHost: () => string | undefined) {
        this.#readLeaderHost = readLeaderHost;
    }

    /** Resolves with the time of the tick that found a leader, or with the deadline or a later time. */
    untilKnown(deadlineMs: number, nowMs: number): Promise<number> {
        if (this.#isClosed || this.#readLeaderHost() !== undefined) {
            return Promise.resolve(nowMs);
        }
        return new Promise(resume => this.#waiting.push({ deadlineMs, resume }));
    }

    /** Resumes all calls if a leader is known by now, otherwise those whose time is up. To be called periodically. */
    tick(nowMs: number): void {
        const isLeaderKnown = this.#readLeaderHost() !== undefined;
        const isReady = ({ deadlineMs }: Waiting): boolean => isLeaderKnown || nowMs >= deadlineMs;
        const ready = this.#waiting.filter(isReady);
        this.#waiting = this.#waiting.filter(waiting => !isReady(waiting));
        ready.forEach(({ resume }) => resume(nowMs));
    }

    /** Resumes the calls that wait; later ones don't wait. */
    close(): void {
        this.#isClosed = true;
        const waiting = this.#waiting;
        this.#waiting = [];
        waiting.forEach(({ deadlineMs, resume }) => resume(deadlineMs));
    }
}
