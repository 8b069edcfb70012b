/**
 * Segment tree over rows of numbers that stores the maximum of each column for every subtree. Finds a row that reaches
 * the required value in all columns. This takes logarithmic time unless the maxima of a subtree come from different
 * rows, none of which reaches all values; for that case the number of visited nodes is bounded.
 */
export class MaxSegmentTree {
    readonly #columns: number;
    #capacity = 1;
    #nodes: Float64Array;

    constructor(columns: number) {
        this.#columns = columns;
        this.#nodes = new Float64Array(2 * columns).fill(Number.NEGATIVE_INFINITY);
    }

    /** Sets the values of a row. Rows that were never set do not match any search. */
    set(row: number, values: readonly number[]): void {
        if (row >= this.#capacity) {
            this.#grow(row);
        }
        let node = this.#capacity + row;
        for (let column = 0; column < this.#columns; column += 1) {
            this.#nodes[node * this.#columns + column] = values[column] ?? Number.NEGATIVE_INFINITY;
        }
        for (node >>= 1; node >= 1; node >>= 1) {
            this.#updateMaxima(node);
        }
    }

    /** Removes a row from all searches. */
    clear(row: number): void {
        if (row < this.#capacity) {
            this.set(row, []);
        }
    }

    /**
     * Returns the first row that reaches `required` in all columns and that `accepts` returns true for; undefined if
     * there is none or if it is not found within `maximumVisits` nodes.
     */
    find(required: readonly number[], accepts: (row: number) => boolean, maximumVisits: number): number | undefined {
        const pending = [1];
        for (let visits = 0; visits < maximumVisits; visits += 1) {
            const node = pending.pop();
            if (node === undefined) {
                return undefined;
            }
            if (!this.#reaches(node, required)) {
                continue;
            }
            if (node < this.#capacity) {
                pending.push(2 * node + 1, 2 * node);
            }
            else if (accepts(node - this.#capacity)) {
                return node - this.#capacity;
            }
        }
        return undefined;
    }

    #reaches(node: number, required: readonly number[]): boolean {
        for (let column = 0; column < this.#columns; column += 1) {
            if ((this.#nodes[node * this.#columns + column] ?? 0) < (required[column] ?? 0)) {
                return false;
            }
        }
        return true;
    }

    #updateMaxima(node: number): void {
        for (let column = 0; column < this.#columns; column += 1) {
            const left = this.#nodes[2 * node * this.#columns + column] ?? Number.NEGATIVE_INFINITY;
            const right = this.#nodes[(2 * node + 1) * this.#columns + column] ?? Number.NEGATIVE_INFINITY;
            this.#nodes[node * this.#columns + column] = Math.max(left, right);
        }
    }

    #grow(row: number): void {
        const previous = this.#nodes;
        const previousCapacity = this.#capacity;
        while (this.#capacity <= row) {
            this.#capacity *= 2;
        }
        this.#nodes = new Float64Array(2 * this.#capacity * this.#columns).fill(Number.NEGATIVE_INFINITY);
        const leaves = previous.subarray(previousCapacity * this.#columns);
        this.#nodes.set(leaves, this.#capacity * this.#columns);
        for (let node = this.#capacity - 1; node >= 1; node -= 1) {
            this.#updateMaxima(node);
        }
    }
}
