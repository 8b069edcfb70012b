import { jobKeyOf } from "@waxwingspread/common";
import { AttemptEnd, Reason, StartResult, TaskPhase } from "@waxwingspread/protocol";
import type { Announcement, BackendServer, EndReport, Job, StartReport, TaskStatus } from "@waxwingspread/protocol";
import { specificationOf } from "../decision.js";
import type { Decision } from "../decision.js";
import type { OrderTracker } from "../orders/order-tracker.js";
import { heldAttempt } from "../state/usage.js";
import { taskKeyOf } from "../work-view.js";
import type { Attempts } from "./attempts.js";

const RUNNING_PHASES: ReadonlySet<TaskPhase> = new Set([
    TaskPhase.RUNNING,
    TaskPhase.THROTTLED,
    TaskPhase.STOPPING,
]);

/** Turns the reports of entries and backend servers about attempts into decisions. */
export class AttemptReports {
    readonly #decision: Decision;
    readonly #attempts: Attempts;
    readonly #orders: OrderTracker;
    readonly #startHandlers: ReadonlyMap<StartResult, (job: Job, report: StartReport) => void>;

    constructor(decision: Decision, attempts: Attempts, orders: OrderTracker) {
        this.#decision = decision;
        this.#attempts = attempts;
        this.#orders = orders;
        this.#startHandlers = new Map([
            [StartResult.ACCEPTED, (job: Job) => this.#attempts.recordRunning(job)],
            [StartResult.REFUSED, (job: Job, report: StartReport) => this.#handleRefusal(job, report)],
        ]);
    }

    handleStartReport(report: StartReport): void {
        const job = this.#currentJob(report);
        if (job !== undefined) {
            this.#startHandlers.get(report.result)?.(job, report);
        }
    }

    /** The reported end is settled once the decision is committed, whether or not the report had an effect. */
    handleEndReport(report: EndReport): void {
        const job = this.#currentJob(report);
        const attempt = heldAttempt(job);
        if (
            job === undefined || attempt === undefined || report.end === AttemptEnd.UNSPECIFIED
            || attempt.backendServerId !== report.backendServerId || attempt.incarnation !== report.incarnation
        ) {
            return;
        }
        const { end, answer, checkpoint, detail } = report;
        this.#attempts.end(job, { end, answer, checkpoint, detail });
    }

    /** Reconciles the attempts on a server with the task list in its announcement. */
    reconcileTasks(server: BackendServer, announcement: Announcement): void {
        const tasks = new Map(announcement.tasks.map(task => [taskKeyOf(jobKeyOf(task), task.attemptNumber), task]));
        const { state } = this.#decision;
        for (const key of [...state.useOfBackendServer(server.backendServerId).jobKeys]) {
            const job = state.job(key);
            const attempt = heldAttempt(job);
            if (job === undefined || attempt === undefined) {
                continue;
            }
            const taskKey = taskKeyOf(key, attempt.number);
            const task = tasks.get(taskKey);
            tasks.delete(taskKey);
            if (task !== undefined) {
                this.#recordListedTask(job, task);
            }
            else if (announcement.clockMs > attempt.startDeadlineBackendMs) {
                this.#endMissingAttempt(job, attempt.runningSinceMs > 0);
            }
        }
        for (const task of tasks.values()) {
            if (RUNNING_PHASES.has(task.phase) && task.phase !== TaskPhase.STOPPING) {
                this.#orders.stopOrphan(server, task);
            }
        }
    }

    /** Records a listed task as running. An ended task may never have started, so only its end report decides. */
    #recordListedTask(job: Job, task: TaskStatus): void {
        if (RUNNING_PHASES.has(task.phase)) {
            this.#attempts.recordRunning(job);
            this.#orders.throttleReported(jobKeyOf(specificationOf(job)), task.phase === TaskPhase.THROTTLED);
        }
    }

    #endMissingAttempt(job: Job, hasRun: boolean): void {
        this.#attempts.end(
            job,
            hasRun
                ? { end: AttemptEnd.LOST, detail: "the backend server no longer holds the task" }
                : { end: AttemptEnd.NEVER_STARTED, detail: "the backend server did not take the start in time" },
        );
    }

    /**
     * A refusal is conclusive only for the start that it answers. If more than one was sent, an earlier one may have
     * been accepted by an incarnation that has ended since, so the next announcement decides instead.
     */
    #handleRefusal(job: Job, report: StartReport): void {
        const attempt = heldAttempt(job);
        const key = jobKeyOf(specificationOf(job));
        if (attempt === undefined || attempt.runningSinceMs > 0 || attempt.term !== this.#decision.term) {
            return;
        }
        if (this.#orders.startsSent(key, attempt.number) === 1) {
            const refusal = report.payloadMissing ? Reason.PAYLOAD_MISSING : Reason.START_REFUSED;
            this.#attempts.end(job, { end: AttemptEnd.NEVER_STARTED, detail: report.detail, refusal });
        }
    }

    #currentJob(identity: { customer: string; requestId: string; attemptNumber: number }): Job | undefined {
        const job = this.#decision.state.job(jobKeyOf(identity));
        return heldAttempt(job)?.number === identity.attemptNumber ? job : undefined;
    }
}
