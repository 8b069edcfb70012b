import { create } from "@bufbuild/protobuf";
import { ErrorCode, ErrorDetailSchema } from "@waxwingspread/protocol";
import type { ErrorDetail } from "@waxwingspread/protocol";

/** Optional properties of a {@link StepError}. */
export interface StepErrorOptions {
    retryAfterMs?: number;
    leaderAddress?: string;
    currentRevision?: number;
    cause?: unknown;
}

/** Error with a code, the step that failed and the peer at which it failed. */
export class StepError extends Error {
    readonly #options: StepErrorOptions;

    constructor(
        readonly code: ErrorCode,
        readonly step: string,
        readonly peer: string,
        message: string,
        options: StepErrorOptions = {},
    ) {
        super(message, { cause: options.cause });
        this.name = "StepError";
        this.#options = options;
    }

    get retryAfterMs(): number | undefined {
        return this.#options.retryAfterMs;
    }

    get leaderAddress(): string | undefined {
        return this.#options.leaderAddress;
    }

    get currentRevision(): number | undefined {
        return this.#options.currentRevision;
    }

    /** Returns the error in the form in which processes send it to each other. */
    toDetail(): ErrorDetail {
        return create(ErrorDetailSchema, {
            code: this.code,
            step: this.step,
            peer: this.peer,
            message: this.message,
            retryAfterMs: this.#options.retryAfterMs ?? 0,
            leaderAddress: this.#options.leaderAddress ?? "",
            currentRevision: this.#options.currentRevision ?? 0,
        });
    }

    /** Restores an error that was received from another process. */
    static fromDetail(detail: ErrorDetail): StepError {
        return new StepError(detail.code, detail.step, detail.peer, detail.message, {
            retryAfterMs: detail.retryAfterMs || undefined,
            leaderAddress: detail.leaderAddress || undefined,
            currentRevision: detail.currentRevision || undefined,
        });
    }
}

/** Returns the message of a caught value, which need not be an `Error`. */
export const messageOf = (error: unknown): string => error instanceof Error ? error.message : String(error);

/** Returns the code's name in lower case with dashes, as used in JSON and metrics. */
export const errorCodeName = (code: ErrorCode): string => ErrorCode[code].toLowerCase().replaceAll("_", "-");
