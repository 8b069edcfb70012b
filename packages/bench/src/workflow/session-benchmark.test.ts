import { expect, it } from "vitest";
import { SessionBenchmark } from "./session-benchmark.js";

// Guards against a benchmark that measures an idle session because its jobs are not started.
it("starts tasks on the servers at about the configured rate", () => {
    const figures = new SessionBenchmark({ servers: 20, startsPerSecond: 60, durationMs: 4_000 }).run();
    expect(figures.startsPerSecond).toBeGreaterThan(40);
    expect(figures.heartbeatsPerSecond).toBeGreaterThan(150);
});
