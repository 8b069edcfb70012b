import { Agent, request } from "undici";
import type { AddressTranslator } from "../settings/index.js";

/** Connections to one backend server; with 11 entries a server sees at most 33 of its about 60 from here. */
const CONNECTIONS_PER_BACKEND_SERVER = 3;
/** Largest response of a backend server to an order. */
const MAX_RESPONSE_BYTES = 64 * 1024;
const KEEP_ALIVE_MS = 10_000;

/** Response to an order. */
export interface BackendServerResponse {
    status: number;
    body: string;
}

/** Sends orders to backend servers over a bounded number of connections to each. */
export class BackendServerClient {
    readonly #translate: AddressTranslator;
    readonly #agent = new Agent({
        connections: CONNECTIONS_PER_BACKEND_SERVER,
        pipelining: 1,
        keepAliveTimeout: KEEP_ALIVE_MS,
        maxResponseSize: MAX_RESPONSE_BYTES,
    });

    constructor(translate: AddressTranslator) {
        this.#translate = translate;
    }

    /** Posts JSON. Rejects when no whole response has arrived within the time; its connection is then closed. */
    async post(address: string, path: string, body: string, timeoutMs: number): Promise<BackendServerResponse> {
        const response = await request(`http://${this.#translate(address)}${path}`, {
            dispatcher: this.#agent,
            method: "POST",
            headers: { "content-type": "application/json" },
            body,
            signal: AbortSignal.timeout(timeoutMs),
        });
        return { status: response.statusCode, body: await response.body.text() };
    }

    /** Closes the connections once their requests have ended. */
    close(): Promise<void> {
        return this.#agent.close();
    }
}
