import { messageOf, parseBoundedJson, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { Agent, request } from "node:http";

/** Maximum number of idle connections to one peer that are kept open. */
const MAX_FREE_SOCKETS = 16;
const HTTP_OK = 200;
/** Longest response that is read; those of the platform have a row for each server asked about. */
const MAX_RESPONSE_BYTES = 1024 * 1024;

/** Failure of a call without a usable response. Its code is UNAVAILABLE. */
export class CallError extends StepError {
    /** Whether the request may have reached the peer, which may then have executed it. */
    readonly mayHaveActed: boolean;

    constructor(call: JsonCall, error: unknown, mayHaveActed: boolean) {
        super(ErrorCode.UNAVAILABLE, `call ${call.path}`, `${call.host}:${call.port}`, messageOf(error));
        this.mayHaveActed = mayHaveActed;
    }
}

/** One JSON call to a peer. */
export interface JsonCall {
    host: string;
    port: number;
    path: string;
    body: unknown;
    timeoutMs: number;
    headers?: Readonly<Record<string, string>>;
    /** Ends the call. */
    signal?: AbortSignal;
    /** Called when the peer may have received the request. */
    onSent?: () => void;
}

/** HTTP response with any status. */
export interface JsonResponse {
    status: number;
    /** Decoded body; undefined if it is not valid JSON. */
    body: unknown;
}

/** Sends JSON calls to services outside the system over HTTP/1.1 keep-alive connections. */
export class JsonCaller {
    readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: MAX_FREE_SOCKETS });

    /** Returns the decoded body of a response with status 200. Fails with a {@link CallError} for any other result. */
    async call<Response>(call: JsonCall): Promise<Response> {
        return okBody(call, await this.send(call)) as Response;
    }

    /** Returns the response with any status. Fails with a {@link CallError} if there is none in time. */
    send(call: JsonCall): Promise<JsonResponse> {
        const body = Buffer.from(JSON.stringify(call.body));
        return new Promise((resolve, reject) => {
            let isConnected = false;
            const fail = (error: unknown): void => {
                clearTimeout(timer);
                reject(new CallError(call, error, isConnected));
            };
            const outgoing = request({
                agent: this.#agent,
                signal: call.signal,
                host: call.host,
                port: call.port,
                path: call.path,
                method: "POST",
                headers: { ...call.headers, "content-type": "application/json", "content-length": body.length },
            }, response => {
                const chunks: Buffer[] = [];
                let sizeBytes = 0;
                response.on("data", (chunk: Buffer) => {
                    sizeBytes += chunk.length;
                    chunks.push(chunk);
                    if (sizeBytes > MAX_RESPONSE_BYTES) {
                        response.destroy(new Error(`the response exceeds ${MAX_RESPONSE_BYTES} bytes`));
                    }
                });
                response.once("error", fail);
                response.once("end", () => {
                    clearTimeout(timer);
                    resolve({
                        status: response.statusCode ?? 0,
                        body: parseBoundedJson(Buffer.concat(chunks).toString()),
                    });
                });
            });
            // Destroying the socket also prevents the reuse of a connection that has stopped responding.
            const timer = setTimeout(
                () => outgoing.destroy(new Error(`no response within ${call.timeoutMs} ms`)),
                call.timeoutMs,
            );
            outgoing.once("error", fail);
            const recordSent = (): void => {
                isConnected = true;
                call.onSent?.();
            };
            outgoing.once("socket", socket => {
                if (socket.connecting) {
                    socket.once("connect", recordSent);
                }
                else {
                    recordSent();
                }
            });
            outgoing.end(body);
        });
    }

    close(): void {
        this.#agent.destroy();
    }
}

/** Returns the decoded body of a response with status 200. Fails with a {@link CallError} for any other response. */
export const okBody = (call: JsonCall, { status, body }: JsonResponse): unknown => {
    if (status !== HTTP_OK || body === undefined) {
        throw new CallError(call, `status ${status}`, true);
    }
    return body;
};
