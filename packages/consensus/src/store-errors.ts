import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";

/** Returns a CORRUPT error for data on disk that differs from what was written. */
export const corruptError = (step: string, path: string, message: string): StepError =>
    new StepError(ErrorCode.CORRUPT, step, path, `${path}: ${message}`);

/** Wraps the cause of a failed disk operation in a DISK_FAILED error; a StepError is returned unchanged. */
export const toDiskError = (step: string, path: string, cause: unknown): StepError =>
    cause instanceof StepError
        ? cause
        : new StepError(ErrorCode.DISK_FAILED, step, path, `${path}: ${messageOf(cause)}`, { cause });
