const KIBIBYTE = 1_024;

/** Largest payload of a request, in bytes of JSON. */
export const PAYLOAD_LIMIT_BYTES = 256 * KIBIBYTE;

/** Largest answer and largest checkpoint, in bytes of JSON. */
export const ANSWER_LIMIT_BYTES = 1_024 * KIBIBYTE;

/** Allowance for the other fields of a request body. */
const ENVELOPE_LIMIT_BYTES = 64 * KIBIBYTE;

/** Largest request body, in bytes, that the host should read from a caller. */
export const CALLER_BODY_LIMIT_BYTES = PAYLOAD_LIMIT_BYTES + ENVELOPE_LIMIT_BYTES;

/** Largest request body, in bytes, that the host should read from a backend server: an answer and a checkpoint. */
export const BACKEND_SERVER_BODY_LIMIT_BYTES = 2 * ANSWER_LIMIT_BYTES + ENVELOPE_LIMIT_BYTES;

/** Identity and addresses of an entry. */
export interface EntryIdentity {
    entryId: string;
    /** Changes with each start of the process. */
    incarnation: string;
    /** Address at which backend servers reach this entry. */
    address: string;
    /** Address at which this entry serves its metrics, health and journal. */
    operatorsAddress?: string;
    availabilityZone: string;
    /** Addresses of the initial control replicas; poll responses replace them. */
    controlAddresses: string[];
}

/** Timeouts, delays and intervals, in milliseconds. */
export interface EntryTiming {
    /** Timeout of a single control call. */
    callTimeoutMs: number;
    /**
     * Timeout of a poll. Longer than the 500 ms for which the leader holds a poll, but short, because the
     * configuration lease lasts 1,200 ms from the sending of the poll.
     */
    pollTimeoutMs: number;
    /** Timeout of one attempt to read a blob; short, because a start waits for it. */
    getBlobTimeoutMs: number;
    /** Upper bound on a submission, a look-up or a cancellation including all retries. */
    requestTimeoutMs: number;
    /** Delay before another replica is tried after a failure. */
    retryDelayMs: number;
    /** Delay before a failed blob write is retried at the same replica, and between two rounds of reads. */
    blobRetryDelayMs: number;
    /** Timeout of the call that starts a task on a backend server. */
    startTimeoutMs: number;
    /** Upper bound on fetching the payload, and again on fetching the checkpoint; the start window is 1,000 ms. */
    startPreparationMs: number;
    /** Longest time for which announcements are collected into one message. */
    announcementFlushMs: number;
    /** Time after which an announcement that the leader has not answered gets a reply without a lease. */
    announceTimeoutMs: number;
    /** Time after which the reply to a result says that it is not settled. */
    resultTimeoutMs: number;
    /**
     * Interval at which this entry looks up a job that was submitted here while callers wait for it. Normally the
     * outcome arrives as an order first.
     */
    ownLookUpIntervalMs: number;
    /** The same for a job that was submitted at another entry; the leader sends its outcome to that entry only. */
    otherLookUpIntervalMs: number;
    /** Delay before a look-up after an end reported here is settled, unless the outcome order arrives first. */
    settledLookUpDelayMs: number;
    /** Longest time for which a caller may wait for an outcome. */
    maximumWaitMs: number;
    /** Time after the start of a drain at which waiting callers get the current state of their job. */
    drainWaitMs: number;
}

/** Limits that bound the memory of an entry. */
export interface EntryLimits {
    requestsInProgress: number;
    waitingCallers: number;
    pendingCalls: number;
    cachedBlobBytes: number;
    /** Blobs up to this size are kept inline in their references; 0 stores every blob on the control replicas. */
    inlineBlobBytes: number;
    resultBytesInProgress: number;
    announcements: number;
    /** Limit on start reports, and separately on end reports, that wait to be sent to the leader. */
    reports: number;
    /** Limit on start reports, and separately on end reports, in one message. */
    reportsPerMessage: number;
    /** Limit on request ids in one cancellation. */
    cancellationsPerRequest: number;
}

/** Settings as given to the constructor; defaults replace omitted values. */
export interface EntryOptions extends EntryIdentity {
    timing?: Partial<EntryTiming>;
    limits?: Partial<EntryLimits>;
}

/** Complete settings of an entry. */
export interface EntrySettings extends EntryIdentity {
    timing: EntryTiming;
    limits: EntryLimits;
}

/** Default timing, in milliseconds. */
export const DEFAULT_ENTRY_TIMING: EntryTiming = {
    callTimeoutMs: 1_000,
    pollTimeoutMs: 750,
    getBlobTimeoutMs: 300,
    requestTimeoutMs: 5_000,
    retryDelayMs: 50,
    blobRetryDelayMs: 100,
    startTimeoutMs: 1_000,
    startPreparationMs: 800,
    announcementFlushMs: 400,
    announceTimeoutMs: 1_000,
    resultTimeoutMs: 2_000,
    ownLookUpIntervalMs: 2_000,
    otherLookUpIntervalMs: 300,
    settledLookUpDelayMs: 20,
    maximumWaitMs: 60_000,
    drainWaitMs: 10_000,
};

/** Default memory limits. */
export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
    requestsInProgress: 4_000,
    waitingCallers: 2_000,
    pendingCalls: 8_000,
    cachedBlobBytes: 4 * KIBIBYTE * KIBIBYTE,
    // At 7,900 jobs a day, all inline payloads and answers together take at most 4 MB of a replica's memory.
    inlineBlobBytes: 256,
    resultBytesInProgress: 8 * KIBIBYTE * KIBIBYTE,
    announcements: 2_000,
    reports: 4_000,
    reportsPerMessage: 500,
    cancellationsPerRequest: 1_000,
};

/** Returns the options with defaults for the omitted values. */
export const resolveEntrySettings = (options: EntryOptions): EntrySettings => ({
    ...options,
    timing: { ...DEFAULT_ENTRY_TIMING, ...options.timing },
    limits: { ...DEFAULT_ENTRY_LIMITS, ...options.limits },
});
