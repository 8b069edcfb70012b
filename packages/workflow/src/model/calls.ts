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
    /** There is no memory or no capacity for the job; the call had no effect. */
    Overloaded = "overloaded",
    /** The call has no API key, or none that is valid for it. The call had no effect. */
    Unauthenticated = "unauthenticated",
    /** A task of the job needs more than the quota of its organisation. The call had no effect. */
    QuotaExceeded = "quota-exceeded",
    UnknownQueue = "unknown-queue",
    UnknownJob = "unknown-job",
}

/** Result of a call: a value, or the reason why there is none. */
export type CallResult<Value> = { ok: true; value: Value } | RefusedCall;

/** Result of a call that did not succeed. */
export interface RefusedCall {
    ok: false;
    refusal: Refusal;
    /** Time after which the same call may succeed; undefined if it is not known. */
    retryAfterMs?: number;
}

/** Callback for a call's result; called once. */
export type Respond<Value> = (result: CallResult<Value>) => void;

/** Returns a successful result. */
export const succeeded = <Value>(value: Value): CallResult<Value> => ({ ok: true, value });

/** Returns an unsuccessful result with its reason. */
export const refused = (refusal: Refusal, retryAfterMs?: number): RefusedCall =>
    retryAfterMs === undefined ? { ok: false, refusal } : { ok: false, refusal, retryAfterMs };
