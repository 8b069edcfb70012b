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
    #lines = 0;
    #dropped = 0;
    #nowMs = 0;

    readonly #handlers: Handlers = {
        [EventKind.JobAccepted]: ({ job, queue }) =>
            this.#job("accepted", { jobId: job.id, queue: queue.name, steps: job.steps.length }),
        [EventKind.JobCancelled]: ({ jobId }) => this.#job("cancelled", { jobId }),
        [EventKind.RunsAssigned]: ({ runs }) =>
            runs.forEach(({ task, run, serverId }) => this.#job("assigned", { ...taskFields(task), run, serverId })),
        [EventKind.RunsEnded]: ({ server, ends }) =>
            ends.forEach(({ task, run, end }) =>
                this.#job("run-ended", { ...taskFields(task), run, end, serverId: server.serverId })
            ),
        [EventKind.RunsLost]: ({ runs }) =>
            runs.forEach(({ task, run }) => this.#job("lost", { ...taskFields(task), run })),
    };

    constructor(logger: Logger) {
        this.#logger = logger;
    }

    /** Logs the committed events that concern jobs. */
    committed(events: readonly WorkflowEvent[], nowMs: number): void {
        this.#nowMs = nowMs;
        for (const event of events) {
            const handle = this.#handlers[event.kind] as ((event: WorkflowEvent) => void) | undefined;
            handle?.(event);
        }
    }

    /** Logs a change of a backend server's state. */
    server(event: ServerEvent, nowMs: number): void {
        this.#nowMs = nowMs;
        const { kind, serverId, incarnation, runs } = event;
        this.#write("backend server event", { event: kind, serverId, incarnation, runs });
    }

    #job(event: string, fields: object): void {
        this.#write("job event", { event, ...fields });
    }

    #write(message: string, fields: object): void {
        if (this.#nowMs >= this.#windowEndMs) {
            if (this.#dropped > 0) {
                this.#logger.warn({ count: this.#dropped }, "log lines dropped");
            }
            this.#windowEndMs = this.#nowMs + WINDOW_MS;
            this.#lines = 0;
            this.#dropped = 0;
        }
        if (this.#lines >= MAX_LINES_PER_SECOND) {
            this.#dropped += 1;
            return;
        }
        this.#lines += 1;
        this.#logger.info(fields, message);
    }
}

const taskFields = (task: string): { jobId: string; task: string } => ({ jobId: task.split(".", 1)[0] ?? "", task });
