import { build } from "hdr-histogram-js";

const HIGHEST_MICROSECONDS = 120_000_000;
const MICROSECONDS = 1_000;
const DECIMALS = 100;

/** Percentiles in milliseconds, and the number of samples. */
export interface LatencyFigures {
    p50: number;
    p99: number;
    p999: number;
    max: number;
    count: number;
}

/** Rounds to two decimals. */
export const rounded = (value: number): number => Math.round(value * DECIMALS) / DECIMALS;

/** Returns percentiles of durations; durations outside of 1 microsecond to 120 s are clamped. */
export const percentilesOf = (durationsMs: readonly number[]): LatencyFigures => {
    const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_MICROSECONDS,
        numberOfSignificantValueDigits: 3,
    });
    for (const durationMs of durationsMs) {
        histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, Math.round(durationMs * MICROSECONDS))));
    }
    const at = (percentile: number): number => rounded(histogram.getValueAtPercentile(percentile) / MICROSECONDS);
    return { p50: at(50), p99: at(99), p999: at(99.9), max: at(100), count: durationsMs.length };
};

/** Returns the median of durations in milliseconds, rounded to two decimals. */
export const medianOf = (values: readonly number[]): number => percentilesOf(values).p50;
