import type { ReplicaMessage } from "@waxwingspread/protocol";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { EnvelopeDecoder } from "./envelope-decoder.js";
import { encodeEnvelope } from "./envelope-encoder.js";
import { hostOf, portOf } from "./host-of.js";
import type { ListenAddress } from "./listen-address.js";
import { startListening } from "./start-listening.js";

/** Time without an acknowledgement of sent messages after which a connection is replaced. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 700;
/** Send buffer limit for a slow peer. Further messages are dropped, since replication retransmits lost messages. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
const ACKNOWLEDGEMENT = Buffer.from([1]);

/** Sends replica messages over one TCP connection per peer. */
export class ReplicaStreamSender {
    readonly #peers = new Map<string, PeerStream>();

    /** Queues a message for the peer at `host:port`. Drops it if the address is empty. */
    send(address: string, message: ReplicaMessage, nowMs: number): void {
        if (address === "") {
            return;
        }
        let peer = this.#peers.get(address);
        if (peer === undefined) {
            peer = new PeerStream(address);
            this.#peers.set(address, peer);
        }
        peer.send(message, nowMs);
    }

    /** Closes connections without an acknowledgement in time; the next message opens a new one. */
    tick(nowMs: number): void {
        this.#peers.forEach(peer => peer.closeIfUnresponsive(nowMs));
    }

    close(): void {
        this.#peers.forEach(peer => peer.close());
        this.#peers.clear();
    }
}

/**
 * Connection to one peer. Messages of the same turn of the event loop are sent together, each in its own envelope, so
 * that the peer can handle the first before the last has arrived.
 */
class PeerStream {
    readonly #address: string;
    #socket: Socket | undefined;
    #messages: ReplicaMessage[] = [];
    /** Time since which sent messages are unacknowledged; undefined if there are none. */
    #unacknowledgedSinceMs: number | undefined;

    constructor(address: string) {
        this.#address = address;
    }

    send(message: ReplicaMessage, nowMs: number): void {
        this.#messages.push(message);
        this.#unacknowledgedSinceMs ??= nowMs;
        if (this.#messages.length === 1) {
            setImmediate(() => this.#flush());
        }
    }

    /** Closes a connection without an acknowledgement in time, after those that have arrived are read. */
    closeIfUnresponsive(nowMs: number): void {
        const socket = this.#socket;
        if (!this.#isOverdue(nowMs)) {
            return;
        }
        // The event loop runs timers before it reads from sockets, so that a process that stalled looks here first.
        setImmediate(() => {
            if (this.#socket === socket && this.#isOverdue(nowMs)) {
                this.close();
            }
        });
    }

    #isOverdue(nowMs: number): boolean {
        return this.#unacknowledgedSinceMs !== undefined
            && nowMs - this.#unacknowledgedSinceMs > ACKNOWLEDGEMENT_TIMEOUT_MS;
    }

    close(): void {
        this.#socket?.destroy();
        this.#socket = undefined;
        this.#unacknowledgedSinceMs = undefined;
    }

    #flush(): void {
        const messages = this.#messages;
        this.#messages = [];
        const socket = this.#socket ?? this.#open();
        if (socket === undefined) {
            // There is nobody to answer, so that nothing waits for an acknowledgement.
            this.#unacknowledgedSinceMs = undefined;
            return;
        }
        if (socket.writableLength <= MAX_BUFFERED_BYTES) {
            socket.cork();
            messages.forEach(message => socket.write(encodeEnvelope(message)));
            socket.uncork();
        }
    }

    /** Opens the connection; returns undefined if the address is invalid, for which the connection would throw. */
    #open(): Socket | undefined {
        const port = portOf(this.#address);
        if (port === undefined) {
            return undefined;
        }
        const socket = connect({ host: hostOf(this.#address), port, noDelay: true });
        socket.on("data", () => {
            this.#unacknowledgedSinceMs = undefined;
        });
        // Replication retransmits lost messages, so only the connection has to be replaced.
        socket.on("error", () => undefined);
        socket.on("close", () => {
            if (this.#socket === socket) {
                this.close();
            }
        });
        this.#socket = socket;
        return socket;
    }
}

/** Receives the message streams of other replicas and acknowledges each chunk. */
export class ReplicaStreamListener {
    readonly #server: Server;
    readonly #address: ListenAddress;
    readonly #sockets = new Set<Socket>();

    constructor(address: ListenAddress, onMessages: (messages: readonly ReplicaMessage[]) => void) {
        this.#address = address;
        this.#server = createServer({ noDelay: true }, socket => {
            this.#sockets.add(socket);
            const decoder = new EnvelopeDecoder(onMessages);
            socket.on("data", chunk => {
                if (decoder.push(chunk)) {
                    socket.write(ACKNOWLEDGEMENT);
                }
                else {
                    socket.destroy();
                }
            });
            socket.on("error", () => undefined);
            socket.on("close", () => this.#sockets.delete(socket));
        });
        // The peer of a connection that can't be accepted tries again. Without a listener the error would end the process.
        this.#server.on("error", () => undefined);
    }

    /** Starts listening. Fails with UNAVAILABLE. */
    async listen(): Promise<void> {
        await startListening(this.#server, this.#address);
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#sockets.forEach(socket => socket.destroy());
        await closed;
    }
}
