import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { ListenAddress } from "../transport/listen-address.js";

/** Time in which a client must send its headers. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time in which a client must send a whole request. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Idle connections are kept for this long. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** What an HTTP listener serves and its limits. */
export interface HttpListenerOptions {
    address: ListenAddress;
    maxConnections: number;
    handle: (request: IncomingMessage, response: ServerResponse) => void;
    onConnectionRefused: () => void;
}

/** HTTP/1.1 listener with limits on connections and on slow clients. */
export class HttpListener {
    readonly #server: Server;
    readonly #address: ListenAddress;
    #connections = 0;

    constructor(options: HttpListenerOptions) {
        this.#address = options.address;
        this.#server = createServer({
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        }, options.handle);
        this.#server.maxConnections = options.maxConnections;
        this.#server.on("connection", socket => {
            this.#connections += 1;
            socket.once("close", () => {
                this.#connections -= 1;
            });
        });
        this.#server.on("drop", options.onConnectionRefused);
        this.#server.on("clientError", (unusedError, socket) => {
            socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
        });
    }

    get connectionCount(): number {
        return this.#connections;
    }

    /** Starts to listen; returns the port. Fails with UNAVAILABLE. */
    async listen(): Promise<number> {
        const { host, port } = this.#address;
        await new Promise<void>((resolve, reject) => {
            this.#server.once(
                "error",
                error => reject(new StepError(ErrorCode.UNAVAILABLE, "listen", `${host}:${port}`, messageOf(error))),
            );
            this.#server.listen(port, host, resolve);
        });
        return (this.#server.address() as AddressInfo).port;
    }

    /** Stops to listen and waits for open requests, at the latest until `graceMs` have passed. */
    async close(graceMs: number): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeIdleConnections();
        const timer = setTimeout(() => this.#server.closeAllConnections(), graceMs);
        await closed;
        clearTimeout(timer);
    }
}
