import type { StepError } from "@waxwingspread/common";
import type { EffectQueue } from "../calls/effect-queue.js";
import { EntryEffectKind } from "../effects.js";
import type { RequestHandle } from "../effects.js";
import { errorJsonOf, statusOf } from "./error-reply.js";

const JSON_HEADERS = { "content-type": "application/json" };
const MILLISECONDS_PER_SECOND = 1_000;

type ReplyKind = EntryEffectKind.ReplyToCaller | EntryEffectKind.ReplyToBackendServer;

/** Requests that have no reply yet. Each gets at most one reply, and none after its sender has disconnected. */
export class OpenRequests {
    readonly #open = new Set<RequestHandle>();

    constructor(readonly effects: EffectQueue, readonly kind: ReplyKind) {}

    get size(): number {
        return this.#open.size;
    }

    add(handle: RequestHandle): void {
        this.#open.add(handle);
    }

    has(handle: RequestHandle): boolean {
        return this.#open.has(handle);
    }

    /** Removes a request whose sender has closed the connection. */
    remove(handle: RequestHandle): void {
        this.#open.delete(handle);
    }

    replyJson(handle: RequestHandle, status: number, json: string, headers: Record<string, string> = {}): void {
        if (this.#open.delete(handle)) {
            const reply = { requestHandle: handle, status, headers: { ...JSON_HEADERS, ...headers }, json };
            this.effects.push({ kind: this.kind, ...reply });
        }
    }

    replyBytes(handle: RequestHandle, status: number, bytes: Uint8Array, headers: Record<string, string>): void {
        if (this.#open.delete(handle)) {
            this.effects.push({ kind: EntryEffectKind.ReplyToCaller, requestHandle: handle, status, headers, bytes });
        }
    }

    replyError(handle: RequestHandle, error: StepError): void {
        const { retryAfterMs } = error;
        const headers = retryAfterMs === undefined
            ? undefined
            : { "retry-after": String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)) };
        this.replyJson(handle, statusOf(error), JSON.stringify({ error: errorJsonOf(error) }), headers);
    }
}
