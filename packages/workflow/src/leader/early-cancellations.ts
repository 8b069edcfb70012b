import { EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { Retention } from "./retention.js";

/** Dependencies of {@link EarlyCancellations}. */
export interface EarlyCancellationsOptions {
    state: WorkflowState;
    /** Time for which a cancellation is kept if no submission arrives. */
    retentionMs: number;
    propose: (event: WorkflowEvent) => void;
}

/**
 * Cancellations that arrive before the submission of their job, as one leader knows them: those in the replicated state
 * and those that it has recorded since.
 */
export class EarlyCancellations {
    readonly #state: WorkflowState;
    readonly #propose: (event: WorkflowEvent) => void;
    readonly #retention: Retention;
    /** Jobs with a cancellation that is recorded but not applied yet. */
    readonly #recordedIds = new Set<string>();

    constructor({ state, retentionMs, propose }: EarlyCancellationsOptions) {
        this.#state = state;
        this.#propose = propose;
        this.#retention = new Retention(retentionMs);
    }

    /** Whether a job that isn't known was cancelled by its organisation, so that a submission must not start it. */
    has(jobId: string, organisation: string | undefined): boolean {
        const id = earlyCancellationIdOf(jobId, organisation);
        return this.#state.cancelledJobIds.has(id) || this.#recordedIds.has(id);
    }

    /** Proposes the cancellation of a job that isn't known, by the given organisation. */
    recordEarly(jobId: string, organisation: string | undefined, timeOfDayMs: number): void {
        this.record(earlyCancellationIdOf(jobId, organisation), timeOfDayMs);
    }

    /** Proposes the cancellation of a job that is known or proposed. */
    record(jobId: string, timeOfDayMs: number): void {
        this.#recordedIds.add(jobId);
        this.#propose({ kind: EventKind.JobCancelled, jobId, atMs: timeOfDayMs });
    }

    /** Handles a cancellation whose event was applied to the replicated state. */
    handleApplied(jobId: string, nowMs: number): void {
        this.#recordedIds.delete(jobId);
        this.#retention.restart(jobId, nowMs);
    }

    /** Returns the jobs whose cancellations were kept for long enough. */
    takeExpired(nowMs: number): string[] {
        return this.#retention.takeExpired(this.#state.cancelledJobIds, nowMs)
            .filter(id => !this.#recordedIds.has(id));
    }
}

/**
 * Returns the id under which the cancellation of an unknown job is kept. With an organisation it isn't the id of a job, so
 * that it never cancels that of another one, also on replicas of former versions.
 */
const earlyCancellationIdOf = (jobId: string, organisation: string | undefined): string =>
    organisation === undefined ? jobId : JSON.stringify([organisation, jobId]);
