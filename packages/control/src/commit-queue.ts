/** An action that is deferred until the log is committed up to an index. */
export interface DeferredAction {
    index: number;
    proposedAtMs: number;
    onCommitted: (nowMs: number) => void;
    /** Called instead of `onCommitted` if the replica loses leadership before the commit. */
    onLeadershipLost: () => void;
}

/** Queue of actions that wait for a commit, in log order. */
export class CommitQueue {
    #queue: DeferredAction[] = [];

    get size(): number {
        return this.#queue.length;
    }

    /** Appends an action; its index must not be below that of earlier ones. */
    add(action: DeferredAction): void {
        this.#queue.push(action);
    }

    /** Removes and returns the actions up to the commit index. */
    takeCommitted(commitIndex: number): DeferredAction[] {
        const firstWaiting = this.#queue.findIndex(action => action.index > commitIndex);
        const committed = firstWaiting === -1 ? this.#queue : this.#queue.slice(0, firstWaiting);
        this.#queue = firstWaiting === -1 ? [] : this.#queue.slice(firstWaiting);
        return committed;
    }

    /** Removes and returns all actions. */
    takeAll(): DeferredAction[] {
        const all = this.#queue;
        this.#queue = [];
        return all;
    }
}
