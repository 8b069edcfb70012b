import type { StepError } from "@waxwingspread/common";
import { errorCodeName } from "@waxwingspread/common";

/** Exit codes by kind of failure. */
export enum ExitCode {
    Ok = 0,
    /** Unexpected error in this program. */
    Internal = 1,
    /** Wrong arguments or an invalid file. Nothing was sent. */
    Usage = 2,
    /** The leader refused the call. Nothing was changed. */
    Refused = 3,
    /** No leader answered before the deadline. Nothing was changed. */
    Unavailable = 4,
    /** The command was sent, but its outcome isn't known. */
    OutcomeUnknown = 5,
}

/** Expected failure of a command, with the exit code of the process. */
export class CliFailure extends Error {
    constructor(readonly exitCode: ExitCode, message: string, readonly stepError?: StepError) {
        super(message);
        this.name = "CliFailure";
    }

    /** Returns the object printed with `--output json`. */
    toJson(): unknown {
        const error = this.stepError;
        return {
            error: {
                exitCode: this.exitCode,
                message: this.message,
                code: error === undefined ? undefined : errorCodeName(error.code),
                step: error?.step,
                peer: error?.peer,
                currentRevision: error?.currentRevision,
            },
        };
    }
}

/** Creates a failure for wrong arguments or an invalid file. */
export const usageFailure = (message: string): CliFailure => new CliFailure(ExitCode.Usage, message);
