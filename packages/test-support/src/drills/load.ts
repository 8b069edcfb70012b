import type { CallerReply, StandInCaller } from "../stand-in-caller.js";

const JOB_WAIT_MS = 10_000;
const CHECK_RUN_MS = 20;
const TRIAL_RUN_MS = 150;
/** Every third job is a trial, which must not be repeated. */
const TRIAL_PERIOD = 3;

/** A job that a drill has submitted. */
export interface DrillJob {
    requestId: string;
    workClass: "check" | "trial";
    /** Part of the payload that the answer must echo. */
    echo: string;
    /** Time of the first submission, epoch milliseconds. */
    submittedAtMs: number;
    reply?: CallerReply;
}

/** Milliseconds since the epoch, on the same scale as the observations of the stand-ins. */
export const epochMs = (): number => performance.timeOrigin + performance.now();

interface CompletionWaiter {
    missing: number;
    isCounted: (job: DrillJob) => boolean;
    resolve: () => void;
    reject: (error: Error) => void;
}

/** True when the caller has received the outcome `completed`. */
export const isCompleted = (job: DrillJob): boolean =>
    job.reply?.status === 200 && (job.reply.json as { outcome?: string }).outcome === "completed";

/** Concurrent callers, each of which submits checks and trials one by one and waits for each outcome. */
export class DrillLoad {
    readonly jobs: DrillJob[] = [];
    readonly #caller: StandInCaller;
    readonly #callerLoops: Promise<void>[];
    readonly #prefix: string;
    #waiters: CompletionWaiter[] = [];
    #isStopping = false;

    constructor(caller: StandInCaller, callers: number, prefix = "job") {
        this.#caller = caller;
        this.#prefix = prefix;
        this.#callerLoops = Array.from({ length: callers }, () => this.#submitUntilStopped());
    }

    /** Resolves when `count` more jobs for which `isCounted` holds have completed; rejects after `timeoutMs`. */
    waitForCompletions(
        count: number,
        timeoutMs: number,
        isCounted: (job: DrillJob) => boolean = () => true,
    ): Promise<void> {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(
                () => reject(new Error(`${waiter.missing} of ${count} completions are missing after ${timeoutMs} ms`)),
                timeoutMs,
            );
            const waiter: CompletionWaiter = {
                missing: count,
                isCounted,
                resolve: () => {
                    clearTimeout(timer);
                    resolve();
                },
                reject,
            };
            this.#waiters.push(waiter);
        });
    }

    /** Submits no more jobs and waits for the outcomes of those submitted. */
    async stop(): Promise<void> {
        this.#isStopping = true;
        await Promise.all(this.#callerLoops);
    }

    async #submitUntilStopped(): Promise<void> {
        while (!this.#isStopping) {
            const number = this.jobs.length + 1;
            const requestId = `${this.#prefix}-${number}`;
            const workClass = number % TRIAL_PERIOD === 0 ? "trial" : "check";
            const job: DrillJob = { requestId, workClass, echo: `payload of ${requestId}`, submittedAtMs: epochMs() };
            this.jobs.push(job);
            const runMs = workClass === "trial" ? TRIAL_RUN_MS : CHECK_RUN_MS;
            job.reply = await this.#caller.submit(
                requestId,
                { workClass, payload: { runMs, echo: job.echo } },
                JOB_WAIT_MS,
            );
            this.#handleEnd(job);
        }
    }

    #handleEnd(job: DrillJob): void {
        if (!isCompleted(job)) {
            return;
        }
        for (const waiter of this.#waiters.filter(({ isCounted }) => isCounted(job))) {
            waiter.missing -= 1;
            if (waiter.missing === 0) {
                waiter.resolve();
            }
        }
        this.#waiters = this.#waiters.filter(({ missing }) => missing > 0);
    }
}
