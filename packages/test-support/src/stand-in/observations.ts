import type { AttemptIdentity } from "./messages.js";
import type { ResourceAmounts } from "./options.js";

/** Reason why an attempt stopped running. */
export type StopReason =
    | "completed"
    | "task-error"
    | "stopped"
    | "checkpointed"
    | "lease-expired"
    | "terminated";

/** Period, on the test's clock, during which an attempt actually ran. */
export interface RunSegment extends AttemptIdentity {
    backendServerId: string;
    incarnation: string;
    workClass: string;
    startedAtMs: number;
    /** Undefined while it runs. */
    stoppedAtMs?: number;
    stopReason?: StopReason;
    /** Progress taken over from a checkpoint. */
    progressAtStartMs: number;
    progressAtStopMs?: number;
}

/** Record of what a stand-in did, for the checks of tests. */
export interface Observations {
    segments: RunSegment[];
    /** Peak amount held of each resource; the peaks may be at different times. */
    peakUsed: ResourceAmounts;
    peakTasks: number;
    startsAccepted: number;
    /** Refused starts by reason. */
    startsRefused: Record<string, number>;
    resultsSettled: number;
}

/** Returns the record of a stand-in that has not done anything yet. */
export const emptyObservations = (): Observations => ({
    segments: [],
    peakUsed: { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 },
    peakTasks: 0,
    startsAccepted: 0,
    startsRefused: {},
    resultsSettled: 0,
});
