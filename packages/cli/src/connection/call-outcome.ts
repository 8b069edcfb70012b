import { Code, ConnectError } from "@connectrpc/connect";
import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { ErrorDetail } from "@waxwingspread/protocol";

/** What one attempt at a call tells about the call. */
export enum AttemptVerdict {
    /** The answer is final. */
    Final = "final",
    /** The replica certainly didn't carry the call out; another one may. */
    NotDone = "not-done",
    /** The call may have been carried out. */
    Uncertain = "uncertain",
}

/** Codes after which the same call may succeed elsewhere or later. All others are final. */
const VERDICT_BY_CODE: Partial<Record<ErrorCode, AttemptVerdict>> = {
    [ErrorCode.NOT_LEADER]: AttemptVerdict.NotDone,
    [ErrorCode.UNAVAILABLE]: AttemptVerdict.NotDone,
    [ErrorCode.OVERLOADED]: AttemptVerdict.NotDone,
    [ErrorCode.UNCERTAIN]: AttemptVerdict.Uncertain,
    [ErrorCode.TIMEOUT]: AttemptVerdict.Uncertain,
    // A replica with a failed disk stops before it acknowledges, but its proposal may have reached a quorum.
    [ErrorCode.DISK_FAILED]: AttemptVerdict.Uncertain,
};

/** Socket errors that arise before a request can have been sent. */
const NOT_SENT_ERRORS = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENOTFOUND", "EAI_AGAIN"]);

export const verdictOf = (detail: ErrorDetail | undefined): AttemptVerdict =>
    detail === undefined ? AttemptVerdict.Final : VERDICT_BY_CODE[detail.code] ?? AttemptVerdict.Final;

const socketErrorCode = (error: unknown): string | undefined => {
    const cause = error instanceof ConnectError ? error.cause : error;
    return typeof cause === "object" && cause !== null && "code" in cause ? String(cause.code) : undefined;
};

/** Tells whether the request behind a transport error can have reached the peer. */
export const verdictOfTransportError = (error: unknown): AttemptVerdict =>
    NOT_SENT_ERRORS.has(socketErrorCode(error) ?? "") ? AttemptVerdict.NotDone : AttemptVerdict.Uncertain;

/** Restates a transport error with its step and peer. */
export const transportError = (error: unknown, step: string, peer: string): StepError => {
    const timedOut = error instanceof ConnectError && error.code === Code.DeadlineExceeded;
    const message = error instanceof ConnectError ? error.rawMessage : messageOf(error);
    return new StepError(timedOut ? ErrorCode.TIMEOUT : ErrorCode.UNAVAILABLE, step, peer, message, { cause: error });
};
