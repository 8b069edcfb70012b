const KIBIBYTE = 1_024;

/** Largest payload of a request, in bytes of JSON. */
export const PAYLOAD_LIMIT_BYTES = 256 * KIBIBYTE;

/** Largest answer and largest checkpoint, in bytes of JSON. */
export const ANSWER_LIMIT_BYTES = 1_024 * KIBIBYTE;

/** Room for the fields around a payload. */
const ENVELOPE_LIMIT_BYTES = 64 * KIBIBYTE;

/** Largest request body that a shell should read from a caller. */
export const CALLER_BODY_LIMIT_BYTES = PAYLOAD_LIMIT_BYTES + ENVELOPE_LIMIT_BYTES;

/** Largest request body that a shell should read from a backend server: an answer and a checkpoint. */
export const BACKEND_SERVER_BODY_LIMIT_BYTES = 2 * ANSWER_LIMIT_BYTES + ENVELOPE_LIMIT_BYTES;

/** Who this entry is. */
export interface EntryIdentity {
    entryId: string;
    /** Changes with each start of the process. */
    incarnation: string;
    /** Address at which backend servers reach this entry. */
    address: string;
    /** Where this entry serves its metrics, health and journal. */
    operatorsAddress?: string;
    availabilityZone: string;
    /** Control replicas known from the settings; later ones arrive with polls. */
    controlAddresses: string[];
}

/** Times in milliseconds. */
export interface EntryTiming {
    /** Deadline of one control call. */
    callTimeoutMs: number;
    /** Longer than the 500 ms that the leader holds a poll; short, because the lease lasts 1,200 ms from its sending. */
    pollTimeoutMs: number;
    /** One attempt to read a blob; short, because a start waits for it. */
    getBlobTimeoutMs: number;
    /** Bound on a submission, a look-up or a cancellation with all its retries. */
    requestTimeoutMs: number;
    /** Delay before another replica is tried after a failure. */
    retryDelayMs: number;
    /** Delay before a failed blob write is repeated at the same replica. */
    blobRetryDelayMs: number;
    startTimeoutMs: number;
    /** Bound on fetching what a start needs; the start window is 1,000 ms. */
    startPreparationMs: number;
    /** Announcements are collected for at most this long. */
    announcementFlushMs: number;
    /** An announcement without a reply of the leader is answered without a lease after this. */
    announceTimeoutMs: number;
    /** A result that is not settled by then is answered as not settled. */
    resultTimeoutMs: number;
    /** How often the state of a job submitted here is asked while callers wait; its outcome normally arrives as an order. */
    ownLookUpIntervalMs: number;
    /** The same for jobs submitted at another entry, to which their outcome is sent. */
    otherLookUpIntervalMs: number;
    /** How long the outcome order of an end reported here may take before the leader is asked. */
    settledLookUpDelayMs: number;
    /** Longest wait of a caller. */
    maximumWaitMs: number;
    /** Callers that still wait this long after the drain began get the state as it is. */
    drainWaitMs: number;
}

/** Bounds on memory. */
export interface EntryLimits {
    requestsInProgress: number;
    waitingCallers: number;
    pendingCalls: number;
    cachedBlobBytes: number;
    /** Blobs up to this size travel and stay in their references; 0 stores all blobs. */
    inlineBlobBytes: number;
    resultBytesInProgress: number;
    announcements: number;
    /** Start and end reports waiting for the leader, each. */
    reports: number;
    /** Start and end reports in one message, each. */
    reportsPerMessage: number;
    /** Request ids in one cancellation. */
    cancellationsPerRequest: number;
}

export interface EntryOptions extends EntryIdentity {
    timing?: Partial<EntryTiming>;
    limits?: Partial<EntryLimits>;
}

export interface EntrySettings extends EntryIdentity {
    timing: EntryTiming;
    limits: EntryLimits;
}

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

export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
    requestsInProgress: 4_000,
    waitingCallers: 2_000,
    pendingCalls: 8_000,
    cachedBlobBytes: 4 * KIBIBYTE * KIBIBYTE,
    // In a replica's memory, a payload and an answer of each of 7,900 jobs a day take at most 4 MB.
    inlineBlobBytes: 256,
    resultBytesInProgress: 8 * KIBIBYTE * KIBIBYTE,
    announcements: 2_000,
    reports: 4_000,
    reportsPerMessage: 500,
    cancellationsPerRequest: 1_000,
};

/** Completes the options with the defaults. */
export const entrySettings = (options: EntryOptions): EntrySettings => ({
    ...options,
    timing: { ...DEFAULT_ENTRY_TIMING, ...options.timing },
    limits: { ...DEFAULT_ENTRY_LIMITS, ...options.limits },
});
