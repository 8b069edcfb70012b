import { messageOf } from "@waxwingspread/common";
import { createServer, ServerResponse } from "node:http";
import type { IncomingMessage, Server } from "node:http";
import { createServer as createHttp2Server } from "node:http2";
import type { Http2Server, Http2ServerRequest, Http2ServerResponse, ServerHttp2Session } from "node:http2";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import type { Logger } from "pino";
import { LineBudget } from "../logging/line-budget.js";
import type { ListenAddress } from "../transport/listen-address.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { startListening } from "../transport/start-listening.js";
import { ClientLimits } from "./client-limits.js";
import { createProtocolDetectingServer } from "./protocol-detection.js";
import { connectionOf, ServedConnection } from "./served-connection.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_ERROR = 500;
const MAX_ERROR_LINES_PER_SECOND = 5;

/** Longest header of a request, in bytes; the HTTP server refuses those that reach its limit. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Time in which a client must send its headers. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time in which a client must send a whole request. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Time after which an idle connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Time after which a silent HTTP/2 connection is closed; longer than the time after which callers close idle ones. */
const HTTP2_IDLE_TIMEOUT_MS = 90_000;

/** Time for which a closing listener still answers requests that were in transit when it stopped listening. */
const CLOSE_DELAY_MS = 100;

/** Flow control window of an HTTP/2 connection and of each request on it: a whole message fits. */
export const HTTP2_WINDOW_BYTES = 2 * 1024 * 1024;

/** Interval at which stalled clients are looked for. */
const STALL_CHECK_INTERVAL_MS = 1_000;
/** Methods whose requests have no body that a handler reads. */
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(["GET", "HEAD", "DELETE"]);
/** Status lines of responses to requests that can't be parsed, by the code of the error. */
const STATUS_LINES: Readonly<Record<string, string>> = {
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};
const BAD_REQUEST_LINE = "400 Bad Request";

/** Longest time for which a closing listener accepts connections that the kernel has already established. */
const MAX_ACCEPT_TIME_MS = 500;
/** An iteration of the event loop that took longer may have left connections that were established meanwhile. */
const SHORT_ITERATION_MS = 1;

/** Address, request handlers and limits of an HTTP listener. */
export interface HttpListenerOptions {
    address: ListenAddress;
    maxConnections: number;
    /** Handles a request. If it throws or rejects before the response is sent, the client gets status 500. */
    handle: (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;
    logger: Logger;
    /** Called for each accepted connection. */
    onConnection?: (() => void) | undefined;
    /** Called for each connection that was closed because `maxConnections` are open. */
    onConnectionRefused: () => void;
    /** Limits on what the clients of all listeners of the process hold together; of this listener alone by default. */
    clientLimits?: ClientLimits;
    /** Handles HTTP/2 requests on the same port. Without it only HTTP/1.1 is served. */
    handleHttp2?: (request: Http2ServerRequest, response: Http2ServerResponse) => void;
    /** Time after which a silent HTTP/2 connection is closed; 90 s by default. */
    http2IdleTimeoutMs?: number;
}

/** HTTP/1.1 listener, optionally with HTTP/2, that limits its connections and the time for which clients may send. */
export class HttpListener {
    readonly #server: Server;
    /** Server that accepts connections: the HTTP server, or one that detects the protocol if HTTP/2 is served too. */
    readonly #acceptingServer: NetServer;
    readonly #address: ListenAddress;
    readonly #sockets = new Set<Socket>();
    readonly #connections = new Set<ServedConnection>();
    readonly #clientLimits: ClientLimits;
    readonly #http2Sessions = new Set<ServerHttp2Session>();
    readonly #lineBudget = new LineBudget(MAX_ERROR_LINES_PER_SECOND);
    #acceptedConnections = 0;
    #isDraining = false;

    constructor(options: HttpListenerOptions) {
        this.#address = options.address;
        this.#clientLimits = options.clientLimits ?? new ClientLimits({ logger: options.logger });
        this.#server = createServer(
            {
                headersTimeout: HEADERS_TIMEOUT_MS,
                requestTimeout: REQUEST_TIMEOUT_MS,
                keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
                maxHeaderSize: MAX_HEADER_BYTES + 1,
                // Refused by the HTTP server, requests without this header would not be counted.
                requireHostHeader: false,
                ServerResponse: CountedResponse,
            },
            (request, response) =>
                connectionOf(request)?.begin(request, response, () => this.#serve(request, response, options)),
        );
        this.#server.on("connection", (socket: Socket) => this.#limit(socket));
        this.#acceptingServer = options.handleHttp2 === undefined
            ? this.#server
            : createProtocolDetectingServer(this.#server, this.#createHttp2Server(options.handleHttp2, options));
        this.#acceptingServer.maxConnections = options.maxConnections;
        this.#acceptingServer.on("connection", socket => {
            this.#acceptedConnections += 1;
            options.onConnection?.();
            this.#sockets.add(socket);
            socket.once("close", () => this.#sockets.delete(socket));
        });
        // A connection that can't be accepted concerns its client only. Without a listener the error would end the process.
        this.#acceptingServer.on("error", error => this.#logError(error, options.logger));
        this.#acceptingServer.on("drop", options.onConnectionRefused);
        this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            const statusLine = STATUS_LINES[error.code ?? ""] ?? BAD_REQUEST_LINE;
            connectionOf({ socket })?.close(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
        });
    }

    get connectionCount(): number {
        return this.#sockets.size;
    }

    /** Starts listening and returns the port. Fails with UNAVAILABLE. */
    async listen(): Promise<number> {
        const port = await startListening(this.#acceptingServer, this.#address);
        const timer = setInterval(() => this.#closeStalled(), STALL_CHECK_INTERVAL_MS);
        this.#acceptingServer.once("close", () => clearInterval(timer));
        return port;
    }

    /** Closes each connection after its next response, so that fewer are open when `close` may cut off a request. */
    drain(): void {
        this.#isDraining = true;
        this.#connections.forEach(({ responses }) => responses.forEach(closeConnectionAfter));
        this.#http2Sessions.forEach(session => session.close());
    }

    /** Stops listening and waits for requests in progress. Connections still open after `graceMs` are destroyed. */
    async close(graceMs: number): Promise<void> {
        const deadlineMs = monotonicNowMs() + graceMs;
        this.drain();
        await this.#acceptEstablishedConnections(Math.min(MAX_ACCEPT_TIME_MS, graceMs));
        // The close method of the HTTP server immediately closes connections whose next request is in transit.
        const closed = new Promise<void>(resolve =>
            NetServer.prototype.close.call(this.#acceptingServer, () => resolve())
        );
        const closeIdle = setInterval(
            () => void afterPollPhase().then(() => this.#server.closeIdleConnections()),
            Math.min(CLOSE_DELAY_MS, graceMs),
        );
        const timer = setTimeout(
            () => this.#sockets.forEach(socket => socket.destroy()),
            Math.max(0, deadlineMs - monotonicNowMs()),
        );
        await closed;
        clearInterval(closeIdle);
        clearTimeout(timer);
    }

    #serve(request: IncomingMessage, response: ServerResponse, options: HttpListenerOptions): void {
        if (request.headers.host === undefined && request.httpVersion === "1.1") {
            connectionOf(request)?.ignoreInput();
            response.writeHead(STATUS_BAD_REQUEST, { connection: "close", "content-length": 0 }).end();
            return;
        }
        if (this.#isDraining) {
            closeConnectionAfter(response);
        }
        void handleSafely(options, request, response);
        if (METHODS_WITHOUT_BODY.has(request.method ?? "") && request.readableFlowing === null) {
            request.resume();
        }
    }

    /** Puts the limits between a connection and the HTTP server, which listens to the data of its sockets. */
    #limit(socket: Socket): void {
        const [parse] = socket.listeners("data");
        if (parse === undefined) {
            throw new Error("the HTTP server does not read the data events of its connections");
        }
        const connection = new ServedConnection(socket, parse as (piece: Buffer) => void, this.#clientLimits);
        this.#clientLimits.add(connection);
        this.#connections.add(connection);
        socket.once("close", () => this.#connections.delete(connection));
    }

    #closeStalled(): void {
        this.#clientLimits.closeStalled(this.#connections, this.#acceptingServer.maxConnections, monotonicNowMs());
    }

    #logError(error: Error, logger: Logger): void {
        this.#lineBudget.advance(monotonicNowMs());
        if (this.#lineBudget.tryTake(error.message)) {
            logger.warn({ port: this.#address.port, reason: messageOf(error) }, "listener error");
        }
    }

    #createHttp2Server(
        handle: (request: Http2ServerRequest, response: Http2ServerResponse) => void,
        { http2IdleTimeoutMs = HTTP2_IDLE_TIMEOUT_MS }: HttpListenerOptions,
    ): Http2Server {
        const server = createHttp2Server({ settings: { initialWindowSize: HTTP2_WINDOW_BYTES } }, handle);
        server.on("session", session => {
            session.setLocalWindowSize(HTTP2_WINDOW_BYTES);
            // A client that has lost power, or was cut off, closes nothing.
            session.setTimeout(http2IdleTimeoutMs, () => session.destroy());
            this.#http2Sessions.add(session);
            session.once("close", () => this.#http2Sessions.delete(session));
            if (this.#isDraining) {
                session.close();
            }
        });
        return server;
    }

    /**
     * Accepts the connections that the kernel has established. The event loop accepts one of them in each iteration,
     * and closing the listening socket resets the others.
     */
    async #acceptEstablishedConnections(limitMs: number): Promise<void> {
        const deadlineMs = monotonicNowMs() + limitMs;
        await afterPollPhase();
        let isQueueEmpty = false;
        while (!isQueueEmpty && monotonicNowMs() < deadlineMs) {
            const acceptedBefore = this.#acceptedConnections;
            const startedAtMs = monotonicNowMs();
            await afterPollPhase();
            const isShort = monotonicNowMs() - startedAtMs <= SHORT_ITERATION_MS;
            isQueueEmpty = isShort && this.#acceptedConnections === acceptedBefore;
        }
    }
}

/** Response whose unsent part is counted among what its connection holds. */
class CountedResponse extends ServerResponse {
    override end(...parameters: unknown[]): this {
        super.end(...parameters as []);
        connectionOf(this.req)?.recordAnswer(this.req, this.writableLength);
        return this;
    }
}

/** Calls the handler. An error, which would otherwise end the process, is logged and answered. */
const handleSafely = async (
    { handle, logger }: HttpListenerOptions,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    try {
        await handle(request, response);
    }
    catch (error) {
        logger.error({ err: error, method: request.method, path: request.url }, "request failed");
        if (response.headersSent) {
            response.destroy();
        }
        else {
            response.writeHead(STATUS_ERROR, { connection: "close", "content-length": 0 }).end();
        }
    }
};

const closeConnectionAfter = (response: ServerResponse): void => {
    if (!response.headersSent) {
        response.setHeader("connection", "close");
    }
};

/**
 * Resolves right after the event loop has accepted a pending connection and read from open sockets. Closing at any other
 * point resets connections with unread data.
 */
const afterPollPhase = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
