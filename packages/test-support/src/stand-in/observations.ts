import type { AttemptIdentity } from "./messages.js";
import type { ResourceAmounts } from "./options.js";

export type StopReason =
    | "completed"
    | "task-error"
    | "stopped"
    | "checkpointed"
    | "lease-expired"
    | "terminated";

/** Time, by the clock of the test, during which an attempt really ran. */
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

/** What a stand-in did, for oracles. */
export interface Observations {
    segments: RunSegment[];
    /** Greatest amounts held at one time, each resource on its own. */
    peakUsed: ResourceAmounts;
    peakTasks: number;
    startsAccepted: number;
    /** Refused starts by reason. */
    startsRefused: Record<string, number>;
    resultsSettled: number;
}

/** Returns an empty log. */
export const emptyObservations = (): Observations => ({
    segments: [],
    peakUsed: { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 },
    peakTasks: 0,
    startsAccepted: 0,
    startsRefused: {},
    resultsSettled: 0,
});
