import type { StepSpecification } from "../model/specification.js";
import type { CrashRecord } from "./crash-history.js";
import type { ServerIncarnation } from "./events.js";

/** Phases of a task. */
export enum TaskPhase {
    /** Has no current run and waits for an assignment. */
    Waiting = "waiting",
    /** A run is assigned to a backend server. */
    Assigned = "assigned",
    Done = "done",
}

/** Replicated record of one task. */
export interface TaskRecord {
    phase: TaskPhase;
    /** Number of the latest run; 0 before the first. */
    run: number;
    /** Number of failed runs; a failed run of a gang counts once for every member. */
    failures: number;
    checkpoint: string;
    /** Backend server that the latest run was assigned to; undefined before the first. */
    server: ServerIncarnation | undefined;
    /** Crashes of servers that runs of the task were involved in, since one last ran on; undefined for none. */
    crashes?: CrashRecord[];
}

/** Replicated record of one step of one occurrence. */
export interface StepRecord {
    tasks: TaskRecord[];
    doneCount: number;
    /** Number of the gang's run whose failure was counted last; 0 before the first. */
    failedGangRun: number;
}

/** Serializable content of the records of a job with many occurrences. */
export interface SparseOccurrences {
    /** Records of the occurrences that have begun and are not complete, by occurrence. */
    open: [occurrence: number, steps: StepRecord[]][];
    /** All occurrences before this one are complete. */
    completedBelow: number;
    /** Complete occurrences after it. */
    completedOthers: number[];
}

/** Serializable content of a job's records. */
export interface OccurrencesContent {
    /** Records of all occurrences, as former versions write and read them; empty for a job with many occurrences. */
    occurrences: StepRecord[][];
    /** Undefined for a job with few occurrences. */
    sparseOccurrences?: SparseOccurrences;
}

/** Occurrences from which on a job counts as one with many of them. */
const MIN_SPARSE_OCCURRENCES = 100;

/**
 * Records of a job's occurrences. Occurrences that have not begun or are complete take no memory, so that a schedule of a
 * year costs no more than what is under way.
 */
export class OccurrenceRecords {
    readonly #steps: readonly StepSpecification[];
    readonly #count: number;
    readonly #open = new Map<number, StepRecord[]>();
    #completedBelow = 0;
    /** Complete occurrences that are not below `#completedBelow`. */
    readonly #completedOthers = new Set<number>();

    /** Creates the records of a job of which nothing has begun. */
    constructor(steps: readonly StepSpecification[], count: number) {
        this.#steps = steps;
        this.#count = count;
    }

    /** Restores records from their content. */
    static fromContent(
        steps: readonly StepSpecification[],
        count: number,
        { occurrences, sparseOccurrences }: OccurrencesContent,
    ): OccurrenceRecords {
        const records = new OccurrenceRecords(steps, count);
        const open = sparseOccurrences?.open ?? [...occurrences.entries()];
        open.forEach(([occurrence, content]) => records.#open.set(occurrence, content));
        records.#completedBelow = sparseOccurrences?.completedBelow ?? 0;
        sparseOccurrences?.completedOthers.forEach(occurrence => records.#completedOthers.add(occurrence));
        open.forEach(([occurrence]) => records.completeIfDone(occurrence));
        return records;
    }

    /** Whether all occurrences are complete. */
    get areAllComplete(): boolean {
        return this.#completedBelow + this.#completedOthers.size >= this.#count;
    }

    /** First occurrence that is not complete. */
    get firstIncomplete(): number {
        return this.#completedBelow;
    }

    /** Number of occurrences that may have begun and are not complete. */
    get openCount(): number {
        return this.#open.size;
    }

    /** Returns the step records of an occurrence; undefined if it is complete or doesn't exist. */
    stepsOf(occurrence: number): readonly StepRecord[] | undefined {
        const exists = occurrence >= 0 && occurrence < this.#count;
        if (!exists || this.isComplete(occurrence)) {
            return undefined;
        }
        let records = this.#open.get(occurrence);
        if (records === undefined) {
            records = this.#steps.map(createStepRecord);
            this.#open.set(occurrence, records);
        }
        return records;
    }

    isComplete(occurrence: number): boolean {
        return occurrence < this.#completedBelow || this.#completedOthers.has(occurrence);
    }

    /** Returns the occurrences that may have begun and are not complete. */
    open(): IterableIterator<[occurrence: number, steps: readonly StepRecord[]]> {
        return this.#open.entries();
    }

    /** Discards the records of an occurrence if all of its tasks are done. */
    completeIfDone(occurrence: number): void {
        if (this.#open.get(occurrence)?.every(isStepDone) !== true) {
            return;
        }
        this.#open.delete(occurrence);
        this.#completedOthers.add(occurrence);
        while (this.#completedOthers.delete(this.#completedBelow)) {
            this.#completedBelow += 1;
        }
    }

    toContent(): OccurrencesContent {
        if (this.#count < MIN_SPARSE_OCCURRENCES) {
            return {
                occurrences: Array.from({ length: this.#count }, (unused, occurrence) => this.#contentOf(occurrence)),
            };
        }
        // A leader has records of occurrences that are due, other replicas have them only once a run is assigned.
        const open = [...this.#open].filter(([, steps]) => steps.some(hasStepBegun));
        const completedOthers = [...this.#completedOthers];
        return { occurrences: [], sparseOccurrences: { open, completedBelow: this.#completedBelow, completedOthers } };
    }

    #contentOf(occurrence: number): StepRecord[] {
        return this.isComplete(occurrence)
            ? this.#steps.map(createDoneStepRecord)
            : this.#open.get(occurrence) ?? this.#steps.map(createStepRecord);
    }
}

const createTaskRecord = (): TaskRecord => ({
    phase: TaskPhase.Waiting,
    run: 0,
    failures: 0,
    checkpoint: "",
    server: undefined,
});

const createStepRecord = ({ taskCount }: StepSpecification): StepRecord => ({
    tasks: Array.from({ length: taskCount }, createTaskRecord),
    doneCount: 0,
    failedGangRun: 0,
});

/** Returns a record from which a former version sees that the step is done. */
const createDoneStepRecord = ({ taskCount }: StepSpecification): StepRecord => ({
    tasks: Array.from({ length: taskCount }, () => ({ ...createTaskRecord(), phase: TaskPhase.Done, run: 1 })),
    doneCount: taskCount,
    failedGangRun: 0,
});

const isStepDone = ({ doneCount, tasks }: StepRecord): boolean => doneCount === tasks.length;

const hasStepBegun = ({ tasks }: StepRecord): boolean => tasks.some(({ run }) => run > 0);
