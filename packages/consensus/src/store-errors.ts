import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";

/** Returns the error for data on disk that is not what was written. */
export const corrupt = (step: string, path: string, message: string): StepError =>
    new StepError(ErrorCode.CORRUPT, step, path, `${path}: ${message}`);

/** Returns the error for a failed operation on the disk; a StepError is passed through. */
export const diskFailed = (step: string, path: string, cause: unknown): StepError =>
    cause instanceof StepError
        ? cause
        : new StepError(ErrorCode.DISK_FAILED, step, path, `${path}: ${messageOf(cause)}`, { cause });
