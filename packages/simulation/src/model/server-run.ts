import { countedMillicoresOf } from "@waxwingspread/workflow";
import type { StartOrder, StepSpecification, TaskPosition } from "@waxwingspread/workflow";
import type { SimulatedServer } from "./simulated-server.js";

export const FULL_PERCENT = 100;
/** Highest progress that a run reports before its end. */
const MAX_REPORTED_PERCENT = 99;
/** Work between two checkpoints, and the time that resuming from one takes. */
const CHECKPOINT_INTERVAL_MS = 2_000;
const RESTORE_MS = 250;

/** A run on a simulated server. */
export interface ServerRun {
    task: string;
    run: number;
    position: TaskPosition;
    step: StepSpecification;
    startedAtMs: number;
    /** Work at full speed until it ends by itself; undefined when it never does. */
    workMs: number | undefined;
    workedMs: number;
    /** Time up to which `workedMs` counts. */
    advancedAtMs: number;
    pacePercent: number;
    isStopping: boolean;
    /** Whether all members of its gang are present. */
    isGangComplete: boolean;
    /** Changes whenever the time of its end does. */
    version: number;
}

/** Creates the run of a start order, which may resume from a checkpoint. */
export const newRun = (
    { task, run, checkpoint }: StartOrder,
    position: TaskPosition,
    step: StepSpecification,
    workMs: number | undefined,
    nowMs: number,
): ServerRun => {
    const savedMs = checkpoint === "" ? 0 : Number(checkpoint.split("/").at(-1)) * CHECKPOINT_INTERVAL_MS;
    return {
        task,
        run,
        position,
        step,
        startedAtMs: nowMs,
        workMs,
        workedMs: savedMs === 0 ? 0 : Math.min(savedMs, workMs ?? 0) - RESTORE_MS,
        advancedAtMs: nowMs,
        pacePercent: FULL_PERCENT,
        isStopping: false,
        isGangComplete: !step.isGang,
        version: 0,
    };
};

/** Returns the work of a run in intervals between two checkpoints. */
export const savedIntervalsOf = ({ workedMs }: ServerRun): number => Math.max(0, workedMs) / CHECKPOINT_INTERVAL_MS;

/** Returns the checkpoint of a run after the given number of intervals of work; empty for none. */
export const checkpointOf = ({ task, run, step }: ServerRun, intervals: number): string =>
    step.savesCheckpoints && intervals > 0 ? `${task}/${run}/${intervals}` : "";

/** Returns the progress that a run reports in the given quantum; none if it is Infinity. */
export const progressPercentOf = ({ workMs, workedMs }: ServerRun, quantumPercent: number): number => {
    if (workMs === undefined || workMs <= 0 || quantumPercent === Infinity) {
        return 0;
    }
    const percent = Math.max(0, (FULL_PERCENT * workedMs) / workMs);
    return Math.min(MAX_REPORTED_PERCENT, Math.floor(percent / quantumPercent) * quantumPercent);
};

/** Amounts that a server has left. */
export interface FreeAmounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    /** CPU that neither reservations nor fillers need. */
    idleMillicores: number;
}

/** Returns what a server has left beside its runs. */
export const freeAmountsOf = (server: SimulatedServer): FreeAmounts => {
    const { cpuMillicores, memoryMebibytes } = server.capacity.current;
    const usableMillicores = cpuMillicores - server.options.hiddenMillicores;
    const free = { cpuMillicores: usableMillicores, memoryMebibytes, idleMillicores: usableMillicores };
    for (const { step } of server.runs.values()) {
        free.cpuMillicores -= countedMillicoresOf(step);
        free.memoryMebibytes -= step.amounts.memoryMebibytes;
        free.idleMillicores -= step.amounts.cpuMillicores;
    }
    return free;
};
