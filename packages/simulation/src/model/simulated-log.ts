import type { CommittedRecord } from "@waxwingspread/workflow";

/** A replicated log of which only the committed records survive the loss of its leader with certainty. */
export class SimulatedLog {
    readonly #records: CommittedRecord[] = [];
    #committedCount = 0;

    get hasUncommitted(): boolean {
        return this.#committedCount < this.#records.length;
    }

    /** All records, of which the next leader commits those that it has. */
    get records(): readonly CommittedRecord[] {
        return this.#records;
    }

    /** Appends a record and returns its index. */
    append(term: number, data: Uint8Array | undefined): number {
        const index = this.#records.length + 1;
        this.#records.push({ index, term, data });
        return index;
    }

    /** Commits all records and returns those that were not committed before. */
    commit(): readonly CommittedRecord[] {
        const records = this.#records.slice(this.#committedCount);
        this.#committedCount = this.#records.length;
        return records;
    }

    /** Discards what isn't committed, but for a number of records that another replica has, which `pick` chooses. */
    loseUncommitted(pick: (minimum: number, maximum: number) => number): void {
        this.#records.length = pick(this.#committedCount, this.#records.length);
    }
}
