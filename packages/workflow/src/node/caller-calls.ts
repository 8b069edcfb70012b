import type { LeaderSession } from "../leader/leader-session.js";
import type { Times } from "../leader/times.js";
import { JobState, Refusal, refused, succeeded } from "../model/calls.js";
import type { CallResult, RefusedCall, Respond } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import { isSameQueue } from "../model/queue-identity.js";
import type { QueueAddress } from "../model/queue-identity.js";
import type { JobSpecification } from "../model/specification.js";
import { EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { CallerOperation } from "./call-refusal.js";
import type { CallRefusal } from "./call-refusal.js";
import { CallerAccess } from "./caller-access.js";
import type { CallOrigin, JobOwnership } from "./caller-access.js";
import type { PendingCalls } from "./pending-calls.js";
import { ProposedJobs } from "./proposed-jobs.js";

/** Refusals that don't concern the call itself; the same call is repeated at another replica or later. */
const UNREPORTED_REFUSALS: ReadonlySet<Refusal> = new Set([Refusal.NotLeader, Refusal.NotRun, Refusal.Uncertain]);

/** What {@link CallerCalls} uses of its node. */
export interface CallerCallsOptions {
    calls: PendingCalls;
    readState: () => WorkflowState;
    readSession: () => LeaderSession | undefined;
    /** Returns the leader session; undefined unless it may answer calls now. */
    servingSession: (nowMs: number) => LeaderSession | undefined;
    /** Adds an event to the next record. */
    propose: (event: WorkflowEvent) => void;
    /** Called with each refusal while the configuration names organisations. */
    reportRefusal: (refusal: CallRefusal) => void;
}

/**
 * Calls of those who submit jobs, at the leader. What a call may do depends on its API key, and each answer rests on a
 * configuration that is certainly current (docs/design/organisations.md).
 */
export class CallerCalls {
    readonly #options: CallerCallsOptions;
    readonly #proposedJobs = new ProposedJobs();
    #access = new CallerAccess(undefined);

    constructor(options: CallerCallsOptions) {
        this.#options = options;
    }

    /**
     * Accepts a job durably. Submitting the same id again succeeds without another effect. A job that was cancelled before
     * is accepted as cancelled.
     */
    submit(origin: CallOrigin, job: JobSpecification, respondToCaller: Respond<void>, times: Times): void {
        const respond = this.#reporting(CallerOperation.Submit, origin, job.id, respondToCaller);
        const session = this.#options.servingSession(times.nowMs);
        if (session === undefined) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        if (this.#hasJob(job.id)) {
            this.#answerWithAccess(() => respond(this.#repeatResult(origin, job.id)), respond, times);
            return;
        }
        const queue = this.#callerAccess.findQueue(origin);
        if (!queue.ok) {
            this.#answerUnusableQueue(origin, queue.refusal, respond, times);
            return;
        }
        const organisation = this.#callerAccess.ownerOf(origin, queue.value);
        const proposed = this.#findJob(job.id);
        if (proposed !== undefined && proposed.specification.organisation !== organisation) {
            this.#options.calls.addBarrier(() => respond(this.#repeatResult(origin, job.id)), respond);
            return;
        }
        this.#accept(session, withOwner(job, organisation), queue.value, origin, respond, times);
    }

    /**
     * Cancels a job; succeeds without effect for a job that has already ended. For an unknown job the cancellation is kept
     * and the refusal is UnknownJob: a submission that the caller sent before may arrive later.
     */
    cancel(jobId: string, respondToCaller: Respond<void>, times: Times, origin?: CallOrigin): void {
        const respond = this.#reporting(CallerOperation.Cancel, origin, jobId, respondToCaller);
        const session = this.#options.servingSession(times.nowMs);
        if (session === undefined) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        const access = this.#callerAccess;
        const job = this.#findJob(jobId);
        if (access.checkJob(origin, job) !== undefined) {
            this.#refuseCancellation(jobId, origin, respond, times);
            return;
        }
        if (job !== undefined) {
            session.cancellations.record(jobId, times.timeOfDayMs);
            this.#options.calls.addChange(
                () => respond(this.#hasJob(jobId) ? succeeded(undefined) : unknownJobResult()),
                respond,
            );
            return;
        }
        const organisation = origin === undefined ? undefined : access.ownerAt(origin);
        session.cancellations.recordEarly(jobId, organisation, times.timeOfDayMs);
        this.#options.calls.addChange(() => {
            // A submission of the same organisation may have been recorded after the cancellation.
            const accepted = this.#options.readState().job(jobId)?.specification;
            const isOwn = accepted !== undefined && accepted.organisation === organisation;
            respond(isOwn ? succeeded(undefined) : unknownJobResult());
        }, respond);
    }

    /** Returns a job's state. */
    jobState(jobId: string, respondToCaller: Respond<JobState>, times: Times, origin?: CallOrigin): void {
        const respond = this.#reporting(CallerOperation.JobState, origin, jobId, respondToCaller);
        if (this.#options.servingSession(times.nowMs) === undefined) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        const answer = (): void => respond(this.#jobStateResult(jobId, origin));
        const answerIfKnown = (): void => {
            const isUnknown = !this.#hasJob(jobId) && this.#callerAccess.checkJob(origin, undefined) === undefined;
            if (isUnknown) {
                this.#options.calls.addBarrier(answer, respond);
            }
            else {
                answer();
            }
        };
        this.#answerWithAccess(answerIfKnown, respond, times);
    }

    /** Returns the number of a queue's jobs that have not ended and of which no task has started. */
    pendingJobs(origin: CallOrigin, respondToCaller: Respond<number>, { nowMs }: Times): void {
        const respond = this.#reporting(CallerOperation.PendingJobs, origin, undefined, respondToCaller);
        if (this.#options.servingSession(nowMs) === undefined) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#options.calls.addRead(
            () => {
                const queue = this.#callerAccess.findQueue(origin);
                respond(queue.ok ? succeeded(this.#countPending(queue.value)) : queue);
            },
            respond,
            nowMs,
        );
    }

    /** Handles events that were applied to the replicated state. */
    handleApplied(events: readonly WorkflowEvent[]): void {
        this.#proposedJobs.handleApplied(events);
    }

    /** Forgets what was proposed after the leader session has ended. */
    endSession(): void {
        this.#proposedJobs.clear();
    }

    /** Returns a callback that also reports a refusal of a call that may need an API key. */
    #reporting<Value>(
        operation: CallerOperation,
        origin: CallOrigin | undefined,
        jobId: string | undefined,
        respond: Respond<Value>,
    ): Respond<Value> {
        return result => {
            const access = this.#callerAccess;
            if (!result.ok && access.isEnabled && !UNREPORTED_REFUSALS.has(result.refusal)) {
                this.#options.reportRefusal({
                    operation,
                    refusal: result.refusal,
                    hasKey: origin?.keyDigest !== undefined,
                    organisation: access.organisationOf(origin ?? {}),
                    path: origin?.path,
                    jobId,
                    owner: jobId === undefined ? undefined : this.#findJob(jobId)?.specification.organisation,
                });
            }
            respond(result);
        };
    }

    /** What the API keys of the applied configuration allow. */
    get #callerAccess(): CallerAccess {
        const { configuration } = this.#options.readState();
        if (this.#access.configuration !== configuration) {
            this.#access = new CallerAccess(configuration);
        }
        return this.#access;
    }

    /** Proposes a submission that its queue and its key allow, unless it is refused for another reason. */
    #accept(
        session: LeaderSession,
        submitted: JobSpecification,
        queue: QueueContract,
        origin: CallOrigin,
        respond: Respond<void>,
        times: Times,
    ): void {
        const job = session.submissions.classify(submitted, times);
        const refusal = session.submissions.admit(job, queue, times);
        if (refusal !== undefined) {
            // An earlier attempt of the same submission may be in a record that is not committed yet.
            const answer = (): void => respond(this.#hasJob(job.id) ? this.#repeatResult(origin, job.id) : refusal);
            this.#options.calls.addBarrier(answer, respond);
            return;
        }
        const acceptedAtMs = times.timeOfDayMs;
        this.#proposedJobs.add(job, queue);
        this.#options.propose({ kind: EventKind.JobAccepted, job, queue, acceptedAtMs });
        this.#options.calls.addChange(() => respond(succeeded(undefined)), respond);
        if (session.cancellations.has(job.id, job.organisation)) {
            // In the same record, so that no leader knows the job without its cancellation.
            session.cancellations.record(job.id, acceptedAtMs);
        }
    }

    /** Refuses a submission to a queue that is unknown, or that its key doesn't allow, once that is certain. */
    #answerUnusableQueue(origin: CallOrigin, refusal: Refusal, respond: Respond<void>, { nowMs }: Times): void {
        const answer = (): void => {
            const queue = this.#callerAccess.findQueue(origin);
            respond(queue.ok ? refused(Refusal.NotRun) : queue);
        };
        if (refusal === Refusal.Unauthenticated) {
            this.#options.calls.addRead(answer, respond, nowMs);
        }
        else {
            this.#options.calls.addBarrier(answer, respond);
        }
    }

    /** Refuses a cancellation for its key or for the owner of the job, once that is certain. */
    #refuseCancellation(
        jobId: string,
        origin: CallOrigin | undefined,
        respond: Respond<void>,
        { nowMs }: Times,
    ): void {
        const answer = (): void =>
            respond(this.#callerAccess.checkJob(origin, this.#findJob(jobId)) ?? refused(Refusal.NotRun));
        if (this.#proposedJobs.find(jobId) === undefined) {
            this.#options.calls.addRead(answer, respond, nowMs);
        }
        else {
            // The job of the other organisation may be lost with this leader, and the cancellation would be, too.
            this.#options.calls.addBarrier(answer, respond);
        }
    }

    /** Returns the result of a submission whose id is known. */
    #repeatResult(origin: CallOrigin, jobId: string): CallResult<void> {
        const job = this.#options.readState().job(jobId);
        if (job === undefined) {
            return refused(Refusal.NotRun);
        }
        return this.#callerAccess.checkJob(origin, job) === undefined
            ? succeeded(undefined)
            : refused(Refusal.Unauthenticated);
    }

    #jobStateResult(jobId: string, origin: CallOrigin | undefined): CallResult<JobState> {
        const state = this.#visibleJobState(jobId);
        const refusal = this.#callerAccess.checkJob(origin, this.#options.readState().job(jobId));
        return refusal ?? (state === undefined ? unknownJobResult() : succeeded(state));
    }

    /**
     * Answers a call to which API keys give access: at once if none are needed, otherwise when the applied configuration is
     * certainly current.
     */
    #answerWithAccess(answer: () => void, respond: (result: RefusedCall) => void, { nowMs }: Times): void {
        if (this.#callerAccess.isEnabled) {
            this.#options.calls.addRead(answer, respond, nowMs);
        }
        else {
            answer();
        }
    }

    /** Returns a job that is known or proposed, so far as it decides on access; undefined if there is none. */
    #findJob(jobId: string): JobOwnership | undefined {
        return this.#options.readState().job(jobId) ?? this.#proposedJobs.find(jobId);
    }

    #hasJob(jobId: string): boolean {
        return this.#options.readState().job(jobId) !== undefined;
    }

    #visibleJobState(jobId: string): JobState | undefined {
        const job = this.#options.readState().job(jobId);
        const hasStarted = job !== undefined && this.#options.readSession()?.hasStarted(job) === true;
        return job?.state === JobState.Queued && hasStarted ? JobState.Running : job?.state;
    }

    #countPending(queue: QueueAddress): number {
        let count = 0;
        for (const job of this.#options.readState().jobs.values()) {
            const isPending = isSameQueue(job.queue, queue) && !job.isOver
                && this.#options.readSession()?.hasStarted(job) !== true;
            count += isPending ? 1 : 0;
        }
        return count;
    }
}

const unknownJobResult = (): ReturnType<typeof refused> => refused(Refusal.UnknownJob);

/** Returns a job as that of an organisation, or of none. */
const withOwner = ({ organisation: unusedOrganisation, ...job }: JobSpecification, organisation: string | undefined) =>
    organisation === undefined ? job : { ...job, organisation };
