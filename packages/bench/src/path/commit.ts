import { rounded } from "./figures.js";
import type { PathFleet } from "./path-fleet.js";

const BUCKET = /^waxwingspread_commit_seconds_bucket\{le="([^"]+)"\} (\d+)/gm;

/**
 * Returns the quantile at `ratio` of a histogram with cumulative buckets (upper bound and count), interpolated linearly
 * within the bucket.
 */
const percentileOf = (buckets: readonly (readonly [number, number])[], ratio: number): number => {
    const wanted = (buckets.at(-1)?.[1] ?? 0) * ratio;
    let former: readonly [number, number] = [0, 0];
    for (const bucket of buckets) {
        if (bucket[1] >= wanted && bucket[1] > former[1]) {
            const share = (wanted - former[1]) / (bucket[1] - former[1]);
            return Number.isFinite(bucket[0]) ? former[0] + share * (bucket[0] - former[0]) : former[0];
        }
        former = bucket;
    }
    return former[0];
};

/** Returns percentiles of the time from proposal to commit, in milliseconds, as recorded by the leader since its start. */
export const readCommit = async (running: PathFleet): Promise<{ p50: number; p99: number }> => {
    const text = await running.metrics(await running.fleet.leader());
    const buckets = [...text.matchAll(BUCKET)].map(([, bound = "", count = ""]) =>
        [bound === "+Inf" ? Infinity : Number(bound) * 1_000, Number(count)] as const
    );
    return { p50: rounded(percentileOf(buckets, 0.5)), p99: rounded(percentileOf(buckets, 0.99)) };
};
