import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { ErrorDetail } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { EntryMetric } from "../effects.js";
import type { ControlMethod, ControlRequest, ControlResponse } from "../effects.js";
import type { EntryTiming } from "../settings.js";
import type { PendingCalls } from "./pending-calls.js";

/**
 * Number of leader hints that one call follows without delay. Later ones wait for the retry delay, so that two replicas
 * that name each other as leader don't cause a retry storm.
 */
const MAX_IMMEDIATE_HINTS = 2;

const RETRYABLE_CODES: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.NOT_LEADER,
    ErrorCode.UNCERTAIN,
    ErrorCode.TIMEOUT,
    ErrorCode.UNAVAILABLE,
]);

/** A hint that names a replica which failed this recently is ignored as outdated: it predates the failure. */
const STALE_HINT_MS = 500;

/** Errors after which the leader may have executed the request nevertheless. */
const POSSIBLY_EXECUTED_CODES: ReadonlySet<ErrorCode> = new Set([ErrorCode.UNCERTAIN, ErrorCode.TIMEOUT]);

/** A call to the leader that is retried, with the same ids, until it is answered or its deadline passes. */
export interface LeaderCall<M extends ControlMethod> {
    method: M;
    request: ControlRequest<M>;
    deadlineMs: number;
    done: (result: Result<ControlResponse<M>, StepError>, nowMs: number) => void;
}

/** Failure of a single attempt. */
export interface AttemptFailure {
    error: StepError;
    /** False when the leader itself refused the request, so that a retry can't succeed. */
    retryable: boolean;
    /** True when a hint names another leader, which should be tried without delay. */
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
    isPossiblyExecuted: boolean;
}

interface ResponseWithError {
    error?: ErrorDetail;
    result?: { case: string | undefined; value?: unknown };
}

const errorOf = (response: ControlResponse): ErrorDetail | undefined => {
    const { error, result } = response as ResponseWithError;
    return error ?? (result?.case === "error" ? result.value as ErrorDetail : undefined);
};

/** Finds the leader among the control replicas and retries calls until it answers them. */
export class LeaderClient {
    readonly #activeCalls = new Set<ActiveCall>();
    #addresses: string[];
    #leaderAddress: string;
    #lastFailure = { address: "", atMs: 0 };

    constructor(readonly calls: PendingCalls, readonly timing: EntryTiming, addresses: string[]) {
        this.#addresses = [...addresses];
        this.#leaderAddress = addresses[0] ?? "";
    }

    /** Addresses of the known control replicas. */
    get addresses(): readonly string[] {
        return this.#addresses;
    }

    get leaderAddress(): string {
        return this.#leaderAddress;
    }

    /** Replaces the known control replicas by those that the leader listed; an empty list changes nothing. */
    setAddresses(addresses: string[]): void {
        if (addresses.length > 0) {
            this.#addresses = [...addresses];
        }
    }

    /** Makes a call and retries it as needed. Only for requests that are idempotent by their id. */
    call<M extends ControlMethod>(call: LeaderCall<M>, nowMs: number): void {
        const active: ActiveCall = {
            ...call,
            done: call.done as ActiveCall["done"],
            callId: 0,
            address: "",
            retryAtMs: undefined,
            hintsFollowed: 0,
            isPossiblyExecuted: false,
        };
        this.#activeCalls.add(active);
        this.#send(active, nowMs);
    }

    /** Makes one attempt, without retries, and returns its call id. */
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
            const outcome = this.#interpretResult(result as Result<ControlResponse<M>, StepError>, address, atMs);
            done(outcome, atMs);
        }, nowMs);
    }

    /** Resends to the new leader the calls that another replica has not answered yet. */
    handleNewLeader(nowMs: number): void {
        for (const active of [...this.#activeCalls]) {
            if (active.address !== this.#leaderAddress) {
                this.calls.abandon(active.callId);
                active.isPossiblyExecuted ||= active.retryAtMs === undefined;
                this.#send(active, nowMs);
            }
        }
    }

    tick(nowMs: number): void {
        for (const active of [...this.#activeCalls]) {
            if (active.deadlineMs <= nowMs) {
                this.calls.abandon(active.callId);
                active.isPossiblyExecuted ||= active.retryAtMs === undefined;
                this.#failCall(active, nowMs);
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
            this.#handleAttemptResult(active, result, atMs);
        };
        active.callId = this.attempt(active.method, active.request, timeoutMs, done, nowMs);
    }

    #handleAttemptResult(active: ActiveCall, result: Result<ControlResponse, AttemptFailure>, nowMs: number): void {
        if (result.isOk()) {
            this.#activeCalls.delete(active);
            active.done(Ok(result.value), nowMs);
            return;
        }
        const { error, retryable, retryNow } = result.error;
        if (!retryable) {
            this.#activeCalls.delete(active);
            active.done(Err(error), nowMs);
            return;
        }
        active.isPossiblyExecuted ||= POSSIBLY_EXECUTED_CODES.has(error.code);
        if (active.deadlineMs <= nowMs) {
            this.#failCall(active, nowMs);
            return;
        }
        active.retryAtMs = nowMs + this.timing.retryDelayMs;
        if (retryNow && active.hintsFollowed < MAX_IMMEDIATE_HINTS) {
            active.hintsFollowed += 1;
            this.#send(active, nowMs);
        }
    }

    #failCall(active: ActiveCall, nowMs: number): void {
        this.#activeCalls.delete(active);
        const error = active.isPossiblyExecuted
            ? new StepError(
                ErrorCode.UNCERTAIN,
                active.method,
                active.address,
                "outcome not known; ask again with the same request id",
            )
            : new StepError(ErrorCode.UNAVAILABLE, active.method, active.address, "no leader reached; not carried out");
        active.done(Err(error), nowMs);
    }

    #interpretResult<M extends ControlMethod>(
        result: Result<ControlResponse<M>, StepError>,
        address: string,
        nowMs: number,
    ): Result<ControlResponse<M>, AttemptFailure> {
        if (result.isErr()) {
            this.calls.effects.count(EntryMetric.ControlCallsFailed);
            this.#lastFailure = { address, atMs: nowMs };
            this.#selectNextReplica(address, "");
            return Err({ error: result.error, retryable: true, retryNow: false });
        }
        const detail = errorOf(result.value);
        if (!detail) {
            this.#leaderAddress = address;
            return Ok(result.value);
        }
        const error = StepError.fromDetail(detail);
        const retryable = RETRYABLE_CODES.has(error.code);
        const hint = error.leaderAddress ?? "";
        const isHintStale = hint === this.#lastFailure.address && nowMs < this.#lastFailure.atMs + STALE_HINT_MS;
        const retryNow = retryable && this.#selectNextReplica(address, isHintStale ? "" : hint);
        return Err({ error, retryable, retryNow });
    }

    /** Selects the replica to try next when `address` failed or isn't the leader. Returns whether a hint named it. */
    #selectNextReplica(address: string, hint: string): boolean {
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
