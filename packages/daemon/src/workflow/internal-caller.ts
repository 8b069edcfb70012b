import { monotonicNowMs } from "../transport/monotonic-time.js";
import { JsonCaller, okBody } from "./json-call.js";
import type { JsonCall } from "./json-call.js";
import { Http2UnsupportedError, PeerConnection } from "./peer-connection.js";

/** Time for which a peer that doesn't serve HTTP/2 is called over HTTP/1.1, before HTTP/2 is tried again. */
const HTTP1_PERIOD_MS = 5_000;

/**
 * Sends JSON calls to other processes of the system over one multiplexed connection to each peer. A call that times out
 * leaves the connection to the others: if each timeout closed a connection, the new ones would keep a peer that is late
 * busy with accepting connections of callers that have given up. During an upgrade, peers of the version before HTTP/2
 * are called over HTTP/1.1.
 */
export class InternalCaller {
    /** The connections for new calls, by peer. */
    readonly #connections = new Map<string, PeerConnection>();
    /** All open connections. */
    readonly #openConnections = new Set<PeerConnection>();
    readonly #http1Caller = new JsonCaller();
    /** Times until which peers are called over HTTP/1.1, by peer. */
    readonly #http1EndMs = new Map<string, number>();

    /** Returns the decoded body of a response with status 200. Fails with a CallError for any other result. */
    async call<Response>(call: JsonCall): Promise<Response> {
        const startedAtMs = monotonicNowMs();
        const peer = `${call.host} ${call.port}`;
        if (startedAtMs < (this.#http1EndMs.get(peer) ?? -Infinity)) {
            return this.#http1Caller.call(call);
        }
        try {
            return okBody(call, await this.#connectionTo(call.host, call.port, startedAtMs).send(call)) as Response;
        }
        catch (error) {
            if (!(error instanceof Http2UnsupportedError)) {
                throw error;
            }
            const nowMs = monotonicNowMs();
            this.#http1EndMs.set(peer, nowMs + HTTP1_PERIOD_MS);
            return this.#http1Caller.call({ ...call, timeoutMs: Math.max(1, call.timeoutMs - (nowMs - startedAtMs)) });
        }
    }

    /** Closes all connections; open calls fail. */
    close(): void {
        this.#openConnections.forEach(connection => connection.close());
        this.#http1Caller.close();
    }

    #connectionTo(host: string, port: number, nowMs: number): PeerConnection {
        const key = `${host} ${port}`;
        const current = this.#connections.get(key);
        if (current !== undefined && !current.isRetired) {
            return current;
        }
        const connection = new PeerConnection({
            host,
            port,
            onClosed: () => this.#handleClosed(key, connection),
        }, nowMs);
        this.#connections.set(key, connection);
        this.#openConnections.add(connection);
        return connection;
    }

    #handleClosed(key: string, connection: PeerConnection): void {
        this.#openConnections.delete(connection);
        if (this.#connections.get(key) === connection) {
            this.#connections.delete(key);
        }
    }
}
