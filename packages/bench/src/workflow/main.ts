import { measureKeyLookup } from "./key-lookup-benchmark.js";
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

const printFigures = (size: object, figures: object): void => {
    const rounded = Object.fromEntries(
        Object.entries(figures).map(([name, value]) => [name, Number((value as number).toPrecision(3))]),
    );
    process.stdout.write(`${JSON.stringify({ ...size, ...rounded })}\n`);
};

for (const size of KEY_SIZES) {
    printFigures(size, measureKeyLookup(size));
}
for (const size of SIZES) {
    printFigures(size, new SessionBenchmark({ ...size, durationMs: DURATION_MS }).run());
}
