import { messageOf } from "@waxwingspread/common";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { Logger } from "pino";
import { LineDecoder } from "./line-decoder.js";
import type { ListenAddress } from "./listen-address.js";
import { decodeMessage, encodeMessage } from "./numbered-message.js";
import { startListening } from "./start-listening.js";

const MAX_CONNECTIONS = 100;
/** Send buffer limit for a peer that doesn't read; its connection is closed beyond it. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Construction parameters of a {@link MessageListener}. */
export interface MessageListenerOptions {
    address: ListenAddress;
    /** Handles the body of a request; the connection gets no response if it rejects. */
    handle: (body: never) => Promise<unknown>;
    logger: Logger;
}

/** Answers the requests that other processes send with {@link MessageChannels}. */
export class MessageListener {
    readonly #options: MessageListenerOptions;
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();

    constructor(options: MessageListenerOptions) {
        this.#options = options;
        this.#server = createServer({ noDelay: true }, socket => this.#serve(socket));
        this.#server.maxConnections = MAX_CONNECTIONS;
        // A connection that can't be accepted concerns its peer only. Without a listener the error would end the process.
        this.#server.on("error", error => this.#logFailure("listen", error));
    }

    /** Starts listening. Fails with UNAVAILABLE. */
    async listen(): Promise<void> {
        await startListening(this.#server, this.#options.address);
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#sockets.forEach(socket => socket.destroy());
        await closed;
    }

    #serve(socket: Socket): void {
        this.#sockets.add(socket);
        const decoder = new LineDecoder(line => void this.#respond(socket, line));
        socket.on("data", chunk => {
            if (!decoder.push(chunk)) {
                socket.destroy();
            }
        });
        socket.on("error", () => undefined);
        socket.once("close", () => this.#sockets.delete(socket));
    }

    async #respond(socket: Socket, line: string): Promise<void> {
        const request = decodeMessage(line);
        if (request === undefined) {
            this.#logFailure(socket.remoteAddress ?? "", new Error("a request can't be read"));
            socket.destroy();
            return;
        }
        const { number } = request;
        try {
            const body = await this.#options.handle(request.body as never);
            if (socket.writableLength > MAX_BUFFERED_BYTES) {
                socket.destroy();
            }
            else if (socket.writable) {
                socket.write(encodeMessage({ number, body }));
            }
        }
        catch (error) {
            this.#logFailure(socket.remoteAddress ?? "", error);
        }
    }

    #logFailure(peer: string, error: unknown): void {
        const { address: { port }, logger } = this.#options;
        logger.warn({ port, peer, reason: messageOf(error) }, "message of another process was not handled");
    }
}
