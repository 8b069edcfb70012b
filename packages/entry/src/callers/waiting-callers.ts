import { create } from "@bufbuild/protobuf";
import { jobKeyOf } from "@waxwingspread/common";
import { JobState, LookUpRequestSchema } from "@waxwingspread/protocol";
import type { Job } from "@waxwingspread/protocol";
import type { EntryContext } from "../context.js";
import type { RequestHandle } from "../effects.js";
import { isJobOf } from "./job-identity.js";
import type { JobIdentity } from "./job-identity.js";

/** Number of outcomes kept, because an outcome may arrive before the reply to the submission. */
const RECENT_OUTCOMES_LIMIT = 1_000;

interface Waiter {
    handle: RequestHandle;
    deadlineMs: number;
}

interface WaitingJob {
    identity: JobIdentity;
    job: Job;
    waiters: Waiter[];
    nextLookUpMs: number;
    isLookUpInProgress: boolean;
}

/** Called with the callers to reply to once their job has ended or their wait has timed out. */
export type ReplyWithJob = (handles: RequestHandle[], identity: JobIdentity, job: Job, nowMs: number) => void;

/** Callers that wait for the outcome of a job. */
export class WaitingCallers {
    readonly #jobs = new Map<string, WaitingJob>();
    readonly #recentOutcomes = new Map<string, Job>();
    #waiterCount = 0;
    #latestDeadlineMs = Infinity;
    /** No wait times out and no look-up is due before this time; lets most ticks skip the scan. */
    #nextDueMs = Infinity;

    constructor(readonly context: EntryContext, readonly ready: ReplyWithJob) {}

    get size(): number {
        return this.#waiterCount;
    }

    get isFull(): boolean {
        return this.#waiterCount >= this.context.settings.limits.waitingCallers;
    }

    /** Adds a caller that waits for a job. If the outcome is already known, the caller gets it at once. */
    add(handle: RequestHandle, identity: JobIdentity, job: Job, deadlineMs: number, nowMs: number): void {
        const key = jobKeyOf(identity);
        const outcome = this.#recentOutcomes.get(key);
        // The outcome may be of an earlier job with the same id, which the control replicas have since removed.
        if (outcome && outcome.acceptedAtMs === job.acceptedAtMs) {
            this.ready([handle], identity, outcome, nowMs);
            return;
        }
        const nextLookUpMs = nowMs + this.#lookUpIntervalMs(job);
        const waiting = this.#jobs.get(key)
            ?? { identity, job, waiters: [], nextLookUpMs, isLookUpInProgress: false };
        this.#jobs.set(key, waiting);
        waiting.waiters.push({ handle, deadlineMs });
        this.#waiterCount += 1;
        this.#nextDueMs = Math.min(this.#nextDueMs, deadlineMs, waiting.nextLookUpMs);
    }

    /** Handles the final state of a job: replies to its waiting callers. */
    handleOutcome(job: Job, nowMs: number): void {
        const { customer = "", requestId = "" } = job.specification ?? {};
        const key = jobKeyOf({ customer, requestId });
        this.#recordOutcome(key, job);
        const waiting = this.#jobs.get(key);
        if (waiting) {
            this.#removeAndReply(key, waiting, job, nowMs);
        }
    }

    /** Schedules an early look-up, because an end of the job was settled. Its outcome normally arrives before that. */
    scheduleEarlyLookUp(identity: JobIdentity, nowMs: number): void {
        const waiting = this.#jobs.get(jobKeyOf(identity));
        if (waiting) {
            const lookUpAtMs = nowMs + this.context.settings.timing.settledLookUpDelayMs;
            waiting.nextLookUpMs = Math.min(waiting.nextLookUpMs, lookUpAtMs);
            this.#nextDueMs = Math.min(this.#nextDueMs, lookUpAtMs);
        }
    }

    /** Sets the latest time at which current and later waits end. */
    limitWaits(deadlineMs: number, nowMs: number): void {
        this.#latestDeadlineMs = deadlineMs;
        this.#nextDueMs = nowMs;
        for (const waiting of this.#jobs.values()) {
            waiting.nextLookUpMs = Math.min(waiting.nextLookUpMs, nowMs + this.#lookUpIntervalMs(waiting.job));
        }
    }

    /** Removes a caller that has closed the connection. */
    remove(handle: RequestHandle): void {
        for (const [key, waiting] of this.#jobs) {
            const remaining = waiting.waiters.filter(waiter => waiter.handle !== handle);
            if (remaining.length < waiting.waiters.length) {
                this.#setWaiters(key, waiting, remaining);
                return;
            }
        }
    }

    tick(nowMs: number): void {
        if (nowMs < this.#nextDueMs) {
            return;
        }
        for (const [key, waiting] of [...this.#jobs]) {
            this.#expireWaiters(key, waiting, nowMs);
            if (this.#jobs.has(key) && waiting.nextLookUpMs <= nowMs && !waiting.isLookUpInProgress) {
                this.#lookUp(key, waiting, nowMs);
            }
        }
        this.#nextDueMs = this.#earliestDueMs();
    }

    #earliestDueMs(): number {
        let dueMs = Infinity;
        for (const { waiters, nextLookUpMs, isLookUpInProgress } of this.#jobs.values()) {
            dueMs = Math.min(dueMs, isLookUpInProgress ? Infinity : nextLookUpMs);
            for (const { deadlineMs } of waiters) {
                dueMs = Math.min(dueMs, deadlineMs, this.#latestDeadlineMs);
            }
        }
        return dueMs;
    }

    #lookUpIntervalMs(job: Job): number {
        const { entryId, timing } = this.context.settings;
        // The leader sends no orders, and so no outcomes, to an entry that is leaving.
        const isOutcomeOrderExpected = job.entryId === entryId && this.#latestDeadlineMs === Infinity;
        return isOutcomeOrderExpected ? timing.ownLookUpIntervalMs : timing.otherLookUpIntervalMs;
    }

    #expireWaiters(key: string, waiting: WaitingJob, nowMs: number): void {
        const isExpired = (waiter: Waiter): boolean => Math.min(waiter.deadlineMs, this.#latestDeadlineMs) <= nowMs;
        const expired = waiting.waiters.filter(isExpired);
        if (expired.length > 0) {
            this.#setWaiters(key, waiting, waiting.waiters.filter(waiter => !isExpired(waiter)));
            this.ready(expired.map(waiter => waiter.handle), waiting.identity, waiting.job, nowMs);
        }
    }

    #setWaiters(key: string, waiting: WaitingJob, waiters: Waiter[]): void {
        this.#waiterCount -= waiting.waiters.length - waiters.length;
        waiting.waiters = waiters;
        if (waiters.length === 0) {
            this.#jobs.delete(key);
        }
    }

    #removeAndReply(key: string, waiting: WaitingJob, job: Job, nowMs: number): void {
        const handles = waiting.waiters.map(waiter => waiter.handle);
        this.#setWaiters(key, waiting, []);
        this.ready(handles, waiting.identity, job, nowMs);
    }

    #lookUp(key: string, waiting: WaitingJob, nowMs: number): void {
        const { leader, settings } = this.context;
        waiting.isLookUpInProgress = true;
        const request = create(LookUpRequestSchema, { ...waiting.identity });
        const deadlineMs = nowMs + settings.timing.requestTimeoutMs;
        leader.call({
            method: "lookUp",
            request,
            deadlineMs,
            done: (result, atMs) => {
                waiting.isLookUpInProgress = false;
                waiting.nextLookUpMs = atMs + this.#lookUpIntervalMs(waiting.job);
                this.#nextDueMs = Math.min(this.#nextDueMs, waiting.nextLookUpMs);
                if (result.isErr() || result.value.result.case !== "job") {
                    return;
                }
                const job = result.value.result.value;
                if (isJobOf(job, waiting.identity) && this.#jobs.get(key) === waiting) {
                    this.#updateJob(key, waiting, job, atMs);
                }
            },
        }, nowMs);
    }

    #updateJob(key: string, waiting: WaitingJob, job: Job, nowMs: number): void {
        waiting.job = job;
        if (job.state === JobState.ENDED) {
            this.#removeAndReply(key, waiting, job, nowMs);
        }
    }

    #recordOutcome(key: string, job: Job): void {
        this.#recentOutcomes.delete(key);
        this.#recentOutcomes.set(key, job);
        if (this.#recentOutcomes.size > RECENT_OUTCOMES_LIMIT) {
            for (const oldestKey of this.#recentOutcomes.keys()) {
                this.#recentOutcomes.delete(oldestKey);
                break;
            }
        }
    }
}
