import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import type { Holding } from "./byte-budget.js";
import type { ClientLimits } from "./client-limits.js";
import type { WaitingInput } from "./input-scheduler.js";

/** Input that is parsed at a time, since the parser hands over all requests and chunks in what it is given. */
const PIECE_BYTES = 1_024;
/** Largest part of a body of known length that is parsed at a time. */
const MAX_BODY_PIECE_BYTES = 64 * 1024;
/** Memory for the objects of one request without its header. */
const REQUEST_BYTES = 4 * 1024;
/** Memory for the strings of a header, for each of its bytes. */
const HEADER_FACTOR = 8;
/** Time for which a refused client may read the refusal before its connection is closed. */
const LINGER_MS = 1_000;

/** Body that is being received. */
export interface BodyInProgress {
    /** Bytes that are yet to arrive; 0 if unknown. */
    remainingBytes: number;
    /** Ends the reading, because the request has been refused. */
    fail: () => void;
}

interface RequestInProgress {
    response: ServerResponse;
    /** Calls the handler. */
    handle: () => void;
    /** Memory that is counted for the request. */
    heldBytes: number;
    /** Memory that is counted for the answer, until the client has read it. */
    unreadBytes: number;
}

type Parse = (piece: Buffer) => void;

const connections = new WeakMap<object, ServedConnection>();

/** Connection by which a request has arrived; undefined if it isn't limited. */
export const connectionOf = ({ socket }: { readonly socket: object }): ServedConnection | undefined =>
    connections.get(socket);

/**
 * One HTTP/1.1 connection. Feeds the HTTP server in small pieces and counts what the connection holds. Its requests are
 * handled one after the other, and the next ones are read once the client has taken the answer to the former: a connection
 * takes no more of the process than any other.
 */
export class ServedConnection implements WaitingInput {
    readonly socket: Socket;
    readonly requestMemory: Holding;
    readonly answerMemory: Holding;
    readonly #limits: ClientLimits;
    readonly #parse: Parse;
    readonly #requests = new Map<IncomingMessage, RequestInProgress>();
    readonly #openedAtMs = monotonicNowMs();
    /** Request whose body may still arrive. */
    #lastRequest: IncomingMessage | undefined;
    /** Request that is being handled. */
    #handledRequest: IncomingMessage | undefined;
    #body: BodyInProgress | undefined;
    #partialHeaderBytes = 0;
    #waitingInputBytes = 0;
    #completedRequests = 0;
    #parseMs = 0;
    /** The HTTP server has paused the socket and resumes it. */
    #isPausedByServer = false;
    #ignoresInput = false;

    /** Takes the place of the HTTP server as the reader of its socket. */
    constructor(socket: Socket, parse: Parse, limits: ClientLimits) {
        this.socket = socket;
        this.#parse = parse;
        this.#limits = limits;
        this.requestMemory = limits.requestBudget.open();
        this.answerMemory = limits.answerBudget.open();
        connections.set(socket, this);
        socket.on("data", (chunk: Buffer) => this.#receive(chunk));
        socket.removeListener("data", parse);
        socket.on("resume", () => {
            this.#isPausedByServer &&= socket.isPaused();
        });
        socket.once("close", () => this.#release());
    }

    get parseMs(): number {
        return this.#parseMs;
    }

    get responses(): ServerResponse[] {
        return [...this.#requests.values()].map(({ response }) => response);
    }

    /** Time since which the client neither ends its request nor reads its answers; undefined if it isn't waited for. */
    get stalledSinceMs(): number | undefined {
        const { bytes, sinceMs } = this.answerMemory;
        if (bytes > 0) {
            return sinceMs;
        }
        if (this.#isReceiving || this.#partialHeaderBytes > 0) {
            return this.requestMemory.sinceMs;
        }
        return this.#completedRequests === 0 && this.#requests.size === 0 ? this.#openedAtMs : undefined;
    }

    /** Records a request that has begun, and calls its handler when the former ones of the connection are answered. */
    begin(request: IncomingMessage, response: ServerResponse, handle: () => void): void {
        if (this.#ignoresInput) {
            return;
        }
        const nowMs = monotonicNowMs();
        const heldBytes = REQUEST_BYTES + this.#partialHeaderBytes * HEADER_FACTOR;
        this.requestMemory.add(heldBytes - this.#partialHeaderBytes * HEADER_FACTOR, nowMs);
        this.#partialHeaderBytes = 0;
        this.#requests.set(request, { response, handle, heldBytes, unreadBytes: 0 });
        this.#lastRequest = request;
        this.#body = undefined;
        this.#parseMs = 0;
        response.once("close", () => this.#end(request));
        this.#handleNext();
    }

    /** Records that the handler reads the body of a request. */
    beginBody(request: IncomingMessage, body: BodyInProgress): void {
        if (request === this.#lastRequest) {
            this.#body = body;
        }
    }

    /** Adds to what is counted for a request. */
    addBodyMemory(request: IncomingMessage, deltaBytes: number): void {
        const entry = this.#requests.get(request);
        if (entry !== undefined) {
            entry.heldBytes += deltaBytes;
            this.requestMemory.add(deltaBytes, monotonicNowMs());
            this.#limits.enforce();
        }
    }

    /** Counts the part of an answer that couldn't be sent at once. */
    recordAnswer(request: IncomingMessage, unreadBytes: number): void {
        const entry = this.#requests.get(request);
        if (entry !== undefined && unreadBytes > 0) {
            this.answerMemory.add(unreadBytes - entry.unreadBytes, monotonicNowMs());
            entry.unreadBytes = unreadBytes;
            this.#limits.enforce();
        }
    }

    /**
     * Closes the connection and ignores further input. If no request has arrived in full, none has run, and the client is
     * told so with `refusal`, a whole HTTP response. Otherwise the client doesn't learn what became of its requests.
     */
    close(refusal: string): void {
        if (this.#ignoresInput) {
            return;
        }
        this.#ignoresInput = true;
        const [first] = this.responses;
        const hasOnlyUnfinished = this.#requests.size === (this.#isReceiving ? 1 : 0);
        if (hasOnlyUnfinished && first?.headersSent !== true) {
            this.socket.end(refusal);
            // Closed at once, with input unread, the connection would be reset before the client has read the refusal.
            setTimeout(() => this.socket.destroy(), LINGER_MS).unref();
            this.socket.resume();
        }
        else {
            this.socket.destroy();
        }
        this.#body?.fail();
        this.#release();
    }

    /** Ignores further input. The connection is closed after the answer to its last request. */
    ignoreInput(): void {
        this.#ignoresInput = true;
        this.#limits.scheduler.remove(this);
    }

    /** Goes on with input that waited. */
    resume(): void {
        if (!this.socket.destroyed && !this.#isPausedByServer) {
            this.socket.resume();
        }
    }

    get #isReceiving(): boolean {
        return this.#lastRequest !== undefined && !this.#lastRequest.complete;
    }

    get #mayRead(): boolean {
        const isHandlingLast = this.#handledRequest === this.#lastRequest;
        return this.#requests.size === 0 || (isHandlingLast && this.#isReceiving);
    }

    #handleNext(): void {
        const [next] = this.#requests;
        if (this.#handledRequest === undefined && next !== undefined) {
            const [request, { handle }] = next;
            this.#handledRequest = request;
            handle();
        }
    }

    #receive(chunk: Buffer): void {
        this.#setWaitingInput(0);
        if (chunk.length <= PIECE_BYTES && this.#mayRead) {
            this.#feed(chunk);
            return;
        }
        const { scheduler } = this.#limits;
        let offset = 0;
        while (offset < chunk.length && !this.#ignoresInput) {
            if (!this.#mayRead) {
                this.#hold(chunk.subarray(offset));
                return;
            }
            if (!scheduler.hasTime) {
                this.#hold(chunk.subarray(offset));
                scheduler.wait(this);
                return;
            }
            const piece = chunk.subarray(offset, offset + this.#nextPieceBytes);
            offset += piece.length;
            const startedAtMs = performance.now();
            this.#feed(piece);
            const durationMs = performance.now() - startedAtMs;
            this.#parseMs += durationMs;
            scheduler.recordParsing(durationMs);
            if (this.#isPausedByServer) {
                this.#hold(chunk.subarray(offset));
                return;
            }
        }
    }

    get #nextPieceBytes(): number {
        const remainingBytes = this.#isReceiving ? this.#body?.remainingBytes ?? 0 : 0;
        return remainingBytes > 0 ? Math.min(remainingBytes, MAX_BODY_PIECE_BYTES) : PIECE_BYTES;
    }

    #feed(piece: Buffer): void {
        // After the connection has closed, its parser may serve another one.
        if (this.#ignoresInput || this.socket.destroyed) {
            return;
        }
        if (!this.#isReceiving) {
            this.#partialHeaderBytes += piece.length;
            this.requestMemory.add(piece.length * HEADER_FACTOR, monotonicNowMs());
        }
        this.#parse.call(this.socket, piece);
        this.#isPausedByServer = this.socket.isPaused();
        this.#limits.enforce();
    }

    /** Leaves input in the socket's buffer, so that the socket reads no more than it can buffer. */
    #hold(rest: Buffer): void {
        this.socket.pause();
        this.socket.unshift(rest);
        this.#setWaitingInput(rest.length);
        this.#limits.enforce();
    }

    #setWaitingInput(bytes: number): void {
        if (bytes !== this.#waitingInputBytes) {
            this.requestMemory.add(bytes - this.#waitingInputBytes, monotonicNowMs());
            this.#waitingInputBytes = bytes;
        }
    }

    #end(request: IncomingMessage): void {
        const entry = this.#requests.get(request);
        if (entry === undefined) {
            return;
        }
        this.#requests.delete(request);
        this.#handledRequest = undefined;
        this.#completedRequests += 1;
        const nowMs = monotonicNowMs();
        this.requestMemory.add(-entry.heldBytes, nowMs);
        this.answerMemory.add(-entry.unreadBytes, nowMs);
        this.#handleNext();
        if (this.socket.isPaused()) {
            this.resume();
        }
    }

    #release(): void {
        this.#limits.scheduler.remove(this);
        this.#requests.clear();
        this.requestMemory.close();
        this.answerMemory.close();
    }
}
