import { Code, ConnectError } from "@connectrpc/connect";
import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { ErrorDetail } from "@waxwingspread/protocol";

/** Whether one attempt has decided a call, and if not, whether the call may have been executed. */
export enum AttemptVerdict {
    /** The response is final. */
    Final = "final",
    /** The replica did not execute the call; another replica may. */
    NotDone = "not-done",
    /** The call may have been executed. */
    Uncertain = "uncertain",
}

/** Error codes after which the same call may succeed on another replica or later. All other codes are final. */
const VERDICT_BY_CODE: Partial<Record<ErrorCode, AttemptVerdict>> = {
    [ErrorCode.NOT_LEADER]: AttemptVerdict.NotDone,
    [ErrorCode.UNAVAILABLE]: AttemptVerdict.NotDone,
    [ErrorCode.OVERLOADED]: AttemptVerdict.NotDone,
    [ErrorCode.UNCERTAIN]: AttemptVerdict.Uncertain,
    [ErrorCode.TIMEOUT]: AttemptVerdict.Uncertain,
    // A replica with a failed disk stops before it acknowledges, but its proposal may have reached a quorum.
    [ErrorCode.DISK_FAILED]: AttemptVerdict.Uncertain,
};

/** Socket errors that occur before a request can have been sent. */
const NOT_SENT_ERRORS = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENOTFOUND", "EAI_AGAIN"]);

/** Classifies a response by its error, if any. */
export const verdictOf = (detail: ErrorDetail | undefined): AttemptVerdict =>
    detail === undefined ? AttemptVerdict.Final : VERDICT_BY_CODE[detail.code] ?? AttemptVerdict.Final;

const socketErrorCode = (error: unknown): string | undefined => {
    const cause = error instanceof ConnectError ? error.cause : error;
    return typeof cause === "object" && cause !== null && "code" in cause ? String(cause.code) : undefined;
};

/** Classifies a transport error by whether the request can have reached the peer. */
export const verdictOfTransportError = (error: unknown): AttemptVerdict =>
    NOT_SENT_ERRORS.has(socketErrorCode(error) ?? "") ? AttemptVerdict.NotDone : AttemptVerdict.Uncertain;

/** Converts a transport error to a StepError with its step and peer. */
export const transportError = (error: unknown, step: string, peer: string): StepError => {
    const timedOut = error instanceof ConnectError && error.code === Code.DeadlineExceeded;
    const message = error instanceof ConnectError ? error.rawMessage : messageOf(error);
    return new StepError(timedOut ? ErrorCode.TIMEOUT : ErrorCode.UNAVAILABLE, step, peer, message, { cause: error });
};
