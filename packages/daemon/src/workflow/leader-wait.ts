interface Waiting {
    /** Host of a former leader, which is not waited for. */
    formerHost: string | undefined;
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

    /**
     * Resolves with the time of the tick that found a leader, other than the former one if that is given, or with the
     * deadline or a later time.
     */
    untilKnown(deadlineMs: number, nowMs: number, formerHost?: string): Promise<number> {
        if (this.#isClosed || isOther(this.#readLeaderHost(), formerHost)) {
            return Promise.resolve(nowMs);
        }
        return new Promise(resume => this.#waiting.push({ formerHost, deadlineMs, resume }));
    }

    /** Resumes all calls if a leader is known by now, otherwise those whose time is up. To be called periodically. */
    tick(nowMs: number): void {
        const leaderHost = this.#readLeaderHost();
        const isReady = ({ formerHost, deadlineMs }: Waiting): boolean =>
            isOther(leaderHost, formerHost) || nowMs >= deadlineMs;
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

const isOther = (leaderHost: string | undefined, formerHost: string | undefined): boolean =>
    leaderHost !== undefined && leaderHost !== formerHost;
