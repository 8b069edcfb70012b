import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { EndReportSchema, ErrorCode } from "@waxwingspread/protocol";
import type { BlobReference, EndReport } from "@waxwingspread/protocol";
import type { EntryContext } from "../context.js";
import { EntryMetric } from "../effects.js";
import type { RequestHandle } from "../effects.js";
import type { OpenRequests } from "../http/open-requests.js";
import type { TaskResult } from "../http/parse-backend-server-request.js";
import type { ReportBatcher } from "./report-batcher.js";

const HTTP_OK = 200;
const RETRY_AFTER_MS = 200;

interface ResultInProgress {
    handles: RequestHandle[];
    bytes: number;
    deadlineMs: number;
}

/** Called when the leader has settled the end of an attempt that this entry reported. */
export type EndSettled = (end: EndReport, nowMs: number) => void;

const keyOf = (result: TaskResult): string =>
    JSON.stringify([
        result.backendServerId,
        result.incarnation,
        result.customer,
        result.requestId,
        result.attemptNumber,
    ]);

/**
 * Receives results from backend servers: stores their blobs, reports the end of the attempt to the leader, and replies
 * once the end is settled. A result that is resent meanwhile gets the same reply.
 */
export class ResultIntake {
    readonly #inProgress = new Map<string, ResultInProgress>();
    #bytes = 0;

    constructor(
        readonly context: EntryContext,
        readonly requests: OpenRequests,
        readonly batcher: ReportBatcher,
        readonly endSettled: EndSettled,
    ) {}

    get size(): number {
        return this.#inProgress.size;
    }

    receive(handle: RequestHandle, result: TaskResult, nowMs: number): void {
        const { effects } = this.context;
        const { customer, requestId, backendServerId } = result;
        effects.count(EntryMetric.ResultsReceived);
        effects.journal({ name: "result-received", customer, requestId, peer: backendServerId });
        const key = keyOf(result);
        const running = this.#inProgress.get(key);
        if (running) {
            running.handles.push(handle);
            return;
        }
        const bytes = (result.answer?.length ?? 0) + (result.checkpoint?.length ?? 0);
        const { limits, timing } = this.context.settings;
        if (this.#bytes + bytes > limits.resultBytesInProgress || this.#inProgress.size >= limits.reports) {
            this.requests.replyError(handle, this.#overloaded());
            return;
        }
        this.#bytes += bytes;
        this.#inProgress.set(key, { handles: [handle], bytes, deadlineMs: nowMs + timing.resultTimeoutMs });
        this.#store(key, result, nowMs);
    }

    #store(key: string, result: TaskResult, nowMs: number): void {
        const deadlineMs = nowMs + this.context.settings.timing.resultTimeoutMs;
        const references: { answer?: BlobReference; checkpoint?: BlobReference } = {};
        const parts = (["answer", "checkpoint"] as const).filter(part => result[part]);
        let missing = parts.length;
        if (missing === 0) {
            this.#report(key, result, references, nowMs);
        }
        for (const part of parts) {
            const bytes = result[part] ?? new Uint8Array();
            this.context.blobs.put(bytes, deadlineMs, (stored, atMs) => {
                if (stored.isErr()) {
                    this.#finish(key, stored.error);
                    return;
                }
                references[part] = stored.value;
                missing -= 1;
                if (missing === 0) {
                    this.#report(key, result, references, atMs);
                }
            }, nowMs);
        }
    }

    #report(
        key: string,
        result: TaskResult,
        references: { answer?: BlobReference; checkpoint?: BlobReference },
        nowMs: number,
    ): void {
        const running = this.#inProgress.get(key);
        if (!running) {
            return;
        }
        const { backendServerId, incarnation, customer, requestId, attemptNumber, end, detail } = result;
        const identity = { backendServerId, incarnation, customer, requestId, attemptNumber };
        const report = create(EndReportSchema, { ...identity, end, detail, ...references });
        const isAccepted = this.batcher.addEnd(report, running.deadlineMs, (settled, atMs) => {
            this.#finish(key, settled);
            if (settled) {
                this.context.effects.count(EntryMetric.ResultsSettled);
                this.context.effects.journal({ name: "end-settled", customer, requestId, peer: backendServerId });
                this.endSettled(report, atMs);
            }
        }, nowMs);
        if (!isAccepted) {
            this.#finish(key, this.#overloaded());
        }
    }

    #finish(key: string, outcome: boolean | StepError): void {
        const running = this.#inProgress.get(key);
        if (!running) {
            return;
        }
        this.#inProgress.delete(key);
        this.#bytes -= running.bytes;
        for (const handle of running.handles) {
            if (outcome instanceof StepError) {
                this.requests.replyError(handle, outcome);
            }
            else {
                this.requests.replyJson(handle, HTTP_OK, JSON.stringify({ settled: outcome }));
            }
        }
    }

    #overloaded(): StepError {
        const message = "too many results in progress";
        return new StepError(ErrorCode.OVERLOADED, "receive-result", this.context.settings.entryId, message, {
            retryAfterMs: RETRY_AFTER_MS,
        });
    }
}
