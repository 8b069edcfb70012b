/** Present times: of the steady clock and of day. */
export interface Times {
    nowMs: number;
    timeOfDayMs: number;
}
