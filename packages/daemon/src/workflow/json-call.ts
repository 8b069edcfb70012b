import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { Agent, request } from "node:http";

/** Connections to one peer that stay open between calls. */
const MAX_FREE_SOCKETS = 16;
const HTTP_OK = 200;

/** A call that got no usable response. */
export class CallError extends StepError {
    /** Whether the request may have reached the peer. */
    readonly mayHaveActed: boolean;

    constructor(call: JsonCall, error: unknown, mayHaveActed: boolean) {
        super(ErrorCode.UNAVAILABLE, `call ${call.path}`, `${call.host}:${call.port}`, messageOf(error));
        this.mayHaveActed = mayHaveActed;
    }
}

/** One call to a peer's internal listener. */
export interface JsonCall {
    host: string;
    port: number;
    path: string;
    body: unknown;
    timeoutMs: number;
    headers?: Readonly<Record<string, string>>;
}

/** Response of any status. */
export interface JsonResponse {
    status: number;
    /** Decoded body; undefined when it isn't JSON. */
    body: unknown;
}

/** Calls internal listeners of other processes with JSON over kept connections. */
export class JsonCaller {
    readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: MAX_FREE_SOCKETS });

    /** Returns the decoded body of a response with status 200. Fails with a {@link CallError}. */
    async call<Response>(call: JsonCall): Promise<Response> {
        const { status, body } = await this.exchange(call);
        if (status !== HTTP_OK || body === undefined) {
            throw new CallError(call, `status ${status}`, true);
        }
        return body as Response;
    }

    /** Returns the response, whatever its status. Fails with a {@link CallError}. */
    exchange(call: JsonCall): Promise<JsonResponse> {
        const body = Buffer.from(JSON.stringify(call.body));
        return new Promise((resolve, reject) => {
            let isConnected = false;
            const fail = (error: unknown): void => {
                clearTimeout(timer);
                reject(new CallError(call, error, isConnected));
            };
            const outgoing = request({
                agent: this.#agent,
                host: call.host,
                port: call.port,
                path: call.path,
                method: "POST",
                headers: { ...call.headers, "content-type": "application/json", "content-length": body.length },
            }, response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.once("error", fail);
                response.once("end", () => {
                    clearTimeout(timer);
                    resolve({ status: response.statusCode ?? 0, body: parseBody(Buffer.concat(chunks)) });
                });
            });
            // Destroying the socket also gets rid of a connection that has gone silent.
            const timer = setTimeout(
                () => outgoing.destroy(new Error(`no answer in ${call.timeoutMs} ms`)),
                call.timeoutMs,
            );
            outgoing.once("error", fail);
            outgoing.once("socket", socket => {
                isConnected = !socket.connecting;
                if (socket.connecting) {
                    socket.once("connect", () => {
                        isConnected = true;
                    });
                }
            });
            outgoing.end(body);
        });
    }

    close(): void {
        this.#agent.destroy();
    }
}

const parseBody = (bytes: Buffer): unknown => {
    try {
        return JSON.parse(bytes.toString()) as unknown;
    }
    catch {
        return undefined;
    }
};
