import { EventKind, queueAddressOf } from "@waxwingspread/workflow";
import type {
    CallRefusal,
    CrashingTask,
    EventOf,
    FailedAction,
    ServerEvent,
    WorkflowEvent,
} from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { LineBudget } from "../logging/line-budget.js";

/** Limit for each kind of event, so that frequent starts and ends leave room for the rare lines that explain a fault. */
const MAX_LINES_PER_SECOND_AND_KIND = 50;
/** Longest text from a request in a line. */
const MAX_LOGGED_CHARACTERS = 200;
/** Limit for each kind of failure, whose lines have a stack trace. */
const MAX_FAILURES_PER_SECOND_AND_KIND = 5;

type Handlers = { [Kind in EventKind]?: (event: EventOf<Kind>) => void };

/** Logs a leader's decisions about jobs and backend servers, one line each, up to a rate limit for each kind. */
export class EventLog {
    readonly #logger: Logger;
    readonly #budget = new LineBudget(MAX_LINES_PER_SECOND_AND_KIND);
    readonly #failureBudget = new LineBudget(MAX_FAILURES_PER_SECOND_AND_KIND);

    readonly #handlers: Handlers = {
        [EventKind.JobAccepted]: ({ job, queue }) =>
            this.#logJobEvent("accepted", () => ({
                jobId: job.id,
                queue: queue.name,
                queueAddress: queueAddressOf(queue),
                steps: job.steps.length,
            })),
        [EventKind.JobCancelled]: ({ jobId }) => this.#logJobEvent("cancelled", () => ({ jobId })),
        [EventKind.RunsAssigned]: ({ runs }) =>
            runs.forEach(assigned =>
                this.#logJobEvent("assigned", () => ({ ...runFields(assigned), serverId: assigned.serverId }))
            ),
        [EventKind.RunsEnded]: ({ server, ends }) =>
            ends.forEach(ended =>
                this.#logJobEvent("run-ended", () => ({
                    ...runFields(ended),
                    end: ended.end,
                    serverId: server.serverId,
                }))
            ),
        [EventKind.RunsLost]: ({ runs }) =>
            runs.forEach(lost =>
                this.#logJobEvent("lost", () => ({
                    ...runFields(lost),
                    reason: lost.reason,
                    crash: lost.crash?.involvement,
                    serverId: lost.crash?.serverId,
                }))
            ),
    };

    constructor(logger: Logger) {
        this.#logger = logger;
    }

    /** Logs the committed events that concern jobs. */
    recordCommitted(events: readonly WorkflowEvent[], nowMs: number): void {
        this.#reportDropped(nowMs);
        for (const event of events) {
            const handle = this.#handlers[event.kind] as ((event: WorkflowEvent) => void) | undefined;
            handle?.(event);
        }
    }

    /** Logs that a job has failed because one of its tasks crashes the servers that start it. */
    recordCrashingTask({ task, run, crashes }: CrashingTask, nowMs: number): void {
        this.#reportDropped(nowMs);
        this.#logJobEvent("given-up", () => ({
            ...runFields({ task, run }),
            reason: "the task crashes the servers that start it",
            crashes,
        }));
    }

    /** Logs a change of a backend server's state. */
    recordServerEvent(event: ServerEvent, nowMs: number): void {
        this.#reportDropped(nowMs);
        const { kind, serverId, incarnation, vmId, runs } = event;
        if (this.#budget.tryTake(kind)) {
            this.#logger.info({ event: kind, serverId, incarnation, vmId, runs }, "backend server event");
        }
    }

    /** Logs a refused call, with the organisation where its API key is known. Calls with the same reason share a budget. */
    recordCallRefused(call: CallRefusal, nowMs: number): void {
        this.#reportDropped(nowMs);
        if (this.#budget.tryTake(`call-refused-${call.refusal}`)) {
            const { path, jobId, ...fields } = call;
            this.#logger.info({ ...fields, path: shorten(path), jobId: shorten(jobId) }, "call refused");
        }
    }

    /** Logs an unexpected error that the node has contained. */
    recordFailure(error: unknown, action: FailedAction, nowMs: number): void {
        this.#failureBudget.advance(nowMs);
        if (this.#failureBudget.tryTake(action)) {
            this.#logger.error({ err: error, action }, "unexpected error contained");
        }
    }

    /** Logs an event unless its kind has used up its budget; the fields are only read for a line that is written. */
    #logJobEvent(event: string, readFields: () => object): void {
        if (this.#budget.tryTake(event)) {
            this.#logger.info({ event, ...readFields() }, "job event");
        }
    }

    #reportDropped(nowMs: number): void {
        for (const [event, count] of this.#budget.advance(nowMs)) {
            this.#logger.warn({ event, count }, "log lines dropped");
        }
    }
}

const shorten = (text: string | undefined): string | undefined => text?.slice(0, MAX_LOGGED_CHARACTERS);

const runFields = ({ task, run }: { task: string; run: number }): { jobId: string; task: string; run: number } => ({
    jobId: task.split(".", 1)[0] ?? "",
    task,
    run,
});
