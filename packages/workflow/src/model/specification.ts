/** Amounts of a VM's resources. */
export interface Amounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    accelerators: number;
}

/** One step of a job: a number of tasks with the same properties. */
export interface StepSpecification {
    taskCount: number;
    amounts: Amounts;
    estimatedRunTimeMs: number;
    /** Indexes of the earlier steps that must be complete before this step starts. */
    dependsOn: number[];
    savesCheckpoints: boolean;
    /** All tasks run together, under one run number, or not at all. */
    isGang: boolean;
    /** Tasks are slower when they run on more than one rack. */
    prefersOneRack: boolean;
    /** Label that the backend server must have; empty for any server. */
    requiredLabel: string;
    /** Rack that holds the data; empty for none. */
    dataRack: string;
    /** Maximum number of this step's tasks of one occurrence on the same backend server; 0 for no limit. */
    maxTasksPerServer: number;
    /** Whether several copies of a task may run concurrently. */
    allowsCopies: boolean;
    /** Runs until the job is cancelled and is restarted however it ends. */
    isStanding: boolean;
    /** Image that the tasks run; tasks with the same image behave alike. */
    image: string;
    /** Tail latency that a standing task must stay below; 0 for none. */
    targetTailMs: number;
    /** Uses only CPU time that other tasks leave idle; no CPU capacity is reserved for it. */
    isFiller: boolean;
    /** Maximum number of standing tasks that the scheduler may make unavailable at once; undefined for no limit. */
    maxUnavailable: number | undefined;
}

/** Repeated execution of a job's steps. */
export interface Schedule {
    occurrences: number;
    /** Wall-clock time at which the first occurrence is due, in milliseconds since the Unix epoch. */
    firstDueMs: number;
    intervalMs: number;
}

/** A job as submitted by a caller. */
export interface JobSpecification {
    id: string;
    payload: string;
    steps: StepSpecification[];
    /** Undefined for a job that runs once, without delay. */
    schedule: Schedule | undefined;
    /** Organisation whose API key submitted the job; undefined for a job of a public queue or without organisations. */
    organisation?: string;
    /** Whether it was submitted beyond the agreed rate of its organisation; undefined in records of former versions. */
    exceedsRate?: boolean;
}

/** Kinds of tasks by how they use a backend server. */
export enum TaskKind {
    /** Ends by itself; its resources are reserved. */
    Finite = "finite",
    Standing = "standing",
    Filler = "filler",
}

/** Returns the kind of a step's tasks; a step marked as both standing and filler is standing. */
export const taskKindOf = (step: StepSpecification): TaskKind => {
    if (step.isStanding) {
        return TaskKind.Standing;
    }
    return step.isFiller ? TaskKind.Filler : TaskKind.Finite;
};

/** Returns the part of a task's CPU need that counts against a server's capacity: none for a step marked as filler. */
export const countedMillicoresOf = ({ amounts, isFiller }: StepSpecification): number =>
    isFiller ? 0 : amounts.cpuMillicores;

/** Identifies a task by its job, occurrence, step and index within the step. */
export interface TaskPosition {
    jobId: string;
    occurrence: number;
    step: number;
    index: number;
}

/** Identifies a step within one occurrence of a job. */
export type StepPosition = Omit<TaskPosition, "index">;

/** Returns a step's key, unique among all jobs. */
export const stepKeyOf = ({ jobId, occurrence, step }: StepPosition): string => `${jobId}.${occurrence}.${step}`;

/** Returns a task's key, unique among all jobs. */
export const taskKeyOf = (position: TaskPosition): string => `${stepKeyOf(position)}.${position.index}`;

/** Number in a task's key, as `taskKeyOf` writes it. Other spellings of the same number name no task. */
const NUMBER_IN_KEY = /^(?:0|[1-9]\d{0,8})$/;

/** Parses a task's key; returns undefined for any other text. */
export const parseTaskKey = (key: string): TaskPosition | undefined => {
    const [jobId, occurrence = "", step = "", index = "", rest] = key.split(".");
    const isKey = [occurrence, step, index].every(number => NUMBER_IN_KEY.test(number));
    return jobId === undefined || rest !== undefined || !isKey
        ? undefined
        : { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
};
