/** Share of a budget that is in use after connections were given up, so that each decision serves for a while. */
const RELIEVED_SHARE = 0.9;
/** Added to the age of what is held, so that the size alone decides between connections that have just begun. */
const MIN_AGE_MS = 100;

/** Memory that one connection holds. */
export class Holding {
    readonly #budget: ByteBudget;
    #bytes = 0;
    #sinceMs = 0;
    #isClosed = false;

    /** Is created by {@link ByteBudget.open}. */
    constructor(budget: ByteBudget) {
        this.#budget = budget;
    }

    get bytes(): number {
        return this.#bytes;
    }

    /** Time since which the connection has held something without interruption. */
    get sinceMs(): number {
        return this.#sinceMs;
    }

    /** Adds bytes, or takes them back if the number is negative. Has no effect once the holding is closed. */
    add(deltaBytes: number, nowMs: number): void {
        if (this.#isClosed) {
            return;
        }
        if (this.#bytes === 0) {
            this.#sinceMs = nowMs;
        }
        this.#bytes += deltaBytes;
        this.#budget.recordChange(deltaBytes);
    }

    /** Gives everything back. */
    close(): void {
        this.#budget.remove(this);
        this.#budget.recordChange(-this.#bytes);
        this.#bytes = 0;
        this.#isClosed = true;
    }
}

/** Limits the memory that all connections hold together, and selects those that are given up when it is exceeded. */
export class ByteBudget {
    readonly limitBytes: number;
    readonly #holdings = new Set<Holding>();
    #usedBytes = 0;

    constructor(limitBytes: number) {
        this.limitBytes = limitBytes;
    }

    get usedBytes(): number {
        return this.#usedBytes;
    }

    get isExceeded(): boolean {
        return this.#usedBytes > this.limitBytes;
    }

    /** Adds a connection that holds nothing yet. */
    open(): Holding {
        const holding = new Holding(this);
        this.#holdings.add(holding);
        return holding;
    }

    recordChange(deltaBytes: number): void {
        this.#usedBytes += deltaBytes;
    }

    remove(holding: Holding): void {
        this.#holdings.delete(holding);
    }

    /**
     * Returns the connections to give up if the budget is exceeded: those whose memory, multiplied by the time for which
     * they have held it, is largest. An ordinary request holds little for a short time and is among the last.
     */
    selectExcess(nowMs: number): readonly Holding[] {
        if (!this.isExceeded) {
            return [];
        }
        const weightOf = ({ bytes, sinceMs }: Holding): number => bytes * (nowMs - sinceMs + MIN_AGE_MS);
        const byWeight = [...this.#holdings]
            .filter(holding => holding.bytes > 0)
            .map(holding => ({ holding, weight: weightOf(holding) }))
            .sort((left, right) => right.weight - left.weight);
        const selected: Holding[] = [];
        let remainingBytes = this.#usedBytes;
        for (const { holding } of byWeight) {
            if (remainingBytes <= this.limitBytes * RELIEVED_SHARE) {
                break;
            }
            selected.push(holding);
            remainingBytes -= holding.bytes;
        }
        return selected;
    }
}
