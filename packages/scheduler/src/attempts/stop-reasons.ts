import { Reason } from "@waxwingspread/protocol";

const FINAL_STOPS: ReadonlySet<Reason> = new Set([Reason.CANCELLED, Reason.CUSTOMER_REMOVED]);

/** True where the job ends with the stop instead of continuing elsewhere. */
export const isFinalStop = (reason: Reason): boolean => FINAL_STOPS.has(reason);
