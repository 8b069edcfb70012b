import type { ReplaceHandler } from "@waxwingspread/consensus";
import type { Logger } from "pino";

/** Returns a handler that logs why a replica starts with an empty log, and where the unreadable one is kept. */
export const createReplaceHandler = (logger: Logger): ReplaceHandler => (reason, setAsidePath) =>
    logger.error(
        { reason: reason.message, setAsidePath },
        "log is unreadable; set aside and replaced by an empty one with a new disk id",
    );
