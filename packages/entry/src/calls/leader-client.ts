import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { ErrorDetail } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { EntryMetric } from "../effects.js";
import type { ControlMethod, ControlRequest, ControlResponse } from "../effects.js";
import type { EntryTiming } from "../settings.js";
import type { PendingCalls } from "./pending-calls.js";

/** Hints followed at once by one call before it waits, so that two replicas naming each other cause no storm. */
const IMMEDIATE_HINTS = 2;

const RETRYABLE: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.NOT_LEADER,
    ErrorCode.UNCERTAIN,
    ErrorCode.TIMEOUT,
    ErrorCode.UNAVAILABLE,
]);

/** A hint to a replica that failed this recently is not followed: it comes from before the failure. */
const STALE_HINT_MS = 500;

/** Failures after which the leader may nevertheless have carried out the request. */
const POSSIBLY_CARRIED_OUT: ReadonlySet<ErrorCode> = new Set([ErrorCode.UNCERTAIN, ErrorCode.TIMEOUT]);

/** A call to the leader that is repeated, with the same ids, until it succeeds or its deadline passes. */
export interface LeaderCall<M extends ControlMethod> {
    method: M;
    request: ControlRequest<M>;
    deadlineMs: number;
    done: (result: Result<ControlResponse<M>, StepError>, nowMs: number) => void;
}

/** Outcome of a single attempt. */
export interface AttemptFailure {
    error: StepError;
    /** False when the leader itself refused the request, so that repeating it can't help. */
    retryable: boolean;
    /** True when a hint names a leader that should be tried at once. */
    retryNow: boolean;
}

interface ActiveCall {
    method: ControlMethod;
    request: ControlRequest;
    deadlineMs: number;
    done: (result: Result<ControlResponse, StepError>, nowMs: number) => void;
    callId: number;
    address: string;
    retryAtMs: number | undefined;
    hintsFollowed: number;
    possiblyCarriedOut: boolean;
}

interface WithError {
    error?: ErrorDetail;
    result?: { case: string | undefined; value?: unknown };
}

const errorOf = (response: ControlResponse): ErrorDetail | undefined => {
    const { error, result } = response as WithError;
    return error ?? (result?.case === "error" ? result.value as ErrorDetail : undefined);
};

/** Finds the leader among the control replicas and repeats calls until it has answered. */
export class LeaderClient {
    readonly #active = new Set<ActiveCall>();
    #addresses: string[];
    #leaderAddress: string;
    #lastFailure = { address: "", atMs: 0 };

    constructor(readonly calls: PendingCalls, readonly timing: EntryTiming, addresses: string[]) {
        this.#addresses = [...addresses];
        this.#leaderAddress = addresses[0] ?? "";
    }

    /** Control replicas known now. */
    get addresses(): readonly string[] {
        return this.#addresses;
    }

    get leaderAddress(): string {
        return this.#leaderAddress;
    }

    /** Takes over the replicas that the leader named. */
    setAddresses(addresses: string[]): void {
        if (addresses.length > 0) {
            this.#addresses = [...addresses];
        }
    }

    /** Repeats the call as needed. Only for requests that are idempotent by their id. */
    call<M extends ControlMethod>(call: LeaderCall<M>, nowMs: number): void {
        const active: ActiveCall = {
            ...call,
            done: call.done as ActiveCall["done"],
            callId: 0,
            address: "",
            retryAtMs: undefined,
            hintsFollowed: 0,
            possiblyCarriedOut: false,
        };
        this.#active.add(active);
        this.#send(active, nowMs);
    }

    /** Makes one attempt and leaves repeating to the caller. */
    attempt<M extends ControlMethod>(
        method: M,
        request: ControlRequest<M>,
        timeoutMs: number,
        done: (result: Result<ControlResponse<M>, AttemptFailure>, nowMs: number) => void,
        nowMs: number,
    ): number {
        const address = this.#leaderAddress;
        const target = { kind: "leader" as const, address };
        return this.calls.callControl({ target, method, request, timeoutMs }, (result, atMs) => {
            const outcome = this.#interpret(result as Result<ControlResponse<M>, StepError>, address, atMs);
            done(outcome, atMs);
        }, nowMs);
    }

    /** Resends, to the new leader, calls that another replica has not answered yet. */
    leaderFound(nowMs: number): void {
        for (const active of [...this.#active]) {
            if (active.address !== this.#leaderAddress) {
                this.calls.abandon(active.callId);
                active.possiblyCarriedOut ||= active.retryAtMs === undefined;
                this.#send(active, nowMs);
            }
        }
    }

    tick(nowMs: number): void {
        for (const active of [...this.#active]) {
            if (active.deadlineMs <= nowMs) {
                this.calls.abandon(active.callId);
                active.possiblyCarriedOut ||= active.retryAtMs === undefined;
                this.#giveUp(active, nowMs);
            }
            else if (active.retryAtMs !== undefined && active.retryAtMs <= nowMs) {
                this.#send(active, nowMs);
            }
        }
    }

    #send(active: ActiveCall, nowMs: number): void {
        active.retryAtMs = undefined;
        active.address = this.#leaderAddress;
        const timeoutMs = Math.min(this.timing.callTimeoutMs, Math.max(1, active.deadlineMs - nowMs));
        const done = (result: Result<ControlResponse, AttemptFailure>, atMs: number): void => {
            this.#attemptEnded(active, result, atMs);
        };
        active.callId = this.attempt(active.method, active.request, timeoutMs, done, nowMs);
    }

    #attemptEnded(active: ActiveCall, result: Result<ControlResponse, AttemptFailure>, nowMs: number): void {
        if (result.isOk()) {
            this.#active.delete(active);
            active.done(Ok(result.value), nowMs);
            return;
        }
        const { error, retryable, retryNow } = result.error;
        if (!retryable) {
            this.#active.delete(active);
            active.done(Err(error), nowMs);
            return;
        }
        active.possiblyCarriedOut ||= POSSIBLY_CARRIED_OUT.has(error.code);
        if (active.deadlineMs <= nowMs) {
            this.#giveUp(active, nowMs);
            return;
        }
        active.retryAtMs = nowMs + this.timing.retryDelayMs;
        if (retryNow && active.hintsFollowed < IMMEDIATE_HINTS) {
            active.hintsFollowed += 1;
            this.#send(active, nowMs);
        }
    }

    #giveUp(active: ActiveCall, nowMs: number): void {
        this.#active.delete(active);
        const error = active.possiblyCarriedOut
            ? new StepError(
                ErrorCode.UNCERTAIN,
                active.method,
                active.address,
                "outcome not known; ask again with the same request id",
            )
            : new StepError(ErrorCode.UNAVAILABLE, active.method, active.address, "no leader reached; not carried out");
        active.done(Err(error), nowMs);
    }

    #interpret<M extends ControlMethod>(
        result: Result<ControlResponse<M>, StepError>,
        address: string,
        nowMs: number,
    ): Result<ControlResponse<M>, AttemptFailure> {
        if (result.isErr()) {
            this.calls.effects.count(EntryMetric.ControlCallsFailed);
            this.#lastFailure = { address, atMs: nowMs };
            this.#leaderFailed(address, "");
            return Err({ error: result.error, retryable: true, retryNow: false });
        }
        const detail = errorOf(result.value);
        if (!detail) {
            this.#leaderAddress = address;
            return Ok(result.value);
        }
        const error = StepError.fromDetail(detail);
        const retryable = RETRYABLE.has(error.code);
        const hint = error.leaderAddress ?? "";
        const hintIsStale = hint === this.#lastFailure.address && nowMs < this.#lastFailure.atMs + STALE_HINT_MS;
        const retryNow = retryable && this.#leaderFailed(address, hintIsStale ? "" : hint);
        return Err({ error, retryable, retryNow });
    }

    /** Moves on from a replica that isn't the leader. Returns true when a hint named another one. */
    #leaderFailed(address: string, hint: string): boolean {
        if (hint !== "" && hint !== address) {
            this.#leaderAddress = hint;
            return true;
        }
        if (this.#leaderAddress === address) {
            const position = this.#addresses.indexOf(address);
            this.#leaderAddress = this.#addresses[(position + 1) % this.#addresses.length] ?? address;
        }
        return false;
    }
}
