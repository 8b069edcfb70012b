import { once } from "node:events";
import { connect, constants } from "node:http2";
import type { ClientHttp2Session, ClientHttp2Stream } from "node:http2";
import { connect as connectSocket } from "node:net";
import type { Socket } from "node:net";
import { HTTP2_WINDOW_BYTES } from "../http/http-listener.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { CallError, parseJson } from "./json-call.js";
import type { JsonCall, JsonResponse } from "./json-call.js";

/** Time after which a connection without a call is closed. */
const IDLE_TIMEOUT_MS = 60_000;
/** Age below which a connection isn't replaced, however long its peer takes to respond. */
const MIN_AGE_MS = 1_000;
/** Part of a call's timeout after which its peer is pinged, so that a peer that is only late is heard of in time. */
const PING_AFTER_RATIO = 0.5;

/** Code of the errors that Node's HTTP/2 library reports about what it receives. */
const HTTP2_LIBRARY_ERROR = "ERR_HTTP2_ERROR";

/** Failure of a call to a peer that doesn't serve HTTP/2 and has therefore not executed it. */
export class Http2UnsupportedError extends CallError {
    constructor(call: JsonCall) {
        super(call, "the peer doesn't serve HTTP/2", false);
    }
}

/** Construction parameters of a {@link PeerConnection}. */
export interface PeerConnectionOptions {
    host: string;
    port: number;
    onClosed: () => void;
}

/** HTTP/2 connection to a peer, which carries any number of calls at once. */
export class PeerConnection {
    readonly #session: ClientHttp2Session;
    readonly #socket: Socket;
    readonly #connected: Promise<unknown>;
    readonly #openedAtMs: number;
    #openCalls = 0;
    #isRetired = false;
    #isHttp2Confirmed = false;
    #isPinging = false;

    constructor({ host, port, onClosed }: PeerConnectionOptions, nowMs: number) {
        this.#openedAtMs = nowMs;
        this.#socket = connectSocket({ host, port });
        this.#session = connect("http://peer", {
            createConnection: () => this.#socket,
            settings: { enablePush: false, initialWindowSize: HTTP2_WINDOW_BYTES },
        });
        this.#connected = once(this.#session, "connect");
        this.#connected.catch(() => undefined);
        this.#session.once("connect", () => this.#session.setLocalWindowSize(HTTP2_WINDOW_BYTES));
        // Calls on a broken connection fail with errors of their own.
        this.#session.on("error", () => undefined);
        this.#session.once("remoteSettings", () => {
            this.#isHttp2Confirmed = true;
        });
        this.#session.once("goaway", () => this.retire());
        this.#session.once("close", () => {
            this.retire();
            onClosed();
        });
        this.#session.setTimeout(IDLE_TIMEOUT_MS, () => this.retire());
    }

    /** Whether the connection takes no more calls. */
    get isRetired(): boolean {
        return this.#isRetired || this.#session.destroyed;
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
            return await this.#send(call, this.#socket.bytesRead);
        }
        finally {
            this.#openCalls -= 1;
            if (this.#isRetired) {
                this.retire();
            }
        }
    }

    #send(call: JsonCall, bytesReadBefore: number): Promise<JsonResponse> {
        return new Promise((resolve, reject) => {
            let stream: ClientHttp2Stream | undefined;
            let isEnded = false;
            const end = (): void => {
                isEnded = true;
                clearTimeout(pingTimer);
                clearTimeout(timer);
                call.signal?.removeEventListener("abort", abort);
            };
            const fail = (error: unknown): void => {
                end();
                reject(
                    this.#isHttp2Unsupported(error)
                        ? new Http2UnsupportedError(call)
                        : new CallError(call, error, stream !== undefined && mayHaveArrived(stream)),
                );
                stream?.close(constants.NGHTTP2_CANCEL);
            };
            const endOverdue = (): void => {
                if (!isEnded) {
                    fail(new Error(`no response within ${call.timeoutMs} ms`));
                    this.#retireIfSilent(bytesReadBefore, monotonicNowMs());
                }
            };
            const abort = (): void => fail(new Error("the call was aborted"));
            const pingTimer = setTimeout(() => this.#pingIfSilent(bytesReadBefore), call.timeoutMs * PING_AFTER_RATIO);
            // A process that was stalled reads the answers that have arrived before it counts a call as timed out.
            const timer = setTimeout(() => setImmediate(endOverdue), call.timeoutMs);
            call.signal?.addEventListener("abort", abort);
            const start = (): void => {
                // A call that ended before the connection was established counts as not sent.
                if (isEnded) {
                    return;
                }
                stream = this.#openStream(call);
                call.onSent?.();
                readResponse(stream, {
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

    /** Whether the peer has responded with something other than HTTP/2. */
    #isHttp2Unsupported(error: unknown): boolean {
        return !this.#isHttp2Confirmed && error instanceof Error && "code" in error
            && error.code === HTTP2_LIBRARY_ERROR;
    }

    /** Pings the peer if nothing has arrived since a call was sent. Its answer shows that the connection works. */
    #pingIfSilent(bytesReadBefore: number): void {
        const isOpen = !this.#socket.connecting && !this.#session.destroyed;
        const canPing = isOpen && !this.#isPinging;
        if (canPing && this.#socket.bytesRead === bytesReadBefore) {
            this.#isPinging = this.#session.ping(() => {
                this.#isPinging = false;
            });
        }
    }

    /**
     * Retires a connection on which nothing has arrived since a call was sent, not even the answer to a ping: its peer
     * may have been replaced, or the packets of this connection may be lost while those of a new one arrive.
     */
    #retireIfSilent(bytesReadBefore: number, nowMs: number): void {
        if (this.#socket.bytesRead === bytesReadBefore && nowMs - this.#openedAtMs >= MIN_AGE_MS) {
            this.retire();
        }
    }
}

/** Returns whether the peer may have executed the request on this stream. */
const mayHaveArrived = (stream: ClientHttp2Stream): boolean => stream.rstCode !== constants.NGHTTP2_REFUSED_STREAM;

interface ResponseHandlers {
    onResponse: (response: JsonResponse) => void;
    onFailed: (error: unknown) => void;
}

const readResponse = (stream: ClientHttp2Stream, { onResponse, onFailed }: ResponseHandlers): void => {
    const chunks: Buffer[] = [];
    let status: number | undefined;
    let isWhole = false;
    stream.once("response", headers => {
        status = headers[":status"];
    });
    stream.on("data", (chunk: Buffer) => chunks.push(chunk));
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
