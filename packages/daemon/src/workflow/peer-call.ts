import { parseBoundedJson } from "@waxwingspread/common";
import { constants } from "node:http2";
import type { ClientHttp2Session, ClientHttp2Stream } from "node:http2";
import type { CallError, JsonCall, JsonResponse } from "./json-call.js";

/** Part of a call's timeout after which it counts as late. */
const LATE_RATIO = 0.5;

/** Construction parameters of a {@link PeerCall}. */
export interface PeerCallOptions {
    call: JsonCall;
    session: ClientHttp2Session;
    /** Called when half of the timeout has passed without a response. */
    onLate: () => void;
    /** Called after the call has failed because its timeout has passed. */
    onTimedOut: () => void;
    /** Returns whether a request that is in progress may be cancelled at the peer. */
    mayCancel: () => boolean;
    /** Returns the error with which the call fails. */
    toCallError: (error: unknown, mayHaveActed: boolean) => CallError;
}

/** One call on an HTTP/2 connection to a peer: its request, its timers and its response. */
export class PeerCall {
    readonly #options: PeerCallOptions;
    /** Resolves with the response. Rejects with a {@link CallError} if there is none within the timeout. */
    readonly response: Promise<JsonResponse>;
    readonly #lateTimer: NodeJS.Timeout;
    readonly #timer: NodeJS.Timeout;
    readonly #abort = (): void => this.fail(new Error("the call was aborted"));
    #resolve: (response: JsonResponse) => void = () => undefined;
    #reject: (error: CallError) => void = () => undefined;
    /** Stream of the request; undefined before it was sent. */
    #stream: ClientHttp2Stream | undefined;
    #isEnded = false;

    constructor(options: PeerCallOptions) {
        this.#options = options;
        this.response = new Promise((resolve, reject) => {
            this.#resolve = resolve;
            this.#reject = reject;
        });
        const { timeoutMs, signal } = options.call;
        this.#lateTimer = setTimeout(options.onLate, timeoutMs * LATE_RATIO);
        // A process that was stalled reads the answers that have arrived before it counts a call as timed out.
        this.#timer = setTimeout(() => setImmediate(() => this.#timeOut()), timeoutMs);
        signal?.addEventListener("abort", this.#abort);
    }

    /** Sends the request. A call that has ended before the connection was established is not sent. */
    send(): void {
        if (this.#isEnded) {
            return;
        }
        const { call, session } = this.#options;
        const body = Buffer.from(JSON.stringify(call.body));
        this.#stream = session.request({
            ...call.headers,
            ":method": "POST",
            ":path": call.path,
            "content-type": "application/json",
            "content-length": body.length,
        });
        this.#stream.end(body);
        call.onSent?.();
        this.#readResponse(this.#stream);
    }

    /** Ends the call with an error, unless it has ended. */
    fail(error: unknown): void {
        if (this.#isEnded) {
            return;
        }
        this.#end();
        this.#reject(this.#options.toCallError(error, this.#mayHaveArrived));
        this.#cancelRequest();
    }

    /** Whether the peer may have executed the request. */
    get #mayHaveArrived(): boolean {
        return this.#stream !== undefined && this.#stream.rstCode !== constants.NGHTTP2_REFUSED_STREAM;
    }

    /** Cancels the request at the peer if that is allowed. Otherwise its response is read and dropped. */
    #cancelRequest(): void {
        if (this.#stream?.closed === false && this.#options.mayCancel()) {
            this.#stream.close(constants.NGHTTP2_CANCEL);
        }
    }

    #timeOut(): void {
        if (!this.#isEnded) {
            this.fail(new Error(`no response within ${this.#options.call.timeoutMs} ms`));
            this.#options.onTimedOut();
        }
    }

    #end(): void {
        this.#isEnded = true;
        clearTimeout(this.#lateTimer);
        clearTimeout(this.#timer);
        this.#options.call.signal?.removeEventListener("abort", this.#abort);
    }

    #readResponse(stream: ClientHttp2Stream): void {
        const chunks: Buffer[] = [];
        let status: number | undefined;
        stream.once("response", headers => {
            status = headers[":status"];
        });
        stream.on("data", (chunk: Buffer) => chunks.push(chunk));
        stream.once("end", () => {
            if (status !== undefined && stream.rstCode === constants.NGHTTP2_NO_ERROR) {
                this.#end();
                this.#resolve({ status, body: parseBoundedJson(Buffer.concat(chunks).toString()) });
            }
        });
        stream.on("error", error => this.fail(error));
        stream.once("close", () => this.fail(new Error("the connection was closed before the response")));
    }
}
