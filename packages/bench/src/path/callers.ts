import type { CallerReply } from "@waxwingspread/test-support";
import type { Testbed } from "./testbed.js";

const WAIT_MS = 10_000;

/** A latency-critical job of the benchmark. Times are epoch milliseconds. */
export interface MeasuredJob {
    requestId: string;
    submittedAtMs: number;
    endedAtMs: number;
    completed: boolean;
}

/** Returns the current epoch time in milliseconds, with the resolution of the monotonic clock. */
export const epochMs = (): number => performance.timeOrigin + performance.now();

const isCompleted = (reply: CallerReply): boolean =>
    reply.status === 200 && (reply.json as { outcome?: string }).outcome === "completed";

/** Submits a latency-critical job that runs for `runMs` and waits for its answer. */
export const submitJob = async (testbed: Testbed, requestId: string, runMs: number): Promise<MeasuredJob> => {
    const submittedAtMs = epochMs();
    const reply = await testbed.caller.submit(requestId, { workClass: "check", payload: { runMs } }, WAIT_MS);
    return { requestId, submittedAtMs, endedAtMs: epochMs(), completed: isCompleted(reply) };
};

/** Submits `count` jobs, each after the previous one has been answered. */
export const submitInSequence = async (
    testbed: Testbed,
    prefix: string,
    count: number,
    runMs: number,
): Promise<MeasuredJob[]> => {
    const jobs: MeasuredJob[] = [];
    for (let number = 1; number <= count; number += 1) {
        jobs.push(await submitJob(testbed, `${prefix}-${number}`, runMs));
    }
    return jobs;
};

/** Submits jobs at a fixed rate, regardless of the completion of earlier jobs, until {@link stop} is called. */
export class OpenLoop {
    readonly #pending: Promise<MeasuredJob>[] = [];
    readonly #timer: NodeJS.Timeout;

    constructor(testbed: Testbed, prefix: string, perSecond: number, runMs: number) {
        const startedAtMs = performance.now();
        this.#timer = setInterval(() => {
            // Timers fire late on a busy machine; the jobs that are overdue are submitted together.
            while (this.#pending.length < (performance.now() - startedAtMs) / 1_000 * perSecond) {
                this.#pending.push(submitJob(testbed, `${prefix}-${this.#pending.length + 1}`, runMs));
            }
        }, 1);
    }

    /** Stops submitting and waits for all jobs to end. */
    async stop(): Promise<MeasuredJob[]> {
        clearInterval(this.#timer);
        return Promise.all(this.#pending);
    }
}

/** Keeps `parallelism` jobs in progress until {@link stop} is called. */
export class ClosedLoop {
    readonly jobs: MeasuredJob[] = [];
    readonly #callerLoops: Promise<void>[];
    #isStopping = false;
    #submitted = 0;

    constructor(testbed: Testbed, prefix: string, parallelism: number, runMs: number) {
        this.#callerLoops = Array.from({ length: parallelism }, async () => {
            while (!this.#isStopping) {
                this.#submitted += 1;
                this.jobs.push(await submitJob(testbed, `${prefix}-${this.#submitted}`, runMs));
            }
        });
    }

    /** Stops submitting and waits for the jobs in progress to end. */
    async stop(): Promise<void> {
        this.#isStopping = true;
        await Promise.all(this.#callerLoops);
    }
}

/** Resolves after `durationMs`. */
export const pause = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));
