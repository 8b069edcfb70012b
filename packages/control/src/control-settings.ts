/** Timings of a control node. */
export interface ControlSettings {
    /** Longest time for which a poll without news is held. */
    pollHoldMs: number;
    /** Validity of a configuration lease, counted from when the entry sent its poll. */
    configurationLeaseMs: number;
    /** An entry that hasn't polled for this long gets no orders. */
    entryTimeoutMs: number;
}

/** The timings of the design page. */
export const defaultControlSettings: ControlSettings = {
    pollHoldMs: 500,
    configurationLeaseMs: 1_200,
    entryTimeoutMs: 1_500,
};
