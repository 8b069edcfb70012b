/** State of a job as shown to callers. */
export enum JobState {
    Queued = "queued",
    Running = "running",
    Completed = "completed",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** Why a call had no success. */
export enum Refusal {
    /** Certainly without effect; the caller may come back. */
    NotRun = "not-run",
    /** The effect isn't known; the same call may be repeated. */
    Uncertain = "uncertain",
    /** This replica doesn't lead or can't be sure that it does. Certainly without effect. */
    NotLeader = "not-leader",
    UnknownQueue = "unknown-queue",
    UnknownJob = "unknown-job",
}

/** Result of a call: a value, or why there is none. */
export type CallResult<Value> = { ok: true; value: Value } | { ok: false; refusal: Refusal };

/** Receives a call's result, once. */
export type Respond<Value> = (result: CallResult<Value>) => void;

/** Returns a successful result. */
export const succeeded = <Value>(value: Value): CallResult<Value> => ({ ok: true, value });

/** Returns a result without success. */
export const refused = (refusal: Refusal): { ok: false; refusal: Refusal } => ({ ok: false, refusal });
