import { TaskPhase } from "@waxwingspread/protocol";
import { attemptKeyOf, checkpointSchema, payloadSchema } from "./messages.js";
import type { AttemptIdentity, StartMessage, TaskPayload } from "./messages.js";
import type { RunSegment } from "./observations.js";

/** Progress at which a task fails when all tasks are set to fail. */
const FAILURE_PROGRESS_MS = 10;
const THROTTLED_SPEED_RATIO = 0.25;

/** Body of `POST /backend/v1/results`. */
export interface ResultMessage extends AttemptIdentity {
    backendServerId: string;
    incarnation: string;
    end: "completed" | "task-error" | "stopped" | "never-started";
    answer?: unknown;
    /** Set instead of an answer that the entry refused as too large. */
    answerTooLarge?: boolean;
    checkpoint?: unknown;
    detail: string;
}

/** A task that a stand-in holds. Times are readings of the stand-in's clock. */
export interface Task {
    readonly key: string;
    readonly start: StartMessage;
    readonly payload: TaskPayload;
    readonly isPayloadValid: boolean;
    phase: TaskPhase;
    leaseExpiresMs: number;
    progressMs: number;
    checkpointDoneMs: number;
    segment: RunSegment | undefined;
    result: ResultMessage | undefined;
    /** Call in flight, time of the next attempt and number of attempts to deliver the result. */
    delivery: { callId: number | undefined; nextMs: number; attempts: number };
}

/** Returns a running task for an accepted start, resumed from its checkpoint if it has one. */
export const createTask = (start: StartMessage): Task => {
    const payload = payloadSchema.safeParse(start.payload);
    const checkpoint = checkpointSchema.safeParse(start.checkpoint);
    return {
        key: attemptKeyOf(start),
        start,
        payload: payload.success ? payload.data : { runMs: 0, fail: true, echo: undefined },
        isPayloadValid: payload.success,
        phase: TaskPhase.RUNNING,
        leaseExpiresMs: start.leaseExpiresMs,
        progressMs: checkpoint.success ? checkpoint.data.progressMs : 0,
        checkpointDoneMs: Infinity,
        segment: undefined,
        result: undefined,
        delivery: { callId: undefined, nextMs: 0, attempts: 0 },
    };
};

/** True while the task makes progress, also when it is throttled. */
export const isRunning = (task: Task): boolean =>
    task.phase === TaskPhase.RUNNING || task.phase === TaskPhase.THROTTLED;

/** True while the task holds capacity. */
export const holdsCapacity = (task: Task): boolean => task.phase !== TaskPhase.ENDED;

/** Returns the task's speed for a given speed of the server and slowdown by its neighbours. */
export const speedOf = (task: Task, serverSpeedRatio: number, slowdown: number): number =>
    serverSpeedRatio * (task.phase === TaskPhase.THROTTLED ? THROTTLED_SPEED_RATIO : 1) / Math.max(1, slowdown);

/** Returns the progress at which the task ends by itself. */
export const requiredProgressMs = (task: Task, failEveryTask: boolean): number => {
    const { start, payload } = task;
    const isEndless = start.workKind === "standing" && !payload.fail;
    const durationMs = isEndless ? Infinity : payload.runMs;
    return failEveryTask ? Math.min(durationMs, FAILURE_PROGRESS_MS) : durationMs;
};

/** Returns the answer of a finished task, padded to the size that the payload asks for. */
export const answerOf = (task: Task): Record<string, unknown> => {
    const { echo, answerBytes } = task.payload;
    const ranMs = Math.round(task.progressMs);
    const answer = { echo, attemptNumber: task.start.attemptNumber, ranMs };
    const paddedBytes = Buffer.byteLength(JSON.stringify({ ...answer, padding: "" }));
    return answerBytes === undefined || answerBytes <= paddedBytes
        ? answer
        : { ...answer, padding: "x".repeat(answerBytes - paddedBytes) };
};
