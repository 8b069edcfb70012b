import type { DescService } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import type { Client } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";

/** One HTTP/2 connection for each address, opened on first use. */
export class ConnectionPool {
    readonly #sessions = new Map<string, Http2SessionManager>();

    /** Returns a client for a service at an address. */
    client<S extends DescService>(service: S, address: string): Client<S> {
        const baseUrl = `http://${address}`;
        const session = this.#sessions.get(address) ?? new Http2SessionManager(baseUrl);
        this.#sessions.set(address, session);
        const options = { baseUrl, httpVersion: "2" as const, sessionManager: session, acceptCompression: [] };
        return createClient(service, createConnectTransport(options));
    }

    /** Drops the connection to an address, which may be unresponsive; the next call opens a new one. */
    drop(address: string): void {
        this.#sessions.get(address)?.abort();
        this.#sessions.delete(address);
    }

    close(): void {
        [...this.#sessions.keys()].forEach(address => this.drop(address));
    }
}
