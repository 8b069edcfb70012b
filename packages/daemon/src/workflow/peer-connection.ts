import { once } from "node:events";
import { connect } from "node:http2";
import type { ClientHttp2Session } from "node:http2";
import { connect as connectSocket } from "node:net";
import type { Socket } from "node:net";
import { HTTP2_WINDOW_BYTES } from "../http/http-listener.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { CancellationBudget } from "./cancellation-budget.js";
import { CallError } from "./json-call.js";
import type { JsonCall, JsonResponse } from "./json-call.js";
import { PeerCall } from "./peer-call.js";

/** Time after which a connection without a call is closed. */
const IDLE_TIMEOUT_MS = 60_000;
/** Age below which a connection isn't replaced, however long its peer takes to respond. */
const MIN_AGE_MS = 1_000;
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
    readonly #cancellations: CancellationBudget;
    #openCalls = 0;
    #isRetired = false;
    #isHttp2Confirmed = false;
    #isPinging = false;

    constructor({ host, port, onClosed }: PeerConnectionOptions, nowMs: number) {
        this.#openedAtMs = nowMs;
        this.#cancellations = new CancellationBudget(nowMs);
        this.#socket = connectSocket({ host, port });
        this.#session = connect("http://peer", {
            createConnection: () => this.#socket,
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
        const bytesReadBefore = this.#socket.bytesRead;
        const peerCall = new PeerCall({
            call,
            session: this.#session,
            onLate: () => this.#pingIfSilent(bytesReadBefore),
            onTimedOut: () => this.#retireIfSilent(bytesReadBefore, monotonicNowMs()),
            mayCancel: () => this.#cancellations.take(monotonicNowMs()),
            toCallError: (error, mayHaveActed) =>
                this.#isHttp2Unsupported(error)
                    ? new Http2UnsupportedError(call)
                    : new CallError(call, error, mayHaveActed),
        });
        this.#openCalls += 1;
        this.#connected.then(() => peerCall.send()).catch((error: unknown) => peerCall.fail(error));
        try {
            return await peerCall.response;
        }
        finally {
            this.#openCalls -= 1;
            if (this.#isRetired) {
                this.retire();
            }
        }
    }

    /** Whether the peer has responded with something other than HTTP/2. */
    #isHttp2Unsupported(error: unknown): boolean {
        return !this.#isHttp2Confirmed && error instanceof Error && "code" in error
            && error.code === HTTP2_LIBRARY_ERROR;
    }

    /** Pings the peer if nothing has arrived since a call was sent. Its answer shows that the connection works. */
    #pingIfSilent(bytesReadBefore: number): void {
        const canPing = !this.#isPinging && !this.#socket.connecting && !this.#session.destroyed;
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
