import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import {
    AcknowledgeRequestSchema,
    CancelRequestSchema,
    ErrorCode,
    JobState,
    LookUpRequestSchema,
    Outcome,
    SubmitRequestSchema,
} from "@waxwingspread/protocol";
import type { CancelResponse, Job, LookUpResponse, Order, SubmitResponse } from "@waxwingspread/protocol";
import type { Result } from "ts-results-es";
import type { EntryContext } from "../context.js";
import { EntryMetric } from "../effects.js";
import type { RequestHandle } from "../effects.js";
import { errorJsonOf } from "../http/error-reply.js";
import { jobJsonOf, jobTextOf } from "../http/job-json.js";
import type { OpenRequests } from "../http/open-requests.js";
import { CallerRequestKind } from "../http/parse-caller-request.js";
import type { CallerRequest } from "../http/parse-caller-request.js";
import { isJobOf } from "./job-identity.js";
import type { JobIdentity } from "./job-identity.js";
import { jobSpecificationOf } from "./job-specification.js";
import { WaitingCallers } from "./waiting-callers.js";

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;

type RequestOf<K extends CallerRequestKind> = Extract<CallerRequest, { kind: K }>;

/** A caller's request with the customer that its credential authenticates. */
interface AuthenticatedRequest<K extends CallerRequestKind> {
    handle: RequestHandle;
    customer: string;
    request: RequestOf<K>;
}

type Handlers = { [K in CallerRequestKind]: (authenticated: AuthenticatedRequest<K>, nowMs: number) => void };

const createUnknownRequestError = (peer: string): StepError =>
    new StepError(ErrorCode.UNKNOWN_REQUEST, "look-up", peer, "no such request");

const hasAnswer = (job: Job): boolean =>
    job.state === JobState.ENDED && job.outcome === Outcome.COMPLETED && job.answer !== undefined && !job.acknowledged;

/** Handles the parsed requests of authenticated callers. */
export class CallerService {
    readonly waiting: WaitingCallers;
    readonly #handlers: Handlers = {
        [CallerRequestKind.Submit]: (authenticated, nowMs) => {
            this.#submit(authenticated, nowMs);
        },
        [CallerRequestKind.LookUp]: (authenticated, nowMs) => {
            const { handle, customer, request } = authenticated;
            this.#lookUp(handle, { customer, requestId: request.requestId }, (identity, job, atMs) => {
                this.#replyOrWait(handle, identity, job, nowMs + request.waitMs, atMs);
            }, nowMs);
        },
        [CallerRequestKind.Answer]: ({ handle, customer, request }, nowMs) => {
            this.#lookUp(handle, { customer, requestId: request.requestId }, (identity, job, atMs) => {
                this.#replyAnswer(handle, identity, job, atMs);
            }, nowMs);
        },
        [CallerRequestKind.Cancel]: (authenticated, nowMs) => {
            this.#cancel(authenticated, nowMs);
        },
        [CallerRequestKind.CancelMany]: (authenticated, nowMs) => {
            this.#cancelMany(authenticated, nowMs);
        },
        [CallerRequestKind.Acknowledge]: (authenticated, nowMs) => {
            this.#acknowledge(authenticated, nowMs);
        },
    };

    constructor(
        readonly context: EntryContext,
        readonly requests: OpenRequests,
        readonly executeOrder: (order: Order, nowMs: number) => void,
    ) {
        this.waiting = new WaitingCallers(context, (handles, identity, job, nowMs) => {
            this.#replyWithJob(handles, identity, job, nowMs);
        });
    }

    serve(handle: RequestHandle, customer: string, request: CallerRequest, nowMs: number): void {
        const handler = this.#handlers[request.kind] as (
            authenticated: AuthenticatedRequest<CallerRequestKind>,
            nowMs: number,
        ) => void;
        handler({ handle, customer, request }, nowMs);
    }

    #submit({ handle, customer, request }: AuthenticatedRequest<CallerRequestKind.Submit>, nowMs: number): void {
        const { blobs, leader, settings } = this.context;
        const identity = { customer, requestId: request.requestId };
        const deadlineMs = nowMs + settings.timing.requestTimeoutMs;
        blobs.put(request.submission.payload, deadlineMs, (stored, storedAtMs) => {
            if (stored.isErr()) {
                this.requests.replyError(handle, stored.error);
                return;
            }
            if (!this.requests.has(handle)) {
                // The caller disconnected before the job was submitted to the leader; it can resend the request.
                return;
            }
            const specification = jobSpecificationOf(identity, request.submission, stored.value, nowMs);
            leader.call({
                method: "submit",
                request: create(SubmitRequestSchema, { specification, entryId: settings.entryId }),
                deadlineMs,
                done: (result, atMs) => {
                    this.#handleSubmitResponse(handle, identity, nowMs + request.waitMs, result, atMs);
                },
            }, storedAtMs);
        }, nowMs);
    }

    #handleSubmitResponse(
        handle: RequestHandle,
        identity: JobIdentity,
        waitDeadlineMs: number,
        result: Result<SubmitResponse, StepError>,
        nowMs: number,
    ): void {
        if (result.isErr()) {
            this.requests.replyError(handle, result.error);
            return;
        }
        const { order } = result.value;
        this.context.effects.journal({ name: "submitted", ...identity, peer: this.context.leader.leaderAddress });
        if (order) {
            this.executeOrder(order, nowMs);
        }
        this.#withJob(handle, identity, result.value, job => {
            this.#replyOrWait(handle, identity, job, waitDeadlineMs, nowMs);
        });
    }

    #lookUp(
        handle: RequestHandle,
        identity: JobIdentity,
        onFound: (identity: JobIdentity, job: Job, nowMs: number) => void,
        nowMs: number,
    ): void {
        this.context.leader.call({
            method: "lookUp",
            request: create(LookUpRequestSchema, identity),
            deadlineMs: nowMs + this.context.settings.timing.requestTimeoutMs,
            done: (result, atMs) => {
                if (result.isErr()) {
                    this.requests.replyError(handle, result.error);
                    return;
                }
                this.#withJob(handle, identity, result.value, job => {
                    onFound(identity, job, atMs);
                });
            },
        }, nowMs);
    }

    /** Calls `onFound` with the job of a response, or replies with its error, or UNKNOWN_REQUEST for another job. */
    #withJob(
        handle: RequestHandle,
        identity: JobIdentity,
        response: Pick<SubmitResponse | LookUpResponse, "result">,
        onFound: (job: Job) => void,
    ): void {
        const { result } = response;
        if (result.case === "job" && isJobOf(result.value, identity)) {
            onFound(result.value);
            return;
        }
        const error = result.case === "error"
            ? StepError.fromDetail(result.value)
            : createUnknownRequestError(this.context.leader.leaderAddress);
        this.requests.replyError(handle, error);
    }

    #replyOrWait(handle: RequestHandle, identity: JobIdentity, job: Job, waitDeadlineMs: number, nowMs: number): void {
        const { settings, effects } = this.context;
        const deadlineMs = Math.min(waitDeadlineMs, nowMs + settings.timing.maximumWaitMs);
        const shouldWait = job.state !== JobState.ENDED && deadlineMs > nowMs && this.requests.has(handle);
        if (shouldWait && !this.waiting.isFull) {
            this.waiting.add(handle, identity, job, deadlineMs, nowMs);
            return;
        }
        if (shouldWait) {
            effects.count(EntryMetric.WaitsRefused);
        }
        this.#replyWithJob([handle], identity, job, nowMs);
    }

    #replyWithJob(handles: RequestHandle[], identity: JobIdentity, job: Job, nowMs: number): void {
        const openHandles = handles.filter(handle => this.requests.has(handle));
        if (openHandles.length === 0) {
            return;
        }
        const status = job.state === JobState.ENDED ? HTTP_OK : HTTP_ACCEPTED;
        this.context.effects.journal({ name: "caller-answered", ...identity, detail: jobJsonOf(job).state });
        if (!job.answer || !hasAnswer(job)) {
            openHandles.forEach(handle => {
                this.requests.replyJson(handle, status, jobTextOf(job, undefined));
            });
            return;
        }
        const deadlineMs = nowMs + this.context.settings.timing.requestTimeoutMs;
        this.context.blobs.get(job.answer, deadlineMs, result => {
            for (const handle of openHandles) {
                if (result.isErr()) {
                    this.requests.replyError(handle, this.#recordAnswerUnavailable(identity, result.error));
                }
                else {
                    this.requests.replyJson(handle, status, jobTextOf(job, result.value));
                }
            }
        }, nowMs);
    }

    #replyAnswer(handle: RequestHandle, identity: JobIdentity, job: Job, nowMs: number): void {
        const { answer } = job;
        if (!answer || !hasAnswer(job)) {
            const message = `no answer; the job is ${jobJsonOf(job).state}`;
            const { entryId } = this.context.settings;
            this.requests.replyError(handle, new StepError(ErrorCode.UNKNOWN_REQUEST, "get-answer", entryId, message));
            return;
        }
        const deadlineMs = nowMs + this.context.settings.timing.requestTimeoutMs;
        this.context.blobs.get(answer, deadlineMs, result => {
            if (result.isErr()) {
                this.requests.replyError(handle, this.#recordAnswerUnavailable(identity, result.error));
                return;
            }
            const digest = `sha-256=${Buffer.from(answer.sha256).toString("base64")}`;
            const headers = { "content-type": "application/json", digest };
            this.requests.replyBytes(handle, HTTP_OK, result.value, headers);
        }, nowMs);
    }

    #recordAnswerUnavailable(identity: JobIdentity, cause: StepError): StepError {
        const message = `the answer could not be read: ${cause.message}`;
        this.context.effects.journal({ name: "answer-unavailable", ...identity, detail: cause.message });
        return new StepError(ErrorCode.UNAVAILABLE, cause.step, cause.peer, message, { cause });
    }

    #cancel({ handle, customer, request }: AuthenticatedRequest<CallerRequestKind.Cancel>, nowMs: number): void {
        const identity = { customer, requestId: request.requestId };
        this.#callCancel(handle, customer, [request.requestId], (response, atMs) => {
            const result = response.results[0]?.result ?? { case: undefined };
            this.#withJob(handle, identity, { result }, job => {
                this.#replyWithJob([handle], identity, job, atMs);
            });
        }, nowMs);
    }

    #cancelMany(
        { handle, customer, request }: AuthenticatedRequest<CallerRequestKind.CancelMany>,
        nowMs: number,
    ): void {
        const { requestIds } = request;
        const limit = this.context.settings.limits.cancellationsPerRequest;
        if (requestIds.length > limit) {
            const message = `at most ${limit} request ids in one cancellation`;
            this.requests.replyError(handle, new StepError(ErrorCode.TOO_LARGE, "check-size", "caller", message));
            return;
        }
        this.#callCancel(handle, customer, requestIds, response => {
            const results = requestIds.map((requestId, position) => {
                const result = response.results[position]?.result;
                if (result?.case === "job" && isJobOf(result.value, { customer, requestId })) {
                    return { requestId, job: jobJsonOf(result.value) };
                }
                const error = result?.case === "error"
                    ? StepError.fromDetail(result.value)
                    : createUnknownRequestError("control");
                return { requestId, error: errorJsonOf(error) };
            });
            this.requests.replyJson(handle, HTTP_OK, JSON.stringify({ results }));
        }, nowMs);
    }

    #callCancel(
        handle: RequestHandle,
        customer: string,
        requestIds: string[],
        done: (response: CancelResponse, nowMs: number) => void,
        nowMs: number,
    ): void {
        this.context.leader.call({
            method: "cancel",
            request: create(CancelRequestSchema, { customer, requestIds }),
            deadlineMs: nowMs + this.context.settings.timing.requestTimeoutMs,
            done: (result, atMs) => {
                if (result.isErr()) {
                    this.requests.replyError(handle, result.error);
                    return;
                }
                done(result.value, atMs);
            },
        }, nowMs);
    }

    #acknowledge(
        { handle, customer, request }: AuthenticatedRequest<CallerRequestKind.Acknowledge>,
        nowMs: number,
    ): void {
        const { requestId } = request;
        this.context.leader.call({
            method: "acknowledge",
            request: create(AcknowledgeRequestSchema, { customer, requestId }),
            deadlineMs: nowMs + this.context.settings.timing.requestTimeoutMs,
            done: result => {
                if (result.isErr()) {
                    this.requests.replyError(handle, result.error);
                    return;
                }
                this.requests.replyJson(handle, HTTP_OK, JSON.stringify({ requestId, acknowledged: true }));
            },
        }, nowMs);
    }
}
