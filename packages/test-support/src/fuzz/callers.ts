import { bearerTokenOf } from "@waxwingspread/entry";
import { createHash } from "node:crypto";
import type { EntryHost } from "./entry-host.js";
import type { Network } from "./network.js";
import { Host } from "./simulation.js";
import type { Simulation } from "./simulation.js";

/** Customer to which all callers belong. */
export const CUSTOMER = "filters";
/** Id of the customer's only credential. */
export const CREDENTIAL_ID = "key";
/** Secret of the customer's credential. */
export const SECRET = "0123456789abcdef0123456789abcdef";

const POLL_INTERVAL_MS = 50;
const LONG_POLL_WAIT_MS = 3_000;
const REQUEST_TIMEOUT_MS = 9_000;
const RETRY_DELAY_MS = 300;
const REPEATED_PUT_PROBABILITY = 0.3;
const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_CONFLICT = 409;
const ANSWER_PREFIX = ",\"answer\":";

/** A job to submit, and how its task behaves. */
export interface JobRequest {
    workClass: string;
    runMs: number;
    fail?: boolean;
    repeatable?: boolean;
    deadlineInMs?: number;
}

/** A job as described in the response of an entry. */
export interface JobView {
    requestId: string;
    state: string;
    outcome?: string;
    reason?: string;
    detail?: string;
    answerSha256?: string;
    answer?: { echo: string; ranMs: number };
    attempts: number;
}

interface Reply {
    status: number;
    text: string;
}

interface PendingRequest {
    isAbandoned: boolean;
    /** Informs the entry that the caller has disconnected. */
    gone: () => void;
}

/** A request id with the contents submitted under it and the responses received so far. */
export class CallerJob {
    /** Contents submitted under the id; the first one is sent until one is accepted. */
    readonly bodies: string[];
    readonly submittedAtMs: number;
    /** The content that was accepted; undefined while none is known to be. */
    acceptedBody: string | undefined;
    /** First response that described the job as ended. */
    ended: JobView | undefined;
    answerText = "";
    isCancelRequested = false;
    nextRequestAtMs = 0;
    pendingRequest: PendingRequest | undefined;

    constructor(readonly requestId: string, readonly request: JobRequest, bodies: string[], nowMs: number) {
        this.bodies = bodies;
        this.submittedAtMs = nowMs;
    }

    get body(): string {
        return this.acceptedBody ?? this.bodies[0] ?? "";
    }
}

const createBody = (request: JobRequest, echo: string): string => {
    const { workClass, runMs, fail, repeatable, deadlineInMs } = request;
    const payload = { runMs, fail: fail ?? false, echo };
    return JSON.stringify({ workClass, payload, repeatable, deadlineInMs, runTimeMs: Math.max(1, runMs) });
};

const parseEcho = (body: string): string => (JSON.parse(body) as { payload: { echo: string } }).payload.echo;

/** Callers that retry requests with the same request ids until they are answered, and compare all responses. */
export class Callers {
    readonly jobs: CallerJob[] = [];
    readonly violations: string[] = [];
    journal: (text: string) => void = () => undefined;
    readonly #host: Host;

    constructor(readonly simulation: Simulation, readonly network: Network, readonly entries: readonly EntryHost[]) {
        this.#host = new Host(simulation, "callers", "callers");
        this.#host.beginProcess();
        this.#host.scheduleEvery(POLL_INTERVAL_MS, () => {
            this.#sendDueRequests();
        });
    }

    get host(): Host {
        return this.#host;
    }

    get open(): CallerJob[] {
        return this.jobs.filter(job => job.ended === undefined);
    }

    /** Submits a new job; with a `contentCount` above 1, different contents race under the same request id. */
    submit(request: JobRequest, contentCount = 1): CallerJob {
        const requestId = `r${this.jobs.length + 1}`;
        const bodies = Array.from(
            { length: contentCount },
            (_unused, number) => createBody(request, `${requestId}#${number}`),
        );
        const job = new CallerJob(requestId, request, bodies, this.simulation.nowMs);
        this.jobs.push(job);
        this.journal(`submits ${requestId}: ${request.workClass} of ${request.runMs} ms`);
        bodies.slice(1).forEach(body => {
            this.putOnce(job, body);
        });
        this.#sendRequest(job);
        return job;
    }

    /** Sends the request id once with different content. */
    submitDifferent(job: CallerJob): void {
        const body = createBody(job.request, `${job.requestId}#${job.bodies.length}`);
        job.bodies.push(body);
        this.putOnce(job, body);
    }

    /** Sends a content once, without retries. */
    putOnce(job: CallerJob, body: string): void {
        this.#call("PUT", `/v1/jobs/${job.requestId}?waitMs=0`, body, reply => {
            this.#handleReply(job, body, reply);
        });
    }

    /** Queries a job once, without retries. */
    queryOnce(job: CallerJob): void {
        this.#call("GET", `/v1/jobs/${job.requestId}`, "", reply => {
            this.#handleReply(job, undefined, reply);
        });
    }

    /** Disconnects all callers that wait for a response; they retry later. */
    abandonRequests(): void {
        for (const job of this.jobs) {
            if (job.pendingRequest !== undefined) {
                job.pendingRequest.isAbandoned = true;
                job.pendingRequest.gone();
                job.pendingRequest = undefined;
                job.nextRequestAtMs = this.simulation.nowMs + RETRY_DELAY_MS;
            }
        }
    }

    /** Cancels jobs; retries until the cancellation is answered. */
    cancel(jobs: readonly CallerJob[]): void {
        jobs.forEach(job => {
            job.isCancelRequested = true;
        });
        const [first] = jobs;
        if (first === undefined) {
            return;
        }
        this.journal(`cancels ${jobs.map(({ requestId }) => requestId).join(" ")}`);
        const retry = (): void => {
            this.simulation.schedule(RETRY_DELAY_MS, () => {
                this.cancel(jobs);
            });
        };
        if (jobs.length === 1) {
            this.#call("DELETE", `/v1/jobs/${first.requestId}`, "", reply => {
                this.#handleReply(first, undefined, reply);
                if (reply === undefined || reply.status > HTTP_CONFLICT) {
                    retry();
                }
            });
            return;
        }
        const body = JSON.stringify({ requestIds: jobs.map(job => job.requestId) });
        this.#call("POST", "/v1/jobs:cancel", body, reply => {
            if (reply?.status !== HTTP_OK) {
                retry();
                return;
            }
            const { results } = JSON.parse(reply.text) as { results: { requestId: string; job?: JobView }[] };
            for (const { requestId, job: view } of results) {
                const job = jobs.find(candidate => candidate.requestId === requestId);
                if (job !== undefined && view?.state === "ended") {
                    this.#compareOutcome(job, view);
                }
            }
        });
    }

    #sendDueRequests(): void {
        for (const job of this.jobs) {
            if (
                job.ended === undefined && job.pendingRequest === undefined
                && job.nextRequestAtMs <= this.simulation.nowMs
            ) {
                this.#sendRequest(job);
            }
        }
    }

    #sendRequest(job: CallerJob): void {
        const isPut = job.acceptedBody === undefined || this.simulation.randomBoolean(REPEATED_PUT_PROBABILITY);
        const { body } = job;
        const pending: PendingRequest = { isAbandoned: false, gone: () => undefined };
        job.pendingRequest = pending;
        const path = `/v1/jobs/${job.requestId}?waitMs=${LONG_POLL_WAIT_MS}`;
        const disconnect = this.#call(isPut ? "PUT" : "GET", path, isPut ? body : "", reply => {
            if (pending.isAbandoned) {
                return;
            }
            job.pendingRequest = undefined;
            job.nextRequestAtMs = this.simulation.nowMs + RETRY_DELAY_MS;
            this.#handleReply(job, isPut ? body : undefined, reply);
        });
        pending.gone = disconnect;
    }

    #call(method: string, path: string, body: string, done: (reply: Reply | undefined) => void): () => void {
        const entry = this.simulation.random.pick(this.entries);
        let disconnect: () => void = () => undefined;
        this.network.call<Reply>({
            from: this.#host,
            to: entry.host,
            timeoutMs: REQUEST_TIMEOUT_MS,
            handle: reply => {
                const authorization = `Bearer ${bearerTokenOf(CUSTOMER, CREDENTIAL_ID, SECRET)}`;
                const request = { method, path, headers: { authorization }, body: Buffer.from(body) };
                disconnect = entry.handleCallerRequest(request, ({ status, json }) => {
                    reply({ status, text: json ?? "" });
                });
            },
            done,
            failed: () => {
                done(undefined);
            },
        });
        return () => {
            disconnect();
        };
    }

    #handleReply(job: CallerJob, body: string | undefined, reply: Reply | undefined): void {
        if (reply?.status === HTTP_CONFLICT && body !== undefined) {
            this.#handleConflict(job, body);
        }
        if (reply === undefined || reply.status !== HTTP_OK && reply.status !== HTTP_ACCEPTED) {
            return;
        }
        if (body !== undefined) {
            job.acceptedBody ??= body;
            this.#expect(job, job.acceptedBody === body, "two different contents were accepted");
        }
        const view = JSON.parse(reply.text) as JobView;
        this.#expect(job, view.requestId === job.requestId, `received the response for ${view.requestId}`);
        if (view.state === "ended") {
            this.#compareOutcome(job, view);
            this.#compareAnswer(job, view, reply.text);
        }
        else if (job.ended !== undefined) {
            // A later reply may overtake an earlier one, but an ended job never gets another attempt.
            this.#expect(job, view.attempts <= job.ended.attempts, "was started again after its end");
        }
    }

    #handleConflict(job: CallerJob, body: string): void {
        this.#expect(job, body !== job.acceptedBody, "the accepted content was refused as a conflict");
        if (body === job.body) {
            // Another content with this request id was accepted first.
            job.bodies.push(...job.bodies.splice(0, 1));
        }
    }

    #expect(job: CallerJob, condition: boolean, message: string): void {
        if (!condition) {
            this.violations.push(`${job.requestId}: ${message}`);
        }
    }

    #compareOutcome(job: CallerJob, view: JobView): void {
        if (job.ended === undefined) {
            const attempts = `${view.attempts} ${view.attempts === 1 ? "attempt" : "attempts"}`;
            this.journal(`learns that ${job.requestId} is ${view.outcome} (${view.reason}) after ${attempts}`);
        }
        job.ended ??= view;
        const { outcome, reason, answerSha256 } = job.ended;
        if (view.outcome !== outcome || view.reason !== reason || view.answerSha256 !== answerSha256) {
            this.violations.push(
                `${job.requestId}: outcome ${outcome} ${reason}, later ${view.outcome} ${view.reason}`,
            );
        }
    }

    #compareAnswer(job: CallerJob, view: JobView, text: string): void {
        if (view.outcome !== "completed") {
            return;
        }
        const start = text.indexOf(ANSWER_PREFIX);
        const answer = start < 0 ? "" : text.slice(start + ANSWER_PREFIX.length, -1);
        job.answerText ||= answer;
        const digest = createHash("sha256").update(answer).digest("hex");
        const expected = job.acceptedBody === undefined ? job.bodies.map(parseEcho) : [parseEcho(job.acceptedBody)];
        if (digest !== view.answerSha256 || job.answerText !== answer) {
            this.violations.push(`${job.requestId}: answer incomplete or different from an earlier one`);
        }
        if (!expected.includes(view.answer?.echo ?? "")) {
            this.violations.push(`${job.requestId}: answer of another request: ${view.answer?.echo}`);
        }
    }
}
