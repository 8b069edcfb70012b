import { build } from "hdr-histogram-js";

const MAX_MICROSECONDS = 120_000_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const HUNDREDTHS = 100;

/** Percentiles in milliseconds, and the number of samples. */
export interface LatencyPercentiles {
    p50: number;
    p99: number;
    p999: number;
    max: number;
    count: number;
}

/** Rounds to two decimals. */
export const roundToHundredths = (value: number): number => Math.round(value * HUNDREDTHS) / HUNDREDTHS;

/** Returns percentiles of durations; durations outside of 1 microsecond to 120 s are clamped. */
export const computePercentiles = (durationsMs: readonly number[]): LatencyPercentiles => {
    const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_MICROSECONDS,
        numberOfSignificantValueDigits: 3,
    });
    for (const durationMs of durationsMs) {
        histogram.recordValue(
            Math.min(MAX_MICROSECONDS, Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MILLISECOND))),
        );
    }
    const at = (percentile: number): number =>
        roundToHundredths(histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND);
    return { p50: at(50), p99: at(99), p999: at(99.9), max: at(100), count: durationsMs.length };
};

/** Returns the median of durations in milliseconds, rounded to two decimals. */
export const computeMedian = (values: readonly number[]): number => computePercentiles(values).p50;
