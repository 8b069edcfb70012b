import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent, request as httpRequest } from "undici";
import { z } from "zod";
import { StandInBackendServer } from "./stand-in-backend-server.js";
import type { StandInReply } from "./stand-in-backend-server.js";
import type { CallEntry } from "./stand-in/entry-link.js";
import { readJson } from "./stand-in/messages.js";
import type { StandInOptions } from "./stand-in/options.js";

const DEFAULT_TICK_MS = 5;
/** Limit on the body of a request. A start carries a payload and a checkpoint. */
const BODY_LIMIT_BYTES = 2 * 1_024 * 1_024;
const CONNECTIONS_PER_ENTRY = 2;
const HTTP_OK = 200;
const HTTP_INVALID = 400;
const HTTP_TOO_LARGE = 413;
const JSON_HEADERS = { "content-type": "application/json" };

const faultsSchema = z.strictObject({
    speedRatio: z.number().min(0).optional(),
    silent: z.boolean().optional(),
    failEveryTask: z.boolean().optional(),
});

/** Options of a stand-in with its own listener; its address is that of the listener. */
export interface StandInProcessOptions extends Omit<StandInOptions, "address"> {
    host: string;
    /** Zero selects a free port. */
    port: number;
    tickMs?: number;
    /** Address at which to call an entry instead of its own, by its own address. */
    addressTranslations?: ReadonlyMap<string, string>;
}

/** Returns milliseconds since the epoch by a monotonic clock. */
const nowMs = (): number => performance.timeOrigin + performance.now();

const readBody = async (message: IncomingMessage): Promise<string | undefined> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of message as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes <= BODY_LIMIT_BYTES) {
            chunks.push(chunk);
        }
    }
    return bytes <= BODY_LIMIT_BYTES ? Buffer.concat(chunks).toString("utf8") : undefined;
};

/**
 * Runs a stand-in in real time with an HTTP listener. Besides the platform's interface, the listener offers to tests
 * `POST /stand-in/faults`, `POST /stand-in/leave` and `GET /stand-in/observations`.
 */
export class StandInBackendServerProcess {
    readonly #agent = new Agent({ connections: CONNECTIONS_PER_ENTRY, pipelining: 1 });
    #timer: NodeJS.Timeout | undefined;

    private constructor(
        readonly core: StandInBackendServer,
        readonly address: string,
        readonly server: Server,
        readonly addressTranslations: ReadonlyMap<string, string>,
    ) {}

    /** Listens and starts to announce the stand-in to entries. Fails when the address is in use. */
    static async start(options: StandInProcessOptions): Promise<StandInBackendServerProcess> {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(options.port, options.host, resolve);
        });
        const { port } = server.address() as AddressInfo;
        const address = `${options.host}:${port}`;
        const core = new StandInBackendServer({ ...options, address }, nowMs());
        const running = new StandInBackendServerProcess(
            core,
            address,
            server,
            options.addressTranslations ?? new Map<string, string>(),
        );
        server.on("request", (message, response) => {
            running.#handleRequest(message, response).catch(() => response.destroy());
        });
        running.#timer = setInterval(() => {
            core.tick(nowMs());
            running.#execute();
        }, options.tickMs ?? DEFAULT_TICK_MS);
        return running;
    }

    /** Announces that the server is leaving. */
    leave(): void {
        this.core.leave(nowMs());
        this.#execute();
    }

    /** Ends abruptly, like a killed process: running tasks end, and open connections are closed. */
    async terminate(): Promise<void> {
        clearInterval(this.#timer);
        this.core.terminate(nowMs());
        this.server.closeAllConnections();
        await new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
        });
        await this.#agent.destroy();
    }

    async #handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(message);
        const path = message.url ?? "";
        const method = message.method ?? "";
        const reply = path.startsWith("/stand-in/")
            ? this.#handleTestRequest(path, body ?? "")
            : this.#handlePlatformRequest(method, path, body);
        this.#execute();
        if (reply) {
            response.writeHead(reply.status, JSON_HEADERS).end(reply.body);
        }
    }

    #handlePlatformRequest(method: string, path: string, body: string | undefined): StandInReply | undefined {
        return body === undefined
            ? { status: HTTP_TOO_LARGE, body: JSON.stringify({ error: "body too large" }) }
            : this.core.handle({ method, path, body }, nowMs());
    }

    #handleTestRequest(path: string, body: string): StandInReply {
        if (path === "/stand-in/observations") {
            return { status: HTTP_OK, body: JSON.stringify(this.core.observations) };
        }
        if (path === "/stand-in/leave") {
            this.core.leave(nowMs());
            return { status: HTTP_OK, body: "{}" };
        }
        const faults = path === "/stand-in/faults" ? readJson(faultsSchema, body) : undefined;
        if (!faults) {
            return { status: HTTP_INVALID, body: JSON.stringify({ error: "not understood" }) };
        }
        this.core.setFaults(faults, nowMs());
        return { status: HTTP_OK, body: JSON.stringify(this.core.faults) };
    }

    #execute(): void {
        for (const call of this.core.takeEffects()) {
            this.#call(call).catch(() => {
                this.core.handleCallFailure(call.callId, nowMs());
            });
        }
    }

    async #call({ callId, address, path, body, timeoutMs }: CallEntry): Promise<void> {
        const response = await httpRequest(`http://${this.addressTranslations.get(address) ?? address}${path}`, {
            dispatcher: this.#agent,
            method: "POST",
            headers: JSON_HEADERS,
            body,
            signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await response.body.text();
        this.core.handleEntryReply(callId, { status: response.statusCode, body: text }, nowMs());
        this.#execute();
    }
}
