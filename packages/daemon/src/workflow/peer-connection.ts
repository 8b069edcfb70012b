import { once } from "node:events";
import { connect, constants } from "node:http2";
import type { ClientHttp2Session, ClientHttp2Stream } from "node:http2";
import { connect as connectSocket } from "node:net";
import { HTTP2_WINDOW_BYTES } from "../http/http-listener.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { CallError, parseJson } from "./json-call.js";
import type { JsonCall, JsonResponse } from "./json-call.js";

/** Time after which a connection without a call is closed. */
const IDLE_TIMEOUT_MS = 60_000;
/** Age below which a connection isn't replaced, however long its peer takes to respond. */
const MIN_AGE_MS = 1_000;

/** Construction parameters of a {@link PeerConnection}. */
export interface PeerConnectionOptions {
    host: string;
    port: number;
    onClosed: () => void;
}

/** HTTP/2 connection to a peer, which carries any number of calls at once. */
export class PeerConnection {
    readonly #session: ClientHttp2Session;
    readonly #connected: Promise<unknown>;
    readonly #openedAtMs: number;
    #lastReceivedAtMs = -Infinity;
    #openCalls = 0;
    #isRetired = false;

    constructor({ host, port, onClosed }: PeerConnectionOptions, nowMs: number) {
        this.#openedAtMs = nowMs;
        this.#session = connect("http://peer", {
            createConnection: () => connectSocket({ host, port }),
            settings: { enablePush: false, initialWindowSize: HTTP2_WINDOW_BYTES },
        });
        this.#connected = once(this.#session, "connect");
        this.#connected.catch(() => undefined);
        this.#session.once("connect", () => {
            // The event of a session that was destroyed meanwhile still comes, and setting its window would throw.
            if (!this.#session.destroyed) {
                this.#session.setLocalWindowSize(HTTP2_WINDOW_BYTES);
            }
        });
        // Calls on a broken connection fail with errors of their own.
        this.#session.on("error", () => undefined);
        this.#session.once("goaway", () => this.retire());
        this.#session.once("close", () => {
            this.retire();
            onClosed();
        });
        this.#session.setTimeout(IDLE_TIMEOUT_MS, () => this.retire());
    }

    /** Whether the connection takes no more calls. */
    get isRetired(): boolean {
        return this.#isRetired;
    }

    /** Takes no more calls and closes the connection when its open calls have ended. */
    retire(): void {
        this.#isRetired = true;
        if (this.#openCalls === 0) {
            this.#session.destroy();
        }
    }

    /** Closes the connection; its open calls fail. */
    close(): void {
        this.#isRetired = true;
        this.#session.destroy();
    }

    /** Sends a call. Fails with a {@link CallError} if there is no response within its timeout. */
    async send(call: JsonCall): Promise<JsonResponse> {
        this.#openCalls += 1;
        try {
            return await this.#send(call, monotonicNowMs());
        }
        finally {
            this.#openCalls -= 1;
            if (this.#isRetired) {
                this.retire();
            }
        }
    }

    #send(call: JsonCall, sentAtMs: number): Promise<JsonResponse> {
        return new Promise((resolve, reject) => {
            let stream: ClientHttp2Stream | undefined;
            let isEnded = false;
            const end = (): void => {
                isEnded = true;
                clearTimeout(timer);
                call.signal?.removeEventListener("abort", abort);
            };
            const fail = (error: unknown): void => {
                end();
                reject(new CallError(call, error, stream !== undefined && mayHaveArrived(stream)));
                stream?.close(constants.NGHTTP2_CANCEL);
            };
            const abort = (): void => fail(new Error("the call was aborted"));
            const timer = setTimeout(() => {
                fail(new Error(`no response within ${call.timeoutMs} ms`));
                this.#retireIfSilent(sentAtMs, monotonicNowMs());
            }, call.timeoutMs);
            call.signal?.addEventListener("abort", abort);
            const start = (): void => {
                // A call that ended before the connection was established counts as not sent.
                if (isEnded) {
                    return;
                }
                stream = this.#openStream(call);
                call.onSent?.();
                readResponse(stream, {
                    onReceived: () => this.#recordReceived(),
                    onResponse: response => {
                        end();
                        resolve(response);
                    },
                    onFailed: fail,
                });
            };
            this.#connected.then(start).catch(fail);
        });
    }

    #openStream(call: JsonCall): ClientHttp2Stream {
        const body = Buffer.from(JSON.stringify(call.body));
        const stream = this.#session.request({
            ...call.headers,
            ":method": "POST",
            ":path": call.path,
            "content-type": "application/json",
            "content-length": body.length,
        });
        stream.end(body);
        return stream;
    }

    #recordReceived(): void {
        this.#lastReceivedAtMs = monotonicNowMs();
    }

    /**
     * Retires a connection on which nothing has arrived since the call was sent: its peer may have been replaced, or the
     * packets of this connection may be lost while those of a new one arrive.
     */
    #retireIfSilent(sentAtMs: number, nowMs: number): void {
        if (this.#lastReceivedAtMs < sentAtMs && nowMs - this.#openedAtMs >= MIN_AGE_MS) {
            this.retire();
        }
    }
}

/** Returns whether the peer may have executed the request on this stream. */
const mayHaveArrived = (stream: ClientHttp2Stream): boolean => stream.rstCode !== constants.NGHTTP2_REFUSED_STREAM;

interface ResponseHandlers {
    onReceived: () => void;
    onResponse: (response: JsonResponse) => void;
    onFailed: (error: unknown) => void;
}

const readResponse = (stream: ClientHttp2Stream, { onReceived, onResponse, onFailed }: ResponseHandlers): void => {
    const chunks: Buffer[] = [];
    let status: number | undefined;
    let isWhole = false;
    stream.once("response", headers => {
        onReceived();
        status = headers[":status"];
    });
    stream.on("data", (chunk: Buffer) => {
        onReceived();
        chunks.push(chunk);
    });
    stream.once("end", () => {
        isWhole = status !== undefined && stream.rstCode === constants.NGHTTP2_NO_ERROR;
        if (status !== undefined && isWhole) {
            onResponse({ status, body: parseJson(Buffer.concat(chunks)) });
        }
    });
    stream.on("error", onFailed);
    stream.once("close", () => {
        if (!isWhole) {
            onFailed(new Error("the connection was closed before the response"));
        }
    });
};
