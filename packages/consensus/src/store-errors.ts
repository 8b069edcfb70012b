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

/** Codes of the operating system for a disk, or a user's share of it, that has no room left. */
const DISK_FULL_CODES: ReadonlySet<unknown> = new Set(["ENOSPC", "EDQUOT"]);

/** Whether a disk operation failed only for want of room, so that it may succeed later. */
export const isDiskFullError = (error: unknown): boolean => {
    const cause = error instanceof StepError ? error.cause : error;
    return cause instanceof Error && "code" in cause && DISK_FULL_CODES.has(cause.code);
};
