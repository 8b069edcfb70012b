import { errorCodeName } from "@waxwingspread/common";
import type { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";

const SERVICE_UNAVAILABLE = 503;

const STATUS_BY_CODE: Partial<Record<ErrorCode, number>> = {
    [ErrorCode.INVALID]: 400,
    [ErrorCode.UNAUTHENTICATED]: 401,
    [ErrorCode.UNKNOWN_REQUEST]: 404,
    [ErrorCode.REQUEST_ID_REUSED]: 409,
    [ErrorCode.REVISION_CONFLICT]: 409,
    [ErrorCode.COMMAND_ID_REUSED]: 409,
    [ErrorCode.TOO_LARGE]: 413,
    [ErrorCode.OVERLOADED]: 429,
    [ErrorCode.UNCERTAIN]: 504,
    [ErrorCode.TIMEOUT]: 504,
};

/** Returns the HTTP status of an error; 503 for a code that has none of its own. */
export const statusOf = (error: StepError): number => STATUS_BY_CODE[error.code] ?? SERVICE_UNAVAILABLE;

/** Error in the replies to callers and backend servers. */
export interface ErrorJson {
    code: string;
    step: string;
    peer: string;
    message: string;
    retryAfterMs?: number;
}

/** Returns the JSON form of an error. */
export const errorJsonOf = (error: StepError): ErrorJson => ({
    code: errorCodeName(error.code),
    step: error.step,
    peer: error.peer,
    message: error.message,
    retryAfterMs: error.retryAfterMs,
});
