/** Work that may be done once the log is committed up to an index. */
export interface PendingRelease {
    index: number;
    proposedAtMs: number;
    release: (nowMs: number) => void;
    /** Called instead of `release` when the replica stopped being leader first. */
    abandon: () => void;
}

/** Releases in the order of the log. */
export class PendingReleases {
    #queue: PendingRelease[] = [];

    get size(): number {
        return this.#queue.length;
    }

    /** Adds work; its index is never below that of earlier work. */
    add(release: PendingRelease): void {
        this.#queue.push(release);
    }

    /** Takes out all work up to the committed index. */
    takeCommitted(commitIndex: number): PendingRelease[] {
        const waiting = this.#queue.findIndex(release => release.index > commitIndex);
        const committed = waiting === -1 ? this.#queue : this.#queue.slice(0, waiting);
        this.#queue = waiting === -1 ? [] : this.#queue.slice(waiting);
        return committed;
    }

    /** Takes out everything. */
    takeAll(): PendingRelease[] {
        const all = this.#queue;
        this.#queue = [];
        return all;
    }
}
