import { expect, it } from "vitest";
import { SessionDriver } from "./session-load.js";

// Guards against a driver that measures an idle session.
it("gives the servers the starts that the load asks for", () => {
    const figures = new SessionDriver({ servers: 20, startsPerSecond: 60, durationMs: 4_000 }).run();
    expect(figures.startsPerSecond).toBeGreaterThan(40);
    expect(figures.heartbeatsPerSecond).toBeGreaterThan(150);
});
