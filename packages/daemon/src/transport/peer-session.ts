import { Http2SessionManager } from "@connectrpc/connect-node";
import type { ClientHttp2Session } from "node:http2";

/** Idle time after which an HTTP/2 ping is sent on a connection with open calls. */
const PING_INTERVAL_MS = 1_000;
/** Time without an answer to a ping after which the connection is closed. */
const PING_TIMEOUT_MS = 1_000;

/**
 * HTTP/2 connection to one peer, which is reopened after it has closed.
 *
 * Http2SessionManager removes its error listener when a call arrives while a connection that the peer has ended is
 * still closing. An error of that connection would then be uncaught and end the process, so each connection gets an
 * additional listener that is never removed.
 */
export class PeerSession {
    readonly #manager: Http2SessionManager;
    readonly #sessionsWithErrorListener = new WeakSet<ClientHttp2Session>();

    constructor(baseUrl: string) {
        this.#manager = new Http2SessionManager(baseUrl, {
            pingIntervalMs: PING_INTERVAL_MS,
            pingTimeoutMs: PING_TIMEOUT_MS,
        });
    }

    get authority(): string {
        return this.#manager.authority;
    }

    /** Opens a stream. Rejects if the peer cannot be reached. */
    async request(
        ...parameters: Parameters<Http2SessionManager["request"]>
    ): ReturnType<Http2SessionManager["request"]> {
        const stream = await this.#manager.request(...parameters);
        if (stream.session !== undefined) {
            this.#addErrorListener(stream.session as ClientHttp2Session);
        }
        return stream;
    }

    notifyResponseByteRead(stream: Parameters<Http2SessionManager["notifyResponseByteRead"]>[0]): void {
        this.#manager.notifyResponseByteRead(stream);
    }

    /** Closes the connection and its open streams immediately. */
    abort(): void {
        this.#manager.abort();
    }

    #addErrorListener(session: ClientHttp2Session): void {
        if (!this.#sessionsWithErrorListener.has(session)) {
            this.#sessionsWithErrorListener.add(session);
            // Http2SessionManager reports the error to the affected calls.
            session.on("error", () => undefined);
        }
    }
}
