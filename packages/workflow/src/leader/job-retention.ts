import { EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { EarlyCancellations } from "./early-cancellations.js";
import { Retention } from "./retention.js";

const CHECK_INTERVAL_MS = 5_000;

/** Dependencies of a {@link JobRetention}. */
export interface JobRetentionOptions {
    state: WorkflowState;
    cancellations: EarlyCancellations;
    retentionMs: number;
    propose: (event: WorkflowEvent) => void;
}

/** Has jobs forgotten that ended long ago, and cancellations of jobs whose submissions have never arrived. */
export class JobRetention {
    readonly #options: JobRetentionOptions;
    readonly #endedJobs: Retention;
    #nextCheckAtMs: number;

    constructor(options: JobRetentionOptions, nowMs: number) {
        this.#options = options;
        this.#endedJobs = new Retention(options.retentionMs);
        this.#nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
    }

    /** Proposes what is due. Returns whether a check was due at all. */
    run(nowMs: number): boolean {
        if (nowMs < this.#nextCheckAtMs) {
            return false;
        }
        this.#nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
        const { state, cancellations, propose } = this.#options;
        const endedJobs = [...state.jobs.values()].filter(job => job.isOver);
        const jobIds = this.#endedJobs.takeExpired(endedJobs.map(({ id }) => id), nowMs);
        const cancelledJobIds = cancellations.takeExpired(nowMs);
        if (jobIds.length + cancelledJobIds.length > 0) {
            propose({ kind: EventKind.JobsForgotten, jobIds, cancelledJobIds });
        }
        return true;
    }
}
