import { Agent, request as httpRequest } from "undici";

const DEFAULT_ATTEMPT_TIMEOUT_MS = 7_000;
const DEFAULT_DEADLINE_MS = 30_000;
const DEFAULT_RETRY_DELAY_MS = 100;
const CONNECTIONS_PER_ENTRY = 64;

/** Statuses after which the request is retried at another entry: overloaded, unavailable, outcome unknown. */
const RETRIED_STATUSES = new Set([429, 503, 504]);

/** One attempt of a request at one entry. */
export interface CallerAttempt {
    entry: string;
    path: string;
    /** Undefined if no complete reply arrived. */
    status?: number;
    /** Error code, such as `ECONNREFUSED`, of an attempt without a complete reply. */
    failure?: string;
}

/** Entries, credential, timeouts and retries of a stand-in caller. */
export interface StandInCallerOptions {
    /** `host:port` of each entry. */
    entries: string[];
    /** Bearer token of the customer. */
    token: string;
    /** Timeout of one attempt, in addition to the time that the entry is asked to wait. */
    attemptTimeoutMs?: number;
    /** Time after which no further attempt is made, in addition to the time that the entry is asked to wait. */
    deadlineMs?: number;
    retryDelayMs?: number;
    /** Called when an attempt ends. */
    onAttempt?: (attempt: CallerAttempt) => void;
}

/** Body of a submission. */
export interface SubmissionBody {
    workClass: string;
    payload: unknown;
    resources?: { cpuMillicores?: number; memoryMebibytes?: number; accelerators?: number };
    runTimeMs?: number;
    deadlineInMs?: number;
    repeatable?: boolean;
}

/** Last reply received; status 0 when no entry replied in time. */
export interface CallerReply {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    /** Undefined when the body is not JSON. */
    json: unknown;
    bytes: Uint8Array;
    entry: string;
    attempts: number;
    elapsedMs: number;
}

const jsonOf = (bytes: Uint8Array): unknown => {
    try {
        return JSON.parse(Buffer.from(bytes).toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
};

const jobPath = (requestId: string): string => `/v1/jobs/${encodeURIComponent(requestId)}`;

/** Client of the callers' interface. Retries a request, with the same id, at the next entry. */
export class StandInCaller {
    readonly #options: Required<StandInCallerOptions>;
    readonly #agent = new Agent({ connections: CONNECTIONS_PER_ENTRY, pipelining: 1 });
    #nextEntry = 0;

    constructor(options: StandInCallerOptions) {
        this.#options = {
            attemptTimeoutMs: DEFAULT_ATTEMPT_TIMEOUT_MS,
            deadlineMs: DEFAULT_DEADLINE_MS,
            retryDelayMs: DEFAULT_RETRY_DELAY_MS,
            onAttempt: () => undefined,
            ...options,
        };
    }

    submit(requestId: string, body: SubmissionBody, waitMs = 0): Promise<CallerReply> {
        return this.#call("PUT", `${jobPath(requestId)}?waitMs=${waitMs}`, body, waitMs);
    }

    lookUp(requestId: string, waitMs = 0): Promise<CallerReply> {
        return this.#call("GET", `${jobPath(requestId)}?waitMs=${waitMs}`, undefined, waitMs);
    }

    answer(requestId: string): Promise<CallerReply> {
        return this.#call("GET", `${jobPath(requestId)}/answer`, undefined, 0);
    }

    cancel(requestId: string): Promise<CallerReply> {
        return this.#call("DELETE", jobPath(requestId), undefined, 0);
    }

    cancelMany(requestIds: string[]): Promise<CallerReply> {
        return this.#call("POST", "/v1/jobs:cancel", { requestIds }, 0);
    }

    acknowledge(requestId: string): Promise<CallerReply> {
        return this.#call("POST", `${jobPath(requestId)}/acknowledge`, undefined, 0);
    }

    async close(): Promise<void> {
        await this.#agent.destroy();
    }

    async #call(method: string, path: string, body: unknown, waitMs: number): Promise<CallerReply> {
        const startedAtMs = performance.now();
        const { entries, deadlineMs, retryDelayMs } = this.#options;
        let lastReply: CallerReply = {
            status: 0,
            headers: {},
            json: undefined,
            bytes: new Uint8Array(),
            entry: "",
            attempts: 0,
            elapsedMs: 0,
        };
        for (let attempts = 1;; attempts += 1) {
            const entry = entries[this.#nextEntry % entries.length] ?? "";
            this.#nextEntry += 1;
            const reply = await this.#attempt(entry, method, path, body, waitMs);
            const elapsedMs = performance.now() - startedAtMs;
            lastReply = { ...lastReply, ...reply, entry, attempts, elapsedMs };
            const isFinal = reply !== undefined && !RETRIED_STATUSES.has(reply.status);
            if (isFinal || elapsedMs + retryDelayMs > deadlineMs + waitMs) {
                return lastReply;
            }
            await new Promise(resolve => setTimeout(resolve, retryDelayMs));
        }
    }

    async #attempt(
        entry: string,
        method: string,
        path: string,
        body: unknown,
        waitMs: number,
    ): Promise<Pick<CallerReply, "status" | "headers" | "json" | "bytes"> | undefined> {
        try {
            const response = await httpRequest(`http://${entry}${path}`, {
                dispatcher: this.#agent,
                method: method as "GET",
                headers: { "authorization": `Bearer ${this.#options.token}`, "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: AbortSignal.timeout(this.#options.attemptTimeoutMs + waitMs),
            });
            const bytes = new Uint8Array(await response.body.arrayBuffer());
            this.#options.onAttempt({ entry, path, status: response.statusCode });
            return { status: response.statusCode, headers: response.headers, json: jsonOf(bytes), bytes };
        }
        catch (error) {
            const { code, name } = error as { code?: unknown; name?: string };
            this.#options.onAttempt({ entry, path, failure: typeof code === "string" ? code : name ?? "unknown" });
            return undefined;
        }
    }
}
