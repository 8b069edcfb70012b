import { TaskPhase } from "@waxwingspread/protocol";
import { EntryLink } from "./stand-in/entry-link.js";
import type { CallEntry } from "./stand-in/entry-link.js";
import {
    announceReplySchema,
    attemptKeyOf,
    readJson,
    startSchema,
    stopSchema,
    taskJobKeyOf,
    throttleSchema,
} from "./stand-in/messages.js";
import type { AttemptIdentity, StartMessage } from "./stand-in/messages.js";
import { emptyObservations } from "./stand-in/observations.js";
import type { Observations, StopReason } from "./stand-in/observations.js";
import { DEFAULT_STAND_IN_TIMING, NO_FAULTS } from "./stand-in/options.js";
import type { ResourceAmounts, StandInFaults, StandInOptions, StandInTiming } from "./stand-in/options.js";
import { StartGuard } from "./stand-in/start-guard.js";
import { answerOf, createTask, holdsCapacity, isRunning, requiredProgressMs, speedOf } from "./stand-in/task.js";
import type { ResultMessage, Task } from "./stand-in/task.js";
import { UsageReporter } from "./stand-in/usage-reporter.js";

const HTTP_OK = 200;
const HTTP_INVALID = 400;
const HTTP_NOT_FOUND = 404;
const RESOURCE_NAMES = ["cpuMillicores", "memoryMebibytes", "accelerators"] as const;

/** HTTP request of an entry. */
export interface StandInRequest {
    method: string;
    path: string;
    /** JSON text. */
    body: string;
}

/** Reply to a request; `body` is JSON text. */
export interface StandInReply {
    status: number;
    body: string;
}

type Handler = (body: string, nowMs: number) => StandInReply;

const replyOf = (status: number, value: unknown): StandInReply => ({ status, body: JSON.stringify(value) });

/**
 * Simulates a backend server of the platform. Deterministic: the time is a parameter of each call, and calls to
 * entries are returned as effects. `nowMs` is the test's clock; the server's own clock is derived from it.
 */
export class StandInBackendServer {
    readonly observations: Observations = emptyObservations();
    readonly #options: StandInOptions;
    readonly #timing: StandInTiming;
    readonly #createdAtMs: number;
    readonly #tasks = new Map<string, Task>();
    readonly #startGuard = new StartGuard();
    readonly #usage: UsageReporter;
    readonly #link: EntryLink;
    readonly #handlers = new Map<string, Handler>([
        ["POST /v1/tasks", (body, nowMs) => this.#handleStart(body, nowMs)],
        ["POST /v1/tasks/stop", (body, nowMs) => this.#handleStop(body, nowMs)],
        ["POST /v1/tasks/throttle", body => this.#handleThrottle(body)],
    ]);
    #faults: StandInFaults;
    #isLeaving = false;
    #clockMs: number;

    constructor(options: StandInOptions, nowMs: number) {
        this.#options = options;
        this.#timing = { ...DEFAULT_STAND_IN_TIMING, ...options.timing };
        this.#faults = { ...NO_FAULTS, ...options.faults };
        this.#createdAtMs = nowMs;
        this.#clockMs = this.clockAt(nowMs);
        this.#usage = new UsageReporter(this.#timing, options.usedRatio);
        this.#link = new EntryLink(options, this.#timing, this.#clockMs);
    }

    get backendServerId(): string {
        return this.#options.backendServerId;
    }

    get incarnation(): string {
        return this.#options.incarnation;
    }

    get faults(): StandInFaults {
        return this.#faults;
    }

    /** True when the leader knows that the server is leaving and it holds neither tasks nor unsettled results. */
    get hasLeft(): boolean {
        return this.#link.isLeavingKnown && this.#tasks.size === 0;
    }

    /** Returns the reading of the server's own monotonic clock. */
    clockAt(nowMs: number): number {
        const { clockStartMs = 0, clockRateRatio = 1 } = this.#options;
        return clockStartMs + (nowMs - this.#createdAtMs) * clockRateRatio;
    }

    /** Returns the resources that tasks hold now. */
    used(): ResourceAmounts {
        const used = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
        for (const task of this.#tasks.values()) {
            if (holdsCapacity(task)) {
                RESOURCE_NAMES.forEach(name => {
                    used[name] += task.start.resources[name];
                });
            }
        }
        return used;
    }

    /** Answers an entry's request; undefined means that no reply is ever sent. */
    handle(request: StandInRequest, nowMs: number): StandInReply | undefined {
        this.#advance(nowMs);
        if (this.#faults.silent) {
            return undefined;
        }
        const handler = this.#handlers.get(`${request.method} ${request.path}`);
        return handler ? handler(request.body, nowMs) : replyOf(HTTP_NOT_FOUND, { error: "no such method and path" });
    }

    /** Handles an entry's reply to a `CallEntry`. */
    handleEntryReply(callId: number, reply: StandInReply, nowMs: number): void {
        this.#advance(nowMs);
        if (this.#faults.silent) {
            return;
        }
        const isAnnounced = this.#link.handleAnnounceReply(callId, reply, this.#clockMs);
        const lease = isAnnounced && readJson(announceReplySchema, reply.body)?.lease;
        if (lease && this.#startGuard.recordTerm(lease.term)) {
            for (const task of this.#tasks.values()) {
                task.leaseExpiresMs = Math.max(task.leaseExpiresMs, lease.expiresMs);
            }
        }
        const settledTask = this.#link.handleResultReply(callId, reply, this.#tasks.values(), this.#clockMs);
        if (settledTask) {
            this.#tasks.delete(settledTask.key);
            this.observations.resultsSettled += 1;
        }
    }

    /** Handles the failure of a `CallEntry`. */
    handleCallFailure(callId: number, nowMs: number): void {
        this.#advance(nowMs);
        this.#link.handleCallFailure(callId, this.#tasks.values(), this.#clockMs);
    }

    /** Sets or clears faults. */
    setFaults(faults: Partial<StandInFaults>, nowMs: number): void {
        this.#advance(nowMs);
        this.#faults = { ...this.#faults, ...faults };
    }

    /** Announces immediately that the server is leaving; refuses all further starts. */
    leave(nowMs: number): void {
        this.#advance(nowMs);
        this.#isLeaving = true;
        this.#link.announceNow(this.#clockMs);
        this.#sendDue();
    }

    /** Ends the process: all tasks stop now. No method may be called afterwards. */
    terminate(nowMs: number): void {
        this.#advance(nowMs);
        for (const task of this.#tasks.values()) {
            this.#closeSegment(task, "terminated", nowMs);
        }
        this.#tasks.clear();
    }

    /** Advances the tasks, fails calls that timed out, and sends the announcements and results that are due. */
    tick(nowMs: number): void {
        this.#advance(nowMs);
        this.#link.expireCalls(this.#tasks.values(), this.#clockMs);
        this.#startGuard.removeExpired(this.#clockMs);
        this.#sendDue();
    }

    /** Returns the calls to make to entries, each only once. */
    takeEffects(): CallEntry[] {
        return this.#link.takeEffects();
    }

    #sendDue(): void {
        if (this.#faults.silent) {
            return;
        }
        if (this.#link.isAnnouncementDue(this.#clockMs)) {
            const usage = this.#usage.takeDue(this.#clockMs);
            this.#link.announce([...this.#tasks.values()], usage, this.#isLeaving, this.#clockMs);
        }
        for (const task of this.#tasks.values()) {
            this.#link.sendResultIfDue(task, this.#clockMs);
        }
    }

    /** Advances tasks to the given time. Runs before any other action, so that an expired lease takes effect first. */
    #advance(nowMs: number): void {
        const targetMs = Math.max(this.#clockMs, this.clockAt(nowMs));
        for (;;) {
            const next = this.#nextEvent();
            if (!next || next.atMs > targetMs) {
                break;
            }
            this.#runUntil(Math.max(this.#clockMs, next.atMs));
            next.run();
        }
        this.#runUntil(targetMs);
    }

    #nextEvent(): { atMs: number; run: () => void } | undefined {
        let earliest: { atMs: number; run: () => void } | undefined;
        const consider = (atMs: number, run: () => void): void => {
            if (Number.isFinite(atMs) && (!earliest || atMs < earliest.atMs)) {
                earliest = { atMs, run };
            }
        };
        const holding = [...this.#tasks.values()].filter(holdsCapacity);
        // Of events at the same time, the first one considered wins, so lease expiry takes precedence.
        for (const task of holding) {
            consider(task.leaseExpiresMs, () => {
                this.#endTask(task, "lease-expired", { end: "stopped", detail: "lease expired" });
            });
        }
        for (const task of holding) {
            consider(task.checkpointDoneMs, () => {
                const checkpoint = { progressMs: task.progressMs };
                this.#endTask(task, "checkpointed", { end: "stopped", checkpoint, detail: "checkpointed" });
            });
            consider(this.#finishMs(task), () => {
                this.#finishTask(task);
            });
        }
        return earliest;
    }

    #speedOf(task: Task): number {
        const neighbours = [...this.#tasks.values()]
            .filter(other => other !== task && isRunning(other))
            .map(other => other.start.workClass);
        const slowdown = this.#options.slowdownOf?.(task.start.workClass, neighbours) ?? 1;
        return speedOf(task, this.#faults.speedRatio, slowdown);
    }

    #finishMs(task: Task): number {
        const speed = this.#speedOf(task);
        const remainingMs = requiredProgressMs(task, this.#faults.failEveryTask) - task.progressMs;
        return isRunning(task) && (speed > 0 || remainingMs <= 0)
            ? this.#clockMs + Math.max(0, remainingMs) / Math.max(speed, Number.MIN_VALUE)
            : Infinity;
    }

    #runUntil(clockMs: number): void {
        const elapsedMs = clockMs - this.#clockMs;
        const running = [...this.#tasks.values()].filter(isRunning);
        const speeds = running.map(task => this.#speedOf(task));
        running.forEach((task, position) => {
            task.progressMs += elapsedMs * (speeds[position] ?? 0);
        });
        this.#clockMs = clockMs;
        this.#usage.measure(running, speeds, clockMs);
    }

    #finishTask(task: Task): void {
        // Rounding in the division may leave the progress slightly below the required progress.
        task.progressMs = Math.max(task.progressMs, requiredProgressMs(task, this.#faults.failEveryTask));
        if (!task.isPayloadValid || task.payload.fail || this.#faults.failEveryTask) {
            const detail = task.isPayloadValid ? "task failed" : "payload not understood";
            this.#endTask(task, "task-error", { end: "task-error", detail });
            return;
        }
        this.#endTask(task, "completed", { end: "completed", answer: answerOf(task), detail: "" });
    }

    #endTask(
        task: Task,
        reason: StopReason,
        result: Pick<ResultMessage, "end" | "answer" | "checkpoint" | "detail">,
    ): void {
        const { customer, requestId, attemptNumber } = task.start;
        const { backendServerId, incarnation } = this.#options;
        this.#closeSegment(task, reason, this.#toTestClock(this.#clockMs));
        task.phase = TaskPhase.ENDED;
        task.checkpointDoneMs = Infinity;
        task.result = { backendServerId, incarnation, customer, requestId, attemptNumber, ...result };
        task.delivery.nextMs = this.#clockMs;
    }

    #closeSegment(task: Task, reason: StopReason, nowMs: number): void {
        if (task.segment) {
            Object.assign(task.segment, {
                stoppedAtMs: nowMs,
                stopReason: reason,
                progressAtStopMs: task.progressMs,
            });
            task.segment = undefined;
        }
    }

    /** Converts a reading of the server's clock to the test's clock. */
    #toTestClock(clockMs: number): number {
        const { clockStartMs = 0, clockRateRatio = 1 } = this.#options;
        return this.#createdAtMs + (clockMs - clockStartMs) / clockRateRatio;
    }

    #handleStart(body: string, nowMs: number): StandInReply {
        const start = readJson(startSchema, body);
        if (!start) {
            return replyOf(HTTP_INVALID, { error: "not a start" });
        }
        const earlierDecision = start.incarnation === this.#options.incarnation
            ? this.#startGuard.earlierDecision(start)
            : undefined;
        if (earlierDecision) {
            return replyOf(HTTP_OK, {
                result: earlierDecision.accepted ? "accepted" : "refused",
                detail: earlierDecision.detail,
            });
        }
        const refusal = this.#startGuard.decide(start, {
            incarnation: this.#options.incarnation,
            leaving: this.#isLeaving,
            holdsOtherAttempt: this.#holdsOtherAttempt(start),
            fits: this.#fits(start),
        }, this.#clockMs);
        if (refusal !== undefined) {
            const { startsRefused } = this.observations;
            startsRefused[refusal] = (startsRefused[refusal] ?? 0) + 1;
            return replyOf(HTTP_OK, { result: "refused", detail: refusal });
        }
        this.#startTask(start, nowMs);
        return replyOf(HTTP_OK, { result: "accepted", detail: "" });
    }

    #startTask(start: StartMessage, nowMs: number): void {
        const task = createTask(start);
        const { customer, requestId, attemptNumber, workClass } = start;
        const { backendServerId, incarnation } = this.#options;
        task.segment = {
            customer,
            requestId,
            attemptNumber,
            workClass,
            backendServerId,
            incarnation,
            startedAtMs: nowMs,
            progressAtStartMs: task.progressMs,
        };
        this.#tasks.set(task.key, task);
        const { observations } = this;
        observations.segments.push(task.segment);
        observations.startsAccepted += 1;
        const used = this.used();
        RESOURCE_NAMES.forEach(name => {
            observations.peakUsed[name] = Math.max(observations.peakUsed[name], used[name]);
        });
        observations.peakTasks = Math.max(observations.peakTasks, this.#countHeldTasks());
    }

    #countHeldTasks(): number {
        return [...this.#tasks.values()].filter(holdsCapacity).length;
    }

    #holdsOtherAttempt(start: AttemptIdentity): boolean {
        const jobKey = taskJobKeyOf(start);
        return [...this.#tasks.values()].some(task => holdsCapacity(task) && taskJobKeyOf(task.start) === jobKey);
    }

    #fits(start: StartMessage): boolean {
        const used = this.used();
        const { capacity, slots } = this.#options;
        return this.#countHeldTasks() < slots
            && RESOURCE_NAMES.every(name => used[name] + start.resources[name] <= capacity[name]);
    }

    #handleStop(body: string, nowMs: number): StandInReply {
        const stop = readJson(stopSchema, body);
        if (!stop) {
            return replyOf(HTTP_INVALID, { error: "not a stop" });
        }
        const task = this.#tasks.get(attemptKeyOf(stop));
        if (!task) {
            if (!this.#startGuard.earlierDecision(stop)) {
                this.#startGuard.refuseFutureStarts(stop, "stopped before its start arrived", this.#clockMs);
            }
            return replyOf(HTTP_OK, { result: "unknown" });
        }
        if (isRunning(task) && stop.checkpoint) {
            this.#closeSegment(task, "checkpointed", nowMs);
            task.phase = TaskPhase.STOPPING;
            task.checkpointDoneMs = this.#clockMs + this.#timing.checkpointMs;
        }
        else if (isRunning(task)) {
            this.#endTask(task, "stopped", { end: "stopped", detail: "stopped" });
        }
        this.#sendDue();
        return replyOf(HTTP_OK, { result: task.phase === TaskPhase.ENDED ? "ended" : "stopping" });
    }

    #handleThrottle(body: string): StandInReply {
        const throttle = readJson(throttleSchema, body);
        if (!throttle) {
            return replyOf(HTTP_INVALID, { error: "not a throttle" });
        }
        const task = this.#tasks.get(attemptKeyOf(throttle));
        if (task && isRunning(task)) {
            task.phase = throttle.throttled ? TaskPhase.THROTTLED : TaskPhase.RUNNING;
        }
        return replyOf(HTTP_OK, { result: task ? "done" : "unknown" });
    }
}
