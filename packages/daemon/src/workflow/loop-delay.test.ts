import { expect, it } from "vitest";
import { LoopDelay } from "./loop-delay.js";

// Guards against an event loop that stands still without a trace in metrics and logs.
it("reports by how much a tick came late", () => {
    const delay = new LoopDelay(20);
    expect([0, 20, 540, 555].map(nowMs => delay.tick(nowMs))).toEqual([0, 0, 500, 0]);
});
