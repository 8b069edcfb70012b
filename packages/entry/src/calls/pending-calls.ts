import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { EntryEffectKind } from "../effects.js";
import type { BackendServerReply, ControlMethod, ControlRequest, ControlResponse, ControlTarget } from "../effects.js";
import type { EffectQueue } from "./effect-queue.js";

/** Receives the outcome of a call exactly once, unless the call is abandoned. */
export type CallDone<T> = (result: Result<T, StepError>, nowMs: number) => void;

/** Parameters of a call to a control replica. */
export interface ControlCall<M extends ControlMethod> {
    target: ControlTarget;
    method: M;
    request: ControlRequest<M>;
    timeoutMs: number;
}

/** Parameters of a call to a backend server; `body` is JSON text. */
export interface BackendServerCall {
    address: string;
    path: string;
    body: string;
    timeoutMs: number;
}

interface PendingCall {
    step: string;
    peer: string;
    deadlineMs: number;
    done: CallDone<unknown>;
}

/** Registry of calls that wait for a reply. A call that has no reply by its deadline fails with TIMEOUT. */
export class PendingCalls {
    readonly #calls = new Map<number, PendingCall>();
    #nextCallId = 1;
    /** No call reaches its deadline before this time; lets most ticks skip the scan. */
    #nextDeadlineMs = Infinity;

    constructor(readonly effects: EffectQueue, readonly limit: number) {}

    get size(): number {
        return this.#calls.size;
    }

    /** True when the limit is reached, so that no call should be made for new work. */
    get isFull(): boolean {
        return this.#calls.size >= this.limit;
    }

    callControl<M extends ControlMethod>(
        call: ControlCall<M>,
        done: CallDone<ControlResponse<M>>,
        nowMs: number,
    ): number {
        const pending = { step: call.method, peer: call.target.address, deadlineMs: nowMs + call.timeoutMs };
        const callId = this.#add({ ...pending, done: done as CallDone<unknown> });
        this.effects.push({ kind: EntryEffectKind.CallControl, callId, ...call });
        return callId;
    }

    callBackendServer(call: BackendServerCall, done: CallDone<BackendServerReply>, nowMs: number): number {
        const pending = { step: call.path, peer: call.address, deadlineMs: nowMs + call.timeoutMs };
        const callId = this.#add({ ...pending, done: done as CallDone<unknown> });
        this.effects.push({ kind: EntryEffectKind.CallBackendServer, callId, method: "POST", ...call });
        return callId;
    }

    /** Removes a call without calling its `done`; a later reply is ignored. */
    abandon(callId: number): void {
        this.#calls.delete(callId);
    }

    succeed(callId: number, response: unknown, nowMs: number): void {
        this.#finish(callId, Ok(response), nowMs);
    }

    fail(callId: number, error: StepError, nowMs: number): void {
        this.#finish(callId, Err(error), nowMs);
    }

    tick(nowMs: number): void {
        if (nowMs < this.#nextDeadlineMs) {
            return;
        }
        for (const [callId, call] of [...this.#calls]) {
            if (call.deadlineMs <= nowMs) {
                const error = new StepError(ErrorCode.TIMEOUT, call.step, call.peer, "no reply within the deadline");
                this.#finish(callId, Err(error), nowMs);
            }
        }
        this.#nextDeadlineMs = Infinity;
        for (const { deadlineMs } of this.#calls.values()) {
            this.#nextDeadlineMs = Math.min(this.#nextDeadlineMs, deadlineMs);
        }
    }

    #add(call: PendingCall): number {
        const callId = this.#nextCallId;
        this.#nextCallId += 1;
        this.#calls.set(callId, call);
        this.#nextDeadlineMs = Math.min(this.#nextDeadlineMs, call.deadlineMs);
        return callId;
    }

    #finish(callId: number, result: Result<unknown, StepError>, nowMs: number): void {
        const call = this.#calls.get(callId);
        if (call) {
            this.#calls.delete(callId);
            call.done(result, nowMs);
        }
    }
}
