import { Code, ConnectError } from "@connectrpc/connect";
import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { ErrorDetail } from "@waxwingspread/protocol";

/** Whether one attempt has decided a call, and if not, whether the call may have been executed. */
export enum AttemptOutcome {
    /** The response is final. */
    Final = "final",
    /** The replica certainly did not execute the call; another replica may. */
    NotExecuted = "not-done",
    /** The call may have been executed. */
    Uncertain = "uncertain",
}

/** Error codes after which the same call may succeed on another replica or later. All other codes are final. */
const OUTCOME_BY_CODE: Partial<Record<ErrorCode, AttemptOutcome>> = {
    [ErrorCode.NOT_LEADER]: AttemptOutcome.NotExecuted,
    [ErrorCode.UNAVAILABLE]: AttemptOutcome.NotExecuted,
    [ErrorCode.OVERLOADED]: AttemptOutcome.NotExecuted,
    [ErrorCode.UNCERTAIN]: AttemptOutcome.Uncertain,
    [ErrorCode.TIMEOUT]: AttemptOutcome.Uncertain,
    // A replica with a failed disk stops before it acknowledges, but its proposal may have reached a quorum.
    [ErrorCode.DISK_FAILED]: AttemptOutcome.Uncertain,
};

/** Socket errors that occur before a request can have been sent. */
const NOT_SENT_ERRORS = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENOTFOUND", "EAI_AGAIN"]);

/** Classifies a response by its error, if any. */
export const classifyResponse = (detail: ErrorDetail | undefined): AttemptOutcome =>
    detail === undefined ? AttemptOutcome.Final : OUTCOME_BY_CODE[detail.code] ?? AttemptOutcome.Final;

const socketErrorCode = (error: unknown): string | undefined => {
    const cause = error instanceof ConnectError ? error.cause : error;
    return typeof cause === "object" && cause !== null && "code" in cause ? String(cause.code) : undefined;
};

/** Classifies a transport error by whether the request can have reached the peer. */
export const classifyTransportError = (error: unknown): AttemptOutcome =>
    NOT_SENT_ERRORS.has(socketErrorCode(error) ?? "") ? AttemptOutcome.NotExecuted : AttemptOutcome.Uncertain;

/** Converts a transport error to a StepError with its step and peer. */
export const toStepError = (error: unknown, step: string, peer: string): StepError => {
    const isTimeout = error instanceof ConnectError && error.code === Code.DeadlineExceeded;
    const message = error instanceof ConnectError ? error.rawMessage : messageOf(error);
    return new StepError(isTimeout ? ErrorCode.TIMEOUT : ErrorCode.UNAVAILABLE, step, peer, message, { cause: error });
};
