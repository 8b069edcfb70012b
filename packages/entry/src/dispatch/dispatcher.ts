import { create } from "@bufbuild/protobuf";
import type { StepError } from "@waxwingspread/common";
import { ErrorCode, OrderKind, StartReportSchema, StartResult } from "@waxwingspread/protocol";
import type { BlobReference, Order } from "@waxwingspread/protocol";
import type { Result } from "ts-results-es";
import type { EntryContext } from "../context.js";
import { EntryMetric } from "../effects.js";
import type { BackendServerReply } from "../effects.js";
import type { ReportBatcher } from "../reporting/report-batcher.js";
import { startBodyOf } from "./start-body.js";
import { parseStartReply } from "./start-reply.js";

const START_PATH = "/v1/tasks";
const STOP_PATH = "/v1/tasks/stop";
const THROTTLE_PATH = "/v1/tasks/throttle";

const METRIC_BY_RESULT: Record<StartResult, EntryMetric> = {
    [StartResult.UNSPECIFIED]: EntryMetric.StartsUnknown,
    [StartResult.ACCEPTED]: EntryMetric.StartsAccepted,
    [StartResult.REFUSED]: EntryMetric.StartsRefused,
    [StartResult.UNKNOWN]: EntryMetric.StartsUnknown,
};

/** Number of attempts retained as sent; more than the leader can order within a start window. */
const SENT_ATTEMPTS_LIMIT = 2_000;

/** Time after a restart within which the leader may redeliver an order that an earlier incarnation received. */
const REDELIVERY_WINDOW_MS = 5_000;

interface StartOutcome {
    result: StartResult;
    detail: string;
    payloadMissing?: boolean;
}

const orderKeyOf = (order: Order): string =>
    JSON.stringify([order.kind, order.customer, order.requestId, order.attemptNumber, order.incarnation, order.term]);

const attemptKeyOf = ({ customer, requestId, attemptNumber }: Order): string =>
    JSON.stringify([customer, requestId, attemptNumber]);

const identityOf = ({ customer, requestId, attemptNumber }: Order) => ({ customer, requestId, attemptNumber });

/** A blob that the start of an order needs, and the end of the order's preparation time. */
interface BlobFetch {
    order: Order;
    reference: BlobReference;
    deadlineMs: number;
}

/** Executes the leader's orders at backend servers and reports the outcomes of the starts. */
export class Dispatcher {
    /** Orders in progress. The leader repeats an order until it observes the effect, so repeats are common. */
    readonly #inProgress = new Set<string>();
    readonly #sentAttempts = new Set<string>();
    readonly #handlers: Partial<Record<OrderKind, (order: Order, nowMs: number) => void>> = {
        [OrderKind.START]: (order, nowMs) => {
            this.#start(order, nowMs);
        },
        [OrderKind.STOP]: (order, nowMs) => {
            this.#sendTaskCommand(order, { checkpoint: false }, STOP_PATH, nowMs);
        },
        [OrderKind.CHECKPOINT_AND_STOP]: (order, nowMs) => {
            this.#sendTaskCommand(order, { checkpoint: true }, STOP_PATH, nowMs);
        },
        [OrderKind.THROTTLE]: (order, nowMs) => {
            this.#sendTaskCommand(order, { throttled: true }, THROTTLE_PATH, nowMs);
        },
        [OrderKind.UNTHROTTLE]: (order, nowMs) => {
            this.#sendTaskCommand(order, { throttled: false }, THROTTLE_PATH, nowMs);
        },
    };

    constructor(readonly context: EntryContext, readonly batcher: ReportBatcher, readonly createdAtMs: number) {}

    get size(): number {
        return this.#inProgress.size;
    }

    /** Executes an order, unless the same one is in progress. Ignores OUTCOME orders, which concern callers. */
    execute(order: Order, nowMs: number): void {
        const key = orderKeyOf(order);
        const handler = this.#handlers[order.kind];
        // The leader repeats an order that is dropped here because the limit on pending calls is reached.
        if (handler && !this.#inProgress.has(key) && !this.context.calls.isFull) {
            this.#inProgress.add(key);
            handler(order, nowMs);
        }
    }

    #sendTaskCommand(order: Order, fields: Record<string, boolean>, path: string, nowMs: number): void {
        const { timing } = this.context.settings;
        const body = JSON.stringify({ ...identityOf(order), ...fields });
        const call = { address: order.backendServerAddress, path, body, timeoutMs: timing.callTimeoutMs };
        this.context.effects.count(EntryMetric.StopsSent);
        this.context.calls.callBackendServer(call, () => {
            this.#inProgress.delete(orderKeyOf(order));
        }, nowMs);
    }

    #start(order: Order, nowMs: number): void {
        const payload = order.specification?.payload;
        if (!payload) {
            this.#reportStart(order, { result: StartResult.UNKNOWN, detail: "order without payload" }, nowMs);
            return;
        }
        const deadlineMs = nowMs + this.context.settings.timing.startPreparationMs;
        this.#fetchBlob({ order, reference: payload, deadlineMs }, (payloadBytes, atMs) => {
            if (!order.checkpoint) {
                this.#sendStart(order, payloadBytes, undefined, atMs);
                return;
            }
            this.#fetchBlob({ order, reference: order.checkpoint, deadlineMs }, (checkpointBytes, laterMs) => {
                this.#sendStart(order, payloadBytes, checkpointBytes, laterMs);
            }, atMs);
        }, nowMs);
    }

    /** Fetches a blob that a start needs. Reports the start if the blob doesn't come before the deadline. */
    #fetchBlob(
        { order, reference, deadlineMs }: BlobFetch,
        done: (bytes: Uint8Array, nowMs: number) => void,
        nowMs: number,
    ): void {
        this.context.blobs.get(reference, deadlineMs, (result, atMs) => {
            if (result.isOk()) {
                done(result.value, atMs);
                return;
            }
            const payloadMissing = result.error.code === ErrorCode.UNKNOWN_REQUEST;
            const isRefused = payloadMissing && this.#hasNeverSent(order, atMs);
            const outcome = { result: isRefused ? StartResult.REFUSED : StartResult.UNKNOWN, payloadMissing };
            this.#reportStart(order, { ...outcome, detail: result.error.message }, atMs);
        }, nowMs);
    }

    /**
     * Returns whether this entry has certainly not sent a start of the attempt. Another entry may have sent one; the
     * leader knows whether it gave the order to more than one entry.
     */
    #hasNeverSent(order: Order, nowMs: number): boolean {
        return nowMs >= this.createdAtMs + REDELIVERY_WINDOW_MS && !this.#sentAttempts.has(attemptKeyOf(order));
    }

    #recordSent(order: Order): void {
        this.#sentAttempts.add(attemptKeyOf(order));
        if (this.#sentAttempts.size > SENT_ATTEMPTS_LIMIT) {
            for (const oldestKey of this.#sentAttempts) {
                this.#sentAttempts.delete(oldestKey);
                break;
            }
        }
    }

    #sendStart(order: Order, payload: Uint8Array, checkpoint: Uint8Array | undefined, nowMs: number): void {
        const { configuration, effects, settings, calls } = this.context;
        if (!configuration.hasLease(nowMs)) {
            effects.count(EntryMetric.StartsWithheld);
            this.#reportStart(order, { result: StartResult.UNKNOWN, detail: "no valid configuration lease" }, nowMs);
            return;
        }
        const body = startBodyOf(order, payload, checkpoint, settings.address);
        const timeoutMs = settings.timing.startTimeoutMs;
        this.#recordSent(order);
        effects.count(EntryMetric.StartsSent);
        effects.journal({ name: "start-sent", ...identityOf(order), peer: order.backendServerId });
        const call = { address: order.backendServerAddress, path: START_PATH, body, timeoutMs };
        calls.callBackendServer(call, (result, atMs) => {
            this.#reportStart(order, this.#interpretReply(result), atMs);
        }, nowMs);
    }

    #interpretReply(result: Result<BackendServerReply, StepError>): StartOutcome {
        if (result.isErr()) {
            return { result: StartResult.UNKNOWN, detail: result.error.message };
        }
        const reply = parseStartReply(result.value);
        return reply ?? { result: StartResult.UNKNOWN, detail: `reply with status ${result.value.status}` };
    }

    #reportStart(order: Order, outcome: StartOutcome, nowMs: number): void {
        this.#inProgress.delete(orderKeyOf(order));
        const { customer, requestId, backendServerId } = order;
        const detail = `${StartResult[outcome.result]} ${outcome.detail}`.trim();
        this.context.effects.count(METRIC_BY_RESULT[outcome.result]);
        this.context.effects.journal({ name: "start-result", customer, requestId, peer: backendServerId, detail });
        this.batcher.addStart(create(StartReportSchema, { ...identityOf(order), ...outcome }), nowMs);
    }
}
