/** Timings of a control node. */
export interface ControlSettings {
    /** Longest time for which a poll without an update is held. */
    pollHoldMs: number;
    /** Validity of a configuration lease, counted from when the entry sent its poll. */
    configurationLeaseMs: number;
    /** An entry that hasn't polled for this long gets no orders. */
    entryTimeoutMs: number;
}

/** Default timings, as specified in the design document. */
export const defaultControlSettings: ControlSettings = {
    pollHoldMs: 500,
    configurationLeaseMs: 1_200,
    entryTimeoutMs: 1_500,
};
