import { Reason } from "@waxwingspread/protocol";

const FINAL_STOP_REASONS: ReadonlySet<Reason> = new Set([Reason.CANCELLED, Reason.CUSTOMER_REMOVED]);

/** Returns true if a stop for this reason ends the job instead of returning it to the queue. */
export const isFinalStop = (reason: Reason): boolean => FINAL_STOP_REASONS.has(reason);
