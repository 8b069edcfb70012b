import type { CallOptions } from "@connectrpc/connect";
import { StepError } from "@waxwingspread/common";
import type { ErrorDetail } from "@waxwingspread/protocol";
import type { AttemptOutcome } from "./call-outcome.js";
import { classifyResponse, classifyTransportError, toStepError } from "./call-outcome.js";
import type { ConnectionPool } from "./connection-pool.js";

/** Field that all responses have in common. */
export interface ResponseWithError {
    error?: ErrorDetail;
}

/** Step (for error messages), peer address and timeout of one attempt. */
export interface AttemptTarget {
    readonly step: string;
    readonly address: string;
    readonly timeoutMs: number;
}

/** Result of one attempt: a response, a transport error, or a response that contains an error. */
export interface Attempt<T> {
    readonly outcome: AttemptOutcome;
    readonly answer?: T;
    readonly error?: StepError;
}

/** Makes one call. Drops the connection if the call fails, because it may have become unresponsive. */
export const attemptCall = async <T extends ResponseWithError>(
    pool: ConnectionPool,
    target: AttemptTarget,
    call: (options: CallOptions) => Promise<T>,
): Promise<Attempt<T>> => {
    try {
        const answer = await call({ timeoutMs: target.timeoutMs });
        const error = answer.error === undefined ? undefined : StepError.fromDetail(answer.error);
        return { outcome: classifyResponse(answer.error), answer, error };
    }
    catch (error) {
        pool.drop(target.address);
        return {
            outcome: classifyTransportError(error),
            error: toStepError(error, target.step, target.address),
        };
    }
};
