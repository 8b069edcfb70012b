import { SessionBenchmark } from "./session-benchmark.js";

const DURATION_MS = 10_000;
/** The current deployments, then the expected larger ones. */
const SIZES = [
    { servers: 33, startsPerSecond: 100 },
    { servers: 100, startsPerSecond: 250 },
    { servers: 245, startsPerSecond: 600 },
    { servers: 670, startsPerSecond: 600 },
];

for (const size of SIZES) {
    const figures = new SessionBenchmark({ ...size, durationMs: DURATION_MS }).run();
    const rounded = Object.fromEntries(
        Object.entries(figures).map(([name, value]) => [name, Number(value.toPrecision(3))]),
    );
    process.stdout.write(`${JSON.stringify({ ...size, ...rounded })}\n`);
}
