import type { ConnectRouter, Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer } from "node:http2";
import type { Http2Server, ServerHttp2Session } from "node:http2";
import type { ListenAddress } from "./listen-address.js";
import { startListening } from "./start-listening.js";

/** Maximum size of a message between processes: a blob with its envelope. */
export const MAX_MESSAGE_BYTES = 2 * 1024 * 1024;

/** Address, routes and limits of a {@link ConnectListener}. */
export interface ConnectListenerOptions {
    address: ListenAddress;
    maxConnections: number;
    routes: (router: ConnectRouter) => void;
    interceptors?: Interceptor[];
    /** Called for each connection that was closed because `maxConnections` are open. */
    onConnectionRefused: () => void;
}

/** HTTP/2 listener for calls between processes and from operators. */
export class ConnectListener {
    readonly #server: Http2Server;
    readonly #sessions = new Set<ServerHttp2Session>();
    readonly #options: ConnectListenerOptions;

    constructor(options: ConnectListenerOptions) {
        this.#options = options;
        const adapter = connectNodeAdapter({
            routes: options.routes,
            readMaxBytes: MAX_MESSAGE_BYTES,
            // Compressing a message of a few kilobytes takes longer than sending it uncompressed to another zone.
            acceptCompression: [],
            interceptors: options.interceptors ?? [],
        });
        this.#server = createServer({}, adapter);
        this.#server.on("session", session => this.#accept(session));
        // Calls on a broken connection fail with errors of their own.
        this.#server.on("sessionError", () => undefined);
        // The client of a connection that can't be accepted tries again. Without a listener the error would end the process.
        this.#server.on("error", () => undefined);
    }

    get connectionCount(): number {
        return this.#sessions.size;
    }

    /** Starts listening and returns the port. Fails with UNAVAILABLE. */
    listen(): Promise<number> {
        return startListening(this.#server, this.#options.address);
    }

    /** Stops listening and closes each connection once its calls have ended, but after `graceMs` at the latest. */
    async close(graceMs: number): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        for (const session of this.#sessions) {
            session.close();
        }
        const timer = setTimeout(() => this.#sessions.forEach(session => session.destroy()), graceMs);
        await closed;
        clearTimeout(timer);
    }

    #accept(session: ServerHttp2Session): void {
        if (this.#sessions.size >= this.#options.maxConnections) {
            this.#options.onConnectionRefused();
            session.destroy();
            return;
        }
        this.#sessions.add(session);
        session.on("error", () => undefined);
        session.on("close", () => this.#sessions.delete(session));
    }
}
