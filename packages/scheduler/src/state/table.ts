/** Called after a record changed; `undefined` stands for a record that does not exist. */
export type ChangeListener<V> = (key: string, before: V | undefined, after: V | undefined) => void;

interface UndoRecord {
    readonly table: object;
    readonly key: string;
    readonly before: unknown;
    undo(): void;
}

interface Mark {
    index: number;
    position: number;
}

/** Undo records of the uncommitted changes of several tables, in the order of the changes. */
export class UndoLog {
    #records: UndoRecord[] = [];
    #marks: Mark[] = [];

    get size(): number {
        return this.#records.length;
    }

    /** Returns the committed records of a table by the keys that have uncommitted changes. */
    committedRecords(table: object): Map<string, unknown> {
        const committed = new Map<string, unknown>();
        for (const record of this.#records) {
            if (record.table === table && !committed.has(record.key)) {
                committed.set(record.key, record.before);
            }
        }
        return committed;
    }

    add(record: UndoRecord): void {
        this.#records.push(record);
    }

    /** Ends the batch that was proposed at the given log index. */
    markBatchEnd(index: number): void {
        this.#marks.push({ index, position: this.#records.length });
    }

    /** Discards the undo records of all batches up to the given log index. */
    commitThrough(index: number): void {
        const firstUncommitted = this.#marks.findIndex(mark => mark.index > index);
        const committedMarks = firstUncommitted === -1 ? this.#marks.length : firstUncommitted;
        const position = committedMarks === 0 ? 0 : this.#marks[committedMarks - 1]?.position ?? 0;
        this.#records = this.#records.slice(position);
        this.#marks = this.#marks.slice(committedMarks).map(mark => ({
            index: mark.index,
            position: mark.position - position,
        }));
    }

    /** Undoes every change that is not committed, the newest first. */
    rollback(): void {
        const records = this.#records;
        this.#records = [];
        this.#marks = [];
        for (let position = records.length - 1; position >= 0; position -= 1) {
            records[position]?.undo();
        }
    }
}

/** Map of immutable records with an undo log and change listeners. */
export class Table<V> {
    readonly #records = new Map<string, V>();
    readonly #listeners: ChangeListener<V>[] = [];
    readonly #undoLog: UndoLog;

    constructor(undoLog: UndoLog) {
        this.#undoLog = undoLog;
    }

    get size(): number {
        return this.#records.size;
    }

    get(key: string): V | undefined {
        return this.#records.get(key);
    }

    values(): IterableIterator<V> {
        return this.#records.values();
    }

    /** Returns the records without uncommitted changes applied. */
    committedValues(): V[] {
        const changed = this.#undoLog.committedRecords(this);
        if (changed.size === 0) {
            return [...this.#records.values()];
        }
        const unchanged = [...this.#records].filter(([key]) => !changed.has(key)).map(([, record]) => record);
        const previous = [...changed.values()].filter(record => record !== undefined) as V[];
        return [...unchanged, ...previous];
    }

    onChange(listener: ChangeListener<V>): void {
        this.#listeners.push(listener);
    }

    /** Replaces or, with undefined, deletes a record. */
    set(key: string, after: V | undefined): void {
        const before = this.#records.get(key);
        this.#undoLog.add({ table: this, key, before, undo: () => this.#replace(key, before) });
        this.#replace(key, after);
    }

    /** Adds a record that is already committed, so that a rollback does not remove it. */
    load(key: string, record: V): void {
        this.#replace(key, record);
    }

    #replace(key: string, after: V | undefined): void {
        const before = this.#records.get(key);
        if (after === undefined) {
            this.#records.delete(key);
        }
        else {
            this.#records.set(key, after);
        }
        for (const listener of this.#listeners) {
            listener(key, before, after);
        }
    }
}
