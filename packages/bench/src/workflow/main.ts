import { measureKeyLookup } from "./key-lookup-benchmark.js";
import { PlanningBenchmark } from "./planning-benchmark.js";
import { SessionBenchmark } from "./session-benchmark.js";

const DURATION_MS = 10_000;
/** The current deployments, then the expected larger ones. */
const SIZES = [
    { servers: 33, startsPerSecond: 100 },
    { servers: 100, startsPerSecond: 250 },
    { servers: 245, startsPerSecond: 600 },
    { servers: 670, startsPerSecond: 600 },
];
/** One organisation, those of a deployment, those expected in two years, and the most that a configuration may have. */
const KEY_SIZES = [
    { organisations: 1, keysPerOrganisation: 1 },
    { organisations: 20, keysPerOrganisation: 3 },
    { organisations: 390, keysPerOrganisation: 4 },
    { organisations: 5_000, keysPerOrganisation: 2 },
];

/** A full fleet with a long queue, for different numbers of organisations. */
const PLANNING_SIZE = { servers: 670, runningTasks: 10_500, waitingJobs: 2_000, durationMs: 3_000 };
const ORGANISATION_COUNTS = [0, 20, 100, 390];

const print = (load: object, figures: object): void => {
    const rounded = Object.fromEntries(
        Object.entries(figures).map(([name, value]) => [name, Number(Number(value).toPrecision(3))]),
    );
    process.stdout.write(`${JSON.stringify({ ...load, ...rounded })}\n`);
};

const isPlanningOnly = process.argv.includes("--planning");

for (const size of isPlanningOnly ? [] : KEY_SIZES) {
    print(size, measureKeyLookup(size));
}
for (const size of isPlanningOnly ? [] : SIZES) {
    print(size, new SessionBenchmark({ ...size, durationMs: DURATION_MS }).run());
}
for (const organisations of ORGANISATION_COUNTS) {
    const load = { ...PLANNING_SIZE, organisations };
    print(load, new PlanningBenchmark(load).run());
}
