import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer as createHttp2Server } from "node:http2";
import type { Http2ServerRequest, Http2ServerResponse } from "node:http2";
import { Server as NetServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ListenAddress } from "../transport/listen-address.js";
import { createDetectingServer } from "./protocol-detection.js";

/** Time in which a client must send its headers. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time in which a client must send a whole request. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Idle connections are kept for this long. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Requests that were under way when the listener closed have this long to arrive and to be answered. */
const LINGER_MS = 100;

/** What an HTTP listener serves and its limits. */
export interface HttpListenerOptions {
    address: ListenAddress;
    maxConnections: number;
    handle: (request: IncomingMessage, response: ServerResponse) => void;
    onConnectionRefused: () => void;
    /** Serves HTTP/2 on the same port, when given. */
    handleHttp2?: (request: Http2ServerRequest, response: Http2ServerResponse) => void;
}

/** HTTP/1.1 listener with limits on connections and on slow clients. */
export class HttpListener {
    readonly #server: Server;
    /** Accepts the connections; the HTTP server itself unless HTTP/2 is served too. */
    readonly #acceptor: NetServer;
    readonly #address: ListenAddress;
    readonly #sockets = new Set<Socket>();
    #isDraining = false;

    constructor(options: HttpListenerOptions) {
        this.#address = options.address;
        this.#server = createServer({
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        }, (request, response) => {
            if (this.#isDraining) {
                response.setHeader("connection", "close");
            }
            options.handle(request, response);
        });
        this.#acceptor = options.handleHttp2 === undefined
            ? this.#server
            : createDetectingServer(this.#server, createHttp2Server({}, options.handleHttp2));
        this.#acceptor.maxConnections = options.maxConnections;
        this.#acceptor.on("connection", socket => {
            this.#sockets.add(socket);
            socket.once("close", () => this.#sockets.delete(socket));
        });
        this.#acceptor.on("drop", options.onConnectionRefused);
        this.#server.on("clientError", (unusedError, socket) => {
            socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
        });
    }

    get connectionCount(): number {
        return this.#sockets.size;
    }

    /** Starts to listen; returns the port. Fails with UNAVAILABLE. */
    async listen(): Promise<number> {
        const { host, port } = this.#address;
        await new Promise<void>((resolve, reject) => {
            this.#acceptor.once(
                "error",
                error => reject(new StepError(ErrorCode.UNAVAILABLE, "listen", `${host}:${port}`, messageOf(error))),
            );
            this.#acceptor.listen(port, host, resolve);
        });
        return (this.#acceptor.address() as AddressInfo).port;
    }

    /** Closes each connection with its next response, so that few are left on which a request may be cut off. */
    drain(): void {
        this.#isDraining = true;
    }

    /** Stops to listen and waits for open requests, at the latest until `graceMs` have passed. */
    async close(graceMs: number): Promise<void> {
        this.drain();
        await connectionsAccepted();
        // The HTTP server's own method would at once close connections whose next request is still under way.
        const closed = new Promise<void>(resolve => NetServer.prototype.close.call(this.#acceptor, () => resolve()));
        await new Promise(resolve => setTimeout(resolve, Math.min(LINGER_MS, graceMs)));
        await connectionsAccepted();
        this.#server.closeIdleConnections();
        const timer = setTimeout(() => this.#sockets.forEach(socket => socket.destroy()), graceMs);
        await closed;
        clearTimeout(timer);
    }
}

/**
 * Resolves right after the event loop has accepted waiting connections and read from open ones. Closing at another
 * moment resets what arrived since, for example connections that the system has completed and nobody has accepted.
 */
const connectionsAccepted = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
