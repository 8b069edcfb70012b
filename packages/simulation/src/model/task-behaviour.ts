import type { StepSpecification, TaskPosition } from "@waxwingspread/workflow";
import type { SimulatedServer } from "./simulated-server.js";

/** Decides what the runs of a task do. */
export interface TaskBehaviour {
    stepOf: (position: TaskPosition) => StepSpecification | undefined;
    /** Work of a run at full speed in milliseconds; undefined when it never ends by itself. */
    workMs: (position: TaskPosition) => number | undefined;
    fails: (position: TaskPosition, run: number, serverId: string) => boolean;
    /** Whether a run of the task crashes its server as soon as it starts. */
    crashes: (position: TaskPosition) => boolean;
    /** Quantum in percent in which the progress is reported; Infinity for no progress. */
    quantumPercent: (position: TaskPosition) => number;
    /** Ratio of the tail latencies of the standing tasks on a server to their targets. */
    tailRatio: (server: SimulatedServer) => number;
}
