interface OutstandingWrite {
    token: number;
    lastIndex: number;
    done: boolean;
}

/**
 * Tracks which part of the log is synced. A write counts only once all earlier ones are done, and entries
 * that were truncated after the write was issued never count.
 */
export class DurabilityTracker {
    readonly #writes: OutstandingWrite[] = [];
    #lastToken = 0;
    #completedToken = 0;
    #durableIndex: number;

    constructor(durableIndex: number) {
        this.#durableIndex = durableIndex;
    }

    /** Last index that is synced and still part of the log. */
    get durableIndex(): number {
        return this.#durableIndex;
    }

    get lastToken(): number {
        return this.#lastToken;
    }

    isDurable(token: number): boolean {
        return token <= this.#completedToken;
    }

    /** Registers a write after which the log is synced up to `lastIndex`; returns its token. */
    issue(lastIndex: number): number {
        this.#lastToken += 1;
        this.#writes.push({ token: this.#lastToken, lastIndex, done: false });
        return this.#lastToken;
    }

    /** Sets the last index that an issued write covers; called before the write is passed to the store. */
    setLastIndex(token: number, lastIndex: number): void {
        const write = this.#writes.findLast(candidate => candidate.token === token);
        if (write !== undefined) {
            write.lastIndex = lastIndex;
        }
    }

    /** Marks a write as synced; returns false while an earlier write is outstanding or if the token is unknown. */
    complete(token: number): boolean {
        const write = this.#writes.find(candidate => candidate.token === token);
        if (write === undefined) {
            return false;
        }
        write.done = true;
        let head = this.#writes[0];
        const before = this.#completedToken;
        while (head?.done) {
            this.#completedToken = head.token;
            this.#durableIndex = Math.max(this.#durableIndex, head.lastIndex);
            this.#writes.shift();
            head = this.#writes[0];
        }
        return this.#completedToken > before;
    }

    /** Excludes the entries from this index on from all writes issued so far. */
    truncateFrom(index: number): void {
        this.#durableIndex = Math.min(this.#durableIndex, index - 1);
        for (const write of this.#writes) {
            write.lastIndex = Math.min(write.lastIndex, index - 1);
        }
    }
}
