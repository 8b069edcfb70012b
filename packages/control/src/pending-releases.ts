/** An action that is deferred until the log is committed up to an index. */
export interface PendingRelease {
    index: number;
    proposedAtMs: number;
    release: (nowMs: number) => void;
    /** Called instead of `release` if the replica loses leadership before the commit. */
    abandon: () => void;
}

/** Queue of actions that wait for a commit, in log order. */
export class PendingReleases {
    #queue: PendingRelease[] = [];

    get size(): number {
        return this.#queue.length;
    }

    /** Appends an action; its index must not be below that of earlier ones. */
    add(release: PendingRelease): void {
        this.#queue.push(release);
    }

    /** Removes and returns the actions up to the commit index. */
    takeCommitted(commitIndex: number): PendingRelease[] {
        const waiting = this.#queue.findIndex(release => release.index > commitIndex);
        const committed = waiting === -1 ? this.#queue : this.#queue.slice(0, waiting);
        this.#queue = waiting === -1 ? [] : this.#queue.slice(waiting);
        return committed;
    }

    /** Removes and returns all actions. */
    takeAll(): PendingRelease[] {
        const all = this.#queue;
        this.#queue = [];
        return all;
    }
}
