import { Agent, request } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressTranslator } from "../settings/index.js";

/** Connections to each backend server. With 11 entries, these are at most 33 of the about 60 that a server has. */
const CONNECTIONS_PER_BACKEND_SERVER = 3;
/** Maximum size of a backend server's response to an order. */
const MAX_RESPONSE_BYTES = 64 * 1024;
const KEEP_ALIVE_MS = 10_000;
const CLOSE_CHECK_MS = 20;

/** HTTP response of a backend server to an order. */
export interface BackendServerResponse {
    status: number;
    body: string;
}

const readText = async (response: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > MAX_RESPONSE_BYTES) {
            throw new Error(`the response is larger than ${MAX_RESPONSE_BYTES} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};

/** Sends orders to backend servers over a bounded number of connections to each. */
export class BackendServerClient {
    readonly #translate: AddressTranslator;
    // Uses the HTTP client of Node.js: undici and the modules of the other role took 7.6 MB of each entry's 32 MB.
    readonly #agent = new Agent({
        keepAlive: true,
        keepAliveMsecs: KEEP_ALIVE_MS,
        maxSockets: CONNECTIONS_PER_BACKEND_SERVER,
        timeout: KEEP_ALIVE_MS,
    });
    #openRequests = 0;

    constructor(translate: AddressTranslator) {
        this.#translate = translate;
    }

    /** Posts JSON. Rejects and closes the connection if no complete response arrives within `timeoutMs`. */
    async post(address: string, path: string, body: string, timeoutMs: number): Promise<BackendServerResponse> {
        this.#openRequests += 1;
        try {
            const response = await this.#send(`http://${this.#translate(address)}${path}`, body, timeoutMs);
            return { status: response.statusCode ?? 0, body: await readText(response) };
        }
        finally {
            this.#openRequests -= 1;
        }
    }

    /** Waits for requests in progress and closes all connections. */
    async close(): Promise<void> {
        while (this.#openRequests > 0) {
            await new Promise(resolve => setTimeout(resolve, CLOSE_CHECK_MS));
        }
        this.#agent.destroy();
    }

    #send(url: string, body: string, timeoutMs: number): Promise<IncomingMessage> {
        return new Promise((resolve, reject) => {
            const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
            const outgoing = request(url, { agent: this.#agent, method: "POST", headers });
            const timer = setTimeout(
                () => outgoing.destroy(new Error(`no whole response within ${timeoutMs} ms`)),
                timeoutMs,
            );
            outgoing.once("error", reject);
            outgoing.once("response", resolve);
            outgoing.once("close", () => clearTimeout(timer));
            outgoing.end(body);
        });
    }
}
