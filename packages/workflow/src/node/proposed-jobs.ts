import type { QueueContract } from "../model/configuration.js";
import type { JobSpecification } from "../model/specification.js";
import { EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import type { JobOwnership } from "./caller-access.js";

/** Jobs whose acceptance this leader has proposed and that are not applied to the replicated state yet. */
export class ProposedJobs {
    readonly #jobs = new Map<string, JobOwnership>();

    /** Returns what decides on access to a job; undefined if it is not proposed. */
    find(jobId: string): JobOwnership | undefined {
        return this.#jobs.get(jobId);
    }

    add(specification: JobSpecification, queue: QueueContract): void {
        this.#jobs.set(specification.id, { specification, queue });
    }

    /** Handles events that were applied to the replicated state. */
    handleApplied(events: readonly WorkflowEvent[]): void {
        for (const event of events) {
            if (event.kind === EventKind.JobAccepted) {
                this.#jobs.delete(event.job.id);
            }
        }
    }

    /** Forgets all jobs after the leader session has ended. */
    clear(): void {
        this.#jobs.clear();
    }
}
