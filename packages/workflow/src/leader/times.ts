/** The current time on two clocks. */
export interface Times {
    /** Monotonic clock, for timeouts and intervals. */
    nowMs: number;
    /** Wall clock, in milliseconds since the Unix epoch; for schedules and recorded times. */
    timeOfDayMs: number;
}
