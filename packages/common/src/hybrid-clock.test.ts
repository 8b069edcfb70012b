import { describe, expect, it } from "vitest";
import { compareHybridTimes, HybridClock } from "./hybrid-clock.js";

describe("HybridClock", () => {
    it("stays monotonic when the wall clock steps back", () => {
        const clock = new HybridClock();
        const first = clock.next(1_000);
        const second = clock.next(400);
        expect(compareHybridTimes(first, second)).toBeLessThan(0);
    });

    it("orders a local event after a peer's event with a faster wall clock", () => {
        const clock = new HybridClock();
        const remote = { wallMs: 5_000, logical: 3 };
        clock.observe(remote);
        expect(compareHybridTimes(remote, clock.next(1_000))).toBeLessThan(0);
    });
});
