/** Amounts of a VM's resources. */
export interface Amounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    accelerators: number;
}

/** One step of a job: tasks that are alike. */
export interface StepSpecification {
    taskCount: number;
    amounts: Amounts;
    estimatedRunTimeMs: number;
    /** Positions of earlier steps whose tasks must all be done first. */
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
    /** Tasks of one occurrence that may share a backend server; 0 for any number. */
    maxTasksPerServer: number;
    /** Copies of a task may run beside each other. */
    allowsCopies: boolean;
    /** Runs until the job is cancelled and is restarted however it ends. */
    isStanding: boolean;
    /** What the tasks run; tasks of one image behave alike. */
    image: string;
    /** Tail response time that a standing task must stay below; 0 for none. */
    targetTailMs: number;
    /** Uses only the processor time that other tasks leave; its processor need isn't reserved. */
    isFiller: boolean;
    /** Standing tasks that the scheduler may take away at the same time; undefined without such a bound. */
    maxUnavailable: number | undefined;
}

/** Repeated execution of a job's steps. */
export interface Schedule {
    occurrences: number;
    /** Time of day at which the first occurrence is due, in milliseconds since 1970. */
    firstDueMs: number;
    intervalMs: number;
}

/** What a caller submits. */
export interface JobSpecification {
    id: string;
    payload: string;
    steps: StepSpecification[];
    /** Undefined for a job that runs once, at once. */
    schedule: Schedule | undefined;
}

/** Kinds of tasks by how they use a backend server. */
export enum TaskKind {
    /** Ends by itself; its amounts are reserved. */
    Finite = "finite",
    Standing = "standing",
    Filler = "filler",
}

/** Returns how the tasks of a step use a backend server. */
export const taskKindOf = (step: StepSpecification): TaskKind => {
    if (step.isStanding) {
        return TaskKind.Standing;
    }
    return step.isFiller ? TaskKind.Filler : TaskKind.Finite;
};

/** Position of a task. */
export interface TaskPosition {
    jobId: string;
    occurrence: number;
    step: number;
    index: number;
}

/** Position of a step of one occurrence. */
export type StepPosition = Omit<TaskPosition, "index">;

/** Returns a step's key, unique among all jobs. */
export const stepKeyOf = ({ jobId, occurrence, step }: StepPosition): string => `${jobId}.${occurrence}.${step}`;

/** Returns a task's key, unique among all jobs. */
export const taskKeyOf = (position: TaskPosition): string => `${stepKeyOf(position)}.${position.index}`;

/** Parses a task's key; undefined when the text isn't one. */
export const parseTaskKey = (key: string): TaskPosition | undefined => {
    const [jobId, occurrence, step, index, rest] = key.split(".");
    if (jobId === undefined || index === undefined || rest !== undefined) {
        return undefined;
    }
    const numbers = [Number(occurrence), Number(step), Number(index)];
    return numbers.every(Number.isInteger)
        ? { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) }
        : undefined;
};
