import type { SimulatedServer } from "../model/simulated-server.js";
import type { Oracle, SubmittedJob } from "./oracle.js";

/**
 * Checks that no accepted job is left without a run for longer than a bound, whatever other work there is. Jobs whose tasks
 * reserve processors are checked once they have begun: until then those that have begun precede them.
 */
export class JobProgressCheck {
    readonly violations: string[] = [];
    readonly #jobs: ReadonlyMap<string, SubmittedJob>;
    readonly #servers: readonly SimulatedServer[];
    readonly #oracle: Oracle;
    readonly #maxIdleMs: number;
    readonly #begunJobs = new Set<string>();
    readonly #idleSinceMs = new Map<string, number>();

    constructor(
        jobs: ReadonlyMap<string, SubmittedJob>,
        servers: readonly SimulatedServer[],
        oracle: Oracle,
        maxIdleMs: number,
    ) {
        this.#jobs = jobs;
        this.#servers = servers;
        this.#oracle = oracle;
        this.#maxIdleMs = maxIdleMs;
    }

    /** Observes the servers; to be called at short intervals. */
    observe(nowMs: number): void {
        const jobsAtWork = new Set(
            this.#servers.flatMap(server => [...server.runs.values()].map(({ position }) => position.jobId)),
        );
        jobsAtWork.forEach(id => this.#begunJobs.add(id));
        for (const [id, job] of this.#jobs) {
            const isDue = this.#oracle.dueTasks(job.specification).next().done === false;
            const mayBegin = this.#begunJobs.has(id) || job.specification.steps.every(({ isFiller }) => isFiller);
            if (!job.isAccepted || jobsAtWork.has(id) || !isDue || !mayBegin) {
                this.#idleSinceMs.delete(id);
                continue;
            }
            const sinceMs = this.#idleSinceMs.get(id) ?? nowMs;
            this.#idleSinceMs.set(id, sinceMs);
            if (nowMs - sinceMs > this.#maxIdleMs) {
                this.violations.push(`violated: ${id} has nothing at work for ${nowMs - sinceMs} ms, at ${nowMs} ms`);
                this.#idleSinceMs.set(id, Infinity);
            }
        }
    }
}
