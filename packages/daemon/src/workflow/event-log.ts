import { EventKind } from "@waxwingspread/workflow";
import type { EventOf, ServerEvent, WorkflowEvent } from "@waxwingspread/workflow";
import type { Logger } from "pino";

/** Rate limit of the log. Further lines are dropped, and their number is logged in the next window. */
const MAX_LINES_PER_SECOND = 200;
const WINDOW_MS = 1_000;

type Handlers = { [Kind in EventKind]?: (event: EventOf<Kind>) => void };

/** Logs a leader's decisions about jobs and backend servers, one line each, up to a rate limit. */
export class EventLog {
    readonly #logger: Logger;
    #windowEndMs = 0;
    #linesInWindow = 0;
    #droppedLines = 0;
    #nowMs = 0;

    readonly #handlers: Handlers = {
        [EventKind.JobAccepted]: ({ job, queue }) =>
            this.#logJobEvent("accepted", { jobId: job.id, queue: queue.name, steps: job.steps.length }),
        [EventKind.JobCancelled]: ({ jobId }) => this.#logJobEvent("cancelled", { jobId }),
        [EventKind.RunsAssigned]: ({ runs }) =>
            runs.forEach(({ task, run, serverId }) =>
                this.#logJobEvent("assigned", { ...taskFields(task), run, serverId })
            ),
        [EventKind.RunsEnded]: ({ server, ends }) =>
            ends.forEach(({ task, run, end }) =>
                this.#logJobEvent("run-ended", { ...taskFields(task), run, end, serverId: server.serverId })
            ),
        [EventKind.RunsLost]: ({ runs }) =>
            runs.forEach(({ task, run }) => this.#logJobEvent("lost", { ...taskFields(task), run })),
    };

    constructor(logger: Logger) {
        this.#logger = logger;
    }

    /** Logs the committed events that concern jobs. */
    recordCommitted(events: readonly WorkflowEvent[], nowMs: number): void {
        this.#nowMs = nowMs;
        for (const event of events) {
            const handle = this.#handlers[event.kind] as ((event: WorkflowEvent) => void) | undefined;
            handle?.(event);
        }
    }

    /** Logs a change of a backend server's state. */
    recordServerEvent(event: ServerEvent, nowMs: number): void {
        this.#nowMs = nowMs;
        const { kind, serverId, incarnation, runs } = event;
        this.#logWithinLimit("backend server event", { event: kind, serverId, incarnation, runs });
    }

    #logJobEvent(event: string, fields: object): void {
        this.#logWithinLimit("job event", { event, ...fields });
    }

    #logWithinLimit(message: string, fields: object): void {
        if (this.#nowMs >= this.#windowEndMs) {
            if (this.#droppedLines > 0) {
                this.#logger.warn({ count: this.#droppedLines }, "log lines dropped");
            }
            this.#windowEndMs = this.#nowMs + WINDOW_MS;
            this.#linesInWindow = 0;
            this.#droppedLines = 0;
        }
        if (this.#linesInWindow >= MAX_LINES_PER_SECOND) {
            this.#droppedLines += 1;
            return;
        }
        this.#linesInWindow += 1;
        this.#logger.info(fields, message);
    }
}

const taskFields = (task: string): { jobId: string; task: string } => ({ jobId: task.split(".", 1)[0] ?? "", task });
