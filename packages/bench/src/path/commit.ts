import { roundToHundredths } from "./statistics.js";
import type { Testbed } from "./testbed.js";

const BUCKET_PATTERN = /^waxwingspread_commit_seconds_bucket\{le="([^"]+)"\} (\d+)/gm;

/**
 * Returns the quantile at `ratio` of a histogram with cumulative buckets (upper bound and count), interpolated linearly
 * within the bucket.
 */
const interpolateQuantile = (buckets: readonly (readonly [number, number])[], ratio: number): number => {
    const targetCount = (buckets.at(-1)?.[1] ?? 0) * ratio;
    let previous: readonly [number, number] = [0, 0];
    for (const bucket of buckets) {
        if (bucket[1] >= targetCount && bucket[1] > previous[1]) {
            const share = (targetCount - previous[1]) / (bucket[1] - previous[1]);
            return Number.isFinite(bucket[0]) ? previous[0] + share * (bucket[0] - previous[0]) : previous[0];
        }
        previous = bucket;
    }
    return previous[0];
};

/** Returns percentiles, in ms, of the time from proposal to commit, as recorded by the leader since its start. */
export const readCommitLatency = async (testbed: Testbed): Promise<{ p50: number; p99: number }> => {
    const text = await testbed.metrics(await testbed.fleet.leader());
    const buckets = [...text.matchAll(BUCKET_PATTERN)].map(([, bound = "", count = ""]) =>
        [bound === "+Inf" ? Infinity : Number(bound) * 1_000, Number(count)] as const
    );
    return {
        p50: roundToHundredths(interpolateQuantile(buckets, 0.5)),
        p99: roundToHundredths(interpolateQuantile(buckets, 0.99)),
    };
};
