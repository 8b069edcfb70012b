import type { SeededRandom } from "@waxwingspread/common";
import type { JoinRequest, JoinResponse, JsonCall, JsonCaller } from "@waxwingspread/daemon/workflow";

const MAX_DELAY_MS = 8;

interface PendingCall {
    call: JsonCall;
    /** Time at which the request arrives, or the response once there is one. */
    arrivesAtMs: number;
    timesOutAtMs: number;
    response: JoinResponse | undefined;
    resolve: (response: JoinResponse) => void;
    reject: (error: Error) => void;
}

/** Construction parameters of {@link SimulatedCalls}. */
export interface SimulatedCallsOptions {
    random: SeededRandom;
    /** Handles a request at a host; returns undefined if no process listens there. */
    handle: (host: string, request: JoinRequest, nowMs: number) => JoinResponse | undefined;
}

/** Requests to join in simulated time. Those to a host without a process time out. */
export class SimulatedCalls {
    readonly #options: SimulatedCallsOptions;
    #pending: PendingCall[] = [];
    #nowMs = 0;

    constructor(options: SimulatedCallsOptions) {
        this.#options = options;
    }

    /** Returns the caller of a replica. */
    caller(): Pick<JsonCaller, "call"> {
        return { call: <Response>(call: JsonCall) => this.#send(call) as Promise<Response> };
    }

    /** Delivers the requests and the responses that are due. */
    advance(nowMs: number): void {
        this.#nowMs = nowMs;
        const due = this.#pending.filter(item => Math.min(item.arrivesAtMs, item.timesOutAtMs) <= nowMs);
        this.#pending = this.#pending.filter(item => !due.includes(item));
        due.forEach(item => this.#advanceCall(item));
    }

    #advanceCall(item: PendingCall): void {
        if (this.#nowMs >= item.timesOutAtMs) {
            item.reject(new Error("no response in time"));
            return;
        }
        if (item.response !== undefined) {
            item.resolve(item.response);
            return;
        }
        item.response = this.#options.handle(item.call.host, item.call.body as JoinRequest, this.#nowMs);
        item.arrivesAtMs = item.response === undefined ? Infinity : this.#nowMs + this.#delayMs();
        this.#pending.push(item);
    }

    #send(call: JsonCall): Promise<JoinResponse> {
        return new Promise((resolve, reject) =>
            this.#pending.push({
                call,
                arrivesAtMs: this.#nowMs + this.#delayMs(),
                timesOutAtMs: this.#nowMs + call.timeoutMs,
                response: undefined,
                resolve,
                reject,
            })
        );
    }

    #delayMs(): number {
        return this.#options.random.nextInteger(1, MAX_DELAY_MS);
    }
}
