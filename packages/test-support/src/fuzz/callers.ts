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

const PUMP_INTERVAL_MS = 50;
const WAIT_MS = 3_000;
const ASK_TIMEOUT_MS = 9_000;
const RETRY_MS = 300;
const REPEATED_PUT_RATIO = 0.3;
const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_CONFLICT = 409;
const ANSWER_MEMBER = ",\"answer\":";

/** A job to submit, and how its task behaves. */
export interface JobWish {
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

interface Ask {
    abandoned: boolean;
    gone: () => void;
}

/** A request id with the contents submitted under it and the responses received so far. */
export class CallerJob {
    /** Contents submitted under the id; the first one is sent until one is accepted. */
    readonly bodies: string[];
    readonly submittedAtMs: number;
    /** The content that was accepted; undefined while none is known to be. */
    winner: string | undefined;
    /** First response that described the job as ended. */
    ended: JobView | undefined;
    answerText = "";
    cancelAsked = false;
    nextAskMs = 0;
    ask: Ask | undefined;

    constructor(readonly requestId: string, readonly wish: JobWish, bodies: string[], nowMs: number) {
        this.bodies = bodies;
        this.submittedAtMs = nowMs;
    }

    get body(): string {
        return this.winner ?? this.bodies[0] ?? "";
    }
}

const bodyOf = (wish: JobWish, echo: string): string => {
    const { workClass, runMs, fail, repeatable, deadlineInMs } = wish;
    const payload = { runMs, fail: fail ?? false, echo };
    return JSON.stringify({ workClass, payload, repeatable, deadlineInMs, runTimeMs: Math.max(1, runMs) });
};

const echoOf = (body: string): string => (JSON.parse(body) as { payload: { echo: string } }).payload.echo;

/** Callers that retry requests with the same request ids until they are answered, and compare all responses. */
export class Callers {
    readonly jobs: CallerJob[] = [];
    readonly faults: string[] = [];
    journal: (text: string) => void = () => undefined;
    readonly #host: Host;

    constructor(readonly simulation: Simulation, readonly network: Network, readonly entries: readonly EntryHost[]) {
        this.#host = new Host(simulation, "callers", "callers");
        this.#host.started();
        this.#host.scheduleEvery(PUMP_INTERVAL_MS, () => {
            this.#pump();
        });
    }

    get host(): Host {
        return this.#host;
    }

    get open(): CallerJob[] {
        return this.jobs.filter(job => job.ended === undefined);
    }

    /** Submits a new job; with `contents` above 1, several different contents race under the same request id. */
    submit(wish: JobWish, contents = 1): CallerJob {
        const requestId = `r${this.jobs.length + 1}`;
        const bodies = Array.from({ length: contents }, (_unused, number) => bodyOf(wish, `${requestId}#${number}`));
        const job = new CallerJob(requestId, wish, bodies, this.simulation.nowMs);
        this.jobs.push(job);
        this.journal(`submits ${requestId}: ${wish.workClass} of ${wish.runMs} ms`);
        bodies.slice(1).forEach(body => {
            this.putOnce(job, body);
        });
        this.#ask(job);
        return job;
    }

    /** Sends the request id once with different content. */
    submitOther(job: CallerJob): void {
        const body = bodyOf(job.wish, `${job.requestId}#${job.bodies.length}`);
        job.bodies.push(body);
        this.putOnce(job, body);
    }

    /** Sends a content once, without retries. */
    putOnce(job: CallerJob, body: string): void {
        this.#call("PUT", `/v1/jobs/${job.requestId}?waitMs=0`, body, reply => {
            this.#told(job, body, reply);
        });
    }

    /** Queries a job once, without retries. */
    askAgain(job: CallerJob): void {
        this.#call("GET", `/v1/jobs/${job.requestId}`, "", reply => {
            this.#told(job, undefined, reply);
        });
    }

    /** Disconnects all callers that wait for a response; they retry later. */
    loseAnswers(): void {
        for (const job of this.jobs) {
            if (job.ask !== undefined) {
                job.ask.abandoned = true;
                job.ask.gone();
                job.ask = undefined;
                job.nextAskMs = this.simulation.nowMs + RETRY_MS;
            }
        }
    }

    /** Cancels jobs; retries until the cancellation is answered. */
    cancel(jobs: readonly CallerJob[]): void {
        jobs.forEach(job => {
            job.cancelAsked = true;
        });
        const [first] = jobs;
        if (first === undefined) {
            return;
        }
        this.journal(`cancels ${jobs.map(({ requestId }) => requestId).join(" ")}`);
        const again = (): void => {
            this.simulation.schedule(RETRY_MS, () => {
                this.cancel(jobs);
            });
        };
        if (jobs.length === 1) {
            this.#call("DELETE", `/v1/jobs/${first.requestId}`, "", reply => {
                this.#told(first, undefined, reply);
                if (reply === undefined || reply.status > HTTP_CONFLICT) {
                    again();
                }
            });
            return;
        }
        const body = JSON.stringify({ requestIds: jobs.map(job => job.requestId) });
        this.#call("POST", "/v1/jobs:cancel", body, reply => {
            if (reply?.status !== HTTP_OK) {
                again();
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

    #pump(): void {
        for (const job of this.jobs) {
            if (job.ended === undefined && job.ask === undefined && job.nextAskMs <= this.simulation.nowMs) {
                this.#ask(job);
            }
        }
    }

    #ask(job: CallerJob): void {
        const repeat = job.winner === undefined || this.simulation.randomBoolean(REPEATED_PUT_RATIO);
        const { body } = job;
        const ask: Ask = { abandoned: false, gone: () => undefined };
        job.ask = ask;
        const path = `/v1/jobs/${job.requestId}?waitMs=${WAIT_MS}`;
        const gone = this.#call(repeat ? "PUT" : "GET", path, repeat ? body : "", reply => {
            if (ask.abandoned) {
                return;
            }
            job.ask = undefined;
            job.nextAskMs = this.simulation.nowMs + RETRY_MS;
            this.#told(job, repeat ? body : undefined, reply);
        });
        ask.gone = gone;
    }

    #call(method: string, path: string, body: string, done: (reply: Reply | undefined) => void): () => void {
        const entry = this.simulation.random.pick(this.entries);
        let gone: () => void = () => undefined;
        this.network.call<Reply>({
            from: this.#host,
            to: entry.host,
            timeoutMs: ASK_TIMEOUT_MS,
            handle: reply => {
                const authorization = `Bearer ${bearerTokenOf(CUSTOMER, CREDENTIAL_ID, SECRET)}`;
                const request = { method, path, headers: { authorization }, body: Buffer.from(body) };
                gone = entry.callerRequest(request, ({ status, json }) => {
                    reply({ status, text: json ?? "" });
                });
            },
            done,
            failed: () => {
                done(undefined);
            },
        });
        return () => {
            gone();
        };
    }

    #told(job: CallerJob, body: string | undefined, reply: Reply | undefined): void {
        if (reply?.status === HTTP_CONFLICT && body !== undefined) {
            this.#toldConflict(job, body);
        }
        if (reply === undefined || reply.status !== HTTP_OK && reply.status !== HTTP_ACCEPTED) {
            return;
        }
        if (body !== undefined) {
            job.winner ??= body;
            this.#expect(job, job.winner === body, "two different contents were accepted");
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

    #toldConflict(job: CallerJob, body: string): void {
        this.#expect(job, body !== job.winner, "the accepted content was refused as a conflict");
        if (body === job.body) {
            // Another content with this request id was accepted first.
            job.bodies.push(...job.bodies.splice(0, 1));
        }
    }

    #expect(job: CallerJob, holds: boolean, otherwise: string): void {
        if (!holds) {
            this.faults.push(`${job.requestId}: ${otherwise}`);
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
            this.faults.push(`${job.requestId}: outcome ${outcome} ${reason}, later ${view.outcome} ${view.reason}`);
        }
    }

    #compareAnswer(job: CallerJob, view: JobView, text: string): void {
        if (view.outcome !== "completed") {
            return;
        }
        const start = text.indexOf(ANSWER_MEMBER);
        const answer = start < 0 ? "" : text.slice(start + ANSWER_MEMBER.length, -1);
        job.answerText ||= answer;
        const digest = createHash("sha256").update(answer).digest("hex");
        const expected = job.winner === undefined ? job.bodies.map(echoOf) : [echoOf(job.winner)];
        if (digest !== view.answerSha256 || job.answerText !== answer) {
            this.faults.push(`${job.requestId}: answer incomplete or different from an earlier one`);
        }
        if (!expected.includes(view.answer?.echo ?? "")) {
            this.faults.push(`${job.requestId}: answer of another request: ${view.answer?.echo}`);
        }
    }
}
