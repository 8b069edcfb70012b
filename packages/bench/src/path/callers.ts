import type { CallerReply } from "@waxwingspread/test-support";
import type { PathFleet } from "./path-fleet.js";

const WAIT_MS = 10_000;

/** One urgent job of the benchmark. Times are epoch milliseconds. */
export interface MeasuredJob {
    requestId: string;
    submittedAtMs: number;
    endedAtMs: number;
    completed: boolean;
}

export const epochMs = (): number => performance.timeOrigin + performance.now();

const isCompleted = (reply: CallerReply): boolean =>
    reply.status === 200 && (reply.json as { outcome?: string }).outcome === "completed";

/** Submits one urgent job and waits for its answer. */
export const submitCheck = async (running: PathFleet, requestId: string, runMs: number): Promise<MeasuredJob> => {
    const submittedAtMs = epochMs();
    const reply = await running.caller.submit(requestId, { workClass: "check", payload: { runMs } }, WAIT_MS);
    return { requestId, submittedAtMs, endedAtMs: epochMs(), completed: isCompleted(reply) };
};

/** Submits `count` jobs one after the other. */
export const submitInSequence = async (
    running: PathFleet,
    prefix: string,
    count: number,
    runMs: number,
): Promise<MeasuredJob[]> => {
    const jobs: MeasuredJob[] = [];
    for (let number = 1; number <= count; number += 1) {
        jobs.push(await submitCheck(running, `${prefix}-${number}`, runMs));
    }
    return jobs;
};

/** Submits at a fixed rate, whether or not earlier jobs have ended, until told to stop. */
export class OpenLoop {
    readonly #pending: Promise<MeasuredJob>[] = [];
    readonly #timer: NodeJS.Timeout;

    constructor(running: PathFleet, prefix: string, perSecond: number, runMs: number) {
        const startedAtMs = performance.now();
        this.#timer = setInterval(() => {
            // Timers come late on a busy machine; what is missing is made up at once.
            while (this.#pending.length < (performance.now() - startedAtMs) / 1_000 * perSecond) {
                this.#pending.push(submitCheck(running, `${prefix}-${this.#pending.length + 1}`, runMs));
            }
        }, 1);
    }

    async stop(): Promise<MeasuredJob[]> {
        clearInterval(this.#timer);
        return Promise.all(this.#pending);
    }
}

/** Keeps `parallelism` jobs in progress until told to stop. */
export class ClosedLoop {
    readonly jobs: MeasuredJob[] = [];
    readonly #workers: Promise<void>[];
    #stopping = false;
    #submitted = 0;

    constructor(running: PathFleet, prefix: string, parallelism: number, runMs: number) {
        this.#workers = Array.from({ length: parallelism }, async () => {
            while (!this.#stopping) {
                this.#submitted += 1;
                this.jobs.push(await submitCheck(running, `${prefix}-${this.#submitted}`, runMs));
            }
        });
    }

    async stop(): Promise<void> {
        this.#stopping = true;
        await Promise.all(this.#workers);
    }
}

export const pause = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));
