import type { Configuration } from "../model/configuration.js";
import type { WorkflowState } from "../state/workflow-state.js";

/** Interval at which the services of open jobs are read again for a service that isn't configured. */
const JOB_SERVICES_INTERVAL_MS = 1_000;

/**
 * Tells which services have backend servers of this deployment: those of the configuration, and those that were taken out of it
 * while jobs are still open whose queue sent them there.
 */
export class KnownServices {
    readonly #state: WorkflowState;
    #configuration: Configuration | undefined;
    #configured: ReadonlySet<string> = new Set();
    #ofJobs: ReadonlySet<string> = new Set();
    #readJobsAtMs = -Infinity;

    constructor(state: WorkflowState) {
        this.#state = state;
    }

    /** Whether a service may have servers here; true for any service as long as there is no configuration. */
    has(service: string, nowMs: number): boolean {
        const { configuration } = this.#state;
        if (configuration === undefined) {
            return true;
        }
        if (configuration !== this.#configuration) {
            this.#configuration = configuration;
            this.#configured = new Set(configuration.services.map(({ name }) => name));
        }
        return this.#configured.has(service) || this.#isOfOpenJob(service, nowMs);
    }

    #isOfOpenJob(service: string, nowMs: number): boolean {
        if (nowMs - this.#readJobsAtMs >= JOB_SERVICES_INTERVAL_MS) {
            this.#readJobsAtMs = nowMs;
            const open = [...this.#state.jobs.values()].filter(({ isOver }) => !isOver);
            this.#ofJobs = new Set(open.map(({ queue }) => queue.service));
        }
        return this.#ofJobs.has(service);
    }
}
