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
export type EndSettledCallback = (end: EndReport, nowMs: number) => void;

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
 * whether the leader has settled it. A result that is resent meanwhile gets the same reply.
 */
export class ResultReceiver {
    readonly #inProgress = new Map<string, ResultInProgress>();
    #bytesInProgress = 0;

    constructor(
        readonly context: EntryContext,
        readonly requests: OpenRequests,
        readonly batcher: ReportBatcher,
        readonly onEndSettled: EndSettledCallback,
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
        const pending = this.#inProgress.get(key);
        if (pending) {
            pending.handles.push(handle);
            return;
        }
        const bytes = (result.answer?.length ?? 0) + (result.checkpoint?.length ?? 0);
        const { limits, timing } = this.context.settings;
        if (this.#bytesInProgress + bytes > limits.resultBytesInProgress || this.#inProgress.size >= limits.reports) {
            this.requests.replyError(handle, this.#createOverloadedError());
            return;
        }
        this.#bytesInProgress += bytes;
        this.#inProgress.set(key, { handles: [handle], bytes, deadlineMs: nowMs + timing.resultTimeoutMs });
        this.#storeBlobs(key, result, nowMs);
    }

    #storeBlobs(key: string, result: TaskResult, nowMs: number): void {
        const deadlineMs = nowMs + this.context.settings.timing.resultTimeoutMs;
        const references: { answer?: BlobReference; checkpoint?: BlobReference } = {};
        const blobNames = (["answer", "checkpoint"] as const).filter(blobName => result[blobName]);
        let pendingWrites = blobNames.length;
        if (pendingWrites === 0) {
            this.#reportEnd(key, result, references, nowMs);
        }
        for (const blobName of blobNames) {
            const bytes = result[blobName] ?? new Uint8Array();
            this.context.blobs.put(bytes, deadlineMs, (stored, atMs) => {
                if (stored.isErr()) {
                    this.#finishResult(key, stored.error);
                    return;
                }
                references[blobName] = stored.value;
                pendingWrites -= 1;
                if (pendingWrites === 0) {
                    this.#reportEnd(key, result, references, atMs);
                }
            }, nowMs);
        }
    }

    #reportEnd(
        key: string,
        result: TaskResult,
        references: { answer?: BlobReference; checkpoint?: BlobReference },
        nowMs: number,
    ): void {
        const pending = this.#inProgress.get(key);
        if (!pending) {
            return;
        }
        const { backendServerId, incarnation, customer, requestId, attemptNumber, end, detail } = result;
        const identity = { backendServerId, incarnation, customer, requestId, attemptNumber };
        const report = create(EndReportSchema, { ...identity, end, detail, ...references });
        const isAccepted = this.batcher.addEnd(report, pending.deadlineMs, (settled, atMs) => {
            this.#finishResult(key, settled);
            if (settled) {
                this.context.effects.count(EntryMetric.ResultsSettled);
                this.context.effects.journal({ name: "end-settled", customer, requestId, peer: backendServerId });
                this.onEndSettled(report, atMs);
            }
        }, nowMs);
        if (!isAccepted) {
            this.#finishResult(key, this.#createOverloadedError());
        }
    }

    #finishResult(key: string, outcome: boolean | StepError): void {
        const pending = this.#inProgress.get(key);
        if (!pending) {
            return;
        }
        this.#inProgress.delete(key);
        this.#bytesInProgress -= pending.bytes;
        for (const handle of pending.handles) {
            if (outcome instanceof StepError) {
                this.requests.replyError(handle, outcome);
            }
            else {
                this.requests.replyJson(handle, HTTP_OK, JSON.stringify({ settled: outcome }));
            }
        }
    }

    #createOverloadedError(): StepError {
        const message = "too many results in progress";
        return new StepError(ErrorCode.OVERLOADED, "receive-result", this.context.settings.entryId, message, {
            retryAfterMs: RETRY_AFTER_MS,
        });
    }
}
