import { monotonicNowMs } from "../transport/monotonic-time.js";
import { okBody } from "./json-call.js";
import type { JsonCall } from "./json-call.js";
import { PeerConnection } from "./peer-connection.js";

/**
 * Sends JSON calls to other processes of the system over one multiplexed connection to each peer. A call that times out
 * leaves the connection to the others: if each timeout closed a connection, the new ones would keep a peer that is late
 * busy with accepting connections of callers that have given up.
 */
export class InternalCaller {
    /** The connections for new calls, by peer. */
    readonly #connections = new Map<string, PeerConnection>();
    /** All open connections. */
    readonly #openConnections = new Set<PeerConnection>();

    /** Returns the decoded body of a response with status 200. Fails with a CallError for any other result. */
    async call<Response>(call: JsonCall): Promise<Response> {
        const connection = this.#connectionTo(call.host, call.port, monotonicNowMs());
        return okBody(call, await connection.send(call)) as Response;
    }

    /** Closes all connections; open calls fail. */
    close(): void {
        this.#openConnections.forEach(connection => connection.close());
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
