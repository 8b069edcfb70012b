import { createClient } from "@connectrpc/connect";
import type { Client, Interceptor } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { ControlService, JournalService, ReplicaService } from "@waxwingspread/protocol";
import type { AddressTranslator } from "../settings/index.js";
import { PeerSession } from "./peer-session.js";

/** Clients for the services of one peer, over one connection. */
export interface PeerClient {
    replica: Client<typeof ReplicaService>;
    control: Client<typeof ControlService>;
    journal: Client<typeof JournalService>;
}

/** Time until a replaced connection is closed; at the default settings, all of its calls end before that. */
const REPLACED_CONNECTION_LIFETIME_MS = 5_000;

interface Connection {
    session: PeerSession;
    client: PeerClient;
}

/** Pool with one HTTP/2 connection per peer. A connection that has stopped responding is replaced by a new one. */
export class PeerClients {
    readonly #connections = new Map<string, Connection>();
    readonly #replaced = new Map<NodeJS.Timeout, PeerSession>();
    readonly #interceptors: Interceptor[];
    readonly #translate: AddressTranslator;

    constructor(interceptors: Interceptor[] = [], translate: AddressTranslator = address => address) {
        this.#interceptors = interceptors;
        this.#translate = translate;
    }

    /** Returns the clients for the peer at `host:port`. Creates them on first use. */
    for(address: string): PeerClient {
        const existing = this.#connections.get(address);
        if (existing !== undefined) {
            return existing.client;
        }
        const connection = connect(this.#translate(address), this.#interceptors);
        this.#connections.set(address, connection);
        return connection.client;
    }

    /** Makes later calls use a new connection. The current one stays open for its pending calls for a limited time. */
    replace(address: string): void {
        const connection = this.#connections.get(address);
        if (connection === undefined) {
            return;
        }
        this.#connections.delete(address);
        const timer = setTimeout(() => {
            this.#replaced.delete(timer);
            connection.session.abort();
        }, REPLACED_CONNECTION_LIFETIME_MS);
        this.#replaced.set(timer, connection.session);
    }

    /** Closes all connections immediately. */
    close(): void {
        for (const connection of this.#connections.values()) {
            connection.session.abort();
        }
        this.#connections.clear();
        for (const [timer, session] of this.#replaced) {
            clearTimeout(timer);
            session.abort();
        }
        this.#replaced.clear();
    }
}

const connect = (address: string, interceptors: Interceptor[]): Connection => {
    const baseUrl = `http://${address}`;
    const session = new PeerSession(baseUrl);
    const transport = createConnectTransport({
        baseUrl,
        httpVersion: "2",
        useBinaryFormat: true,
        sessionManager: session,
        // As in ConnectListener, messages are not compressed. An empty list also saves a header in every call.
        acceptCompression: [],
        interceptors,
    });
    const client = {
        replica: createClient(ReplicaService, transport),
        control: createClient(ControlService, transport),
        journal: createClient(JournalService, transport),
    };
    return { session, client };
};
