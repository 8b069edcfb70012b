/** State of a job as shown to callers. */
export enum JobState {
    Queued = "queued",
    Running = "running",
    Completed = "completed",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** Reason why a call did not succeed. */
export enum Refusal {
    /** The call had no effect; the caller may retry it. */
    NotRun = "not-run",
    /** It is unknown whether the call took effect; the same call may be repeated. */
    Uncertain = "uncertain",
    /** This replica is not the leader or cannot confirm that it is. The call had no effect. */
    NotLeader = "not-leader",
    /** There is no memory for the job; the call had no effect. */
    Overloaded = "overloaded",
    UnknownQueue = "unknown-queue",
    UnknownJob = "unknown-job",
}

/** Result of a call: a value, or the reason why there is none. */
export type CallResult<Value> = { ok: true; value: Value } | { ok: false; refusal: Refusal };

/** Callback for a call's result; called once. */
export type Respond<Value> = (result: CallResult<Value>) => void;

/** Returns a successful result. */
export const succeeded = <Value>(value: Value): CallResult<Value> => ({ ok: true, value });

/** Returns an unsuccessful result with its reason. */
export const refused = (refusal: Refusal): { ok: false; refusal: Refusal } => ({ ok: false, refusal });
