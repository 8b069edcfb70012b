import { expect, it } from "vitest";
import { TimerClock } from "./timer-clock.js";

// Guards against timeouts that count the time for which this process did not read its messages.
it("stands still during stalls and converts times before, between and after them", () => {
    const clock = new TimerClock();
    clock.recordStall(1_600, 500);
    clock.recordStall(3_000, 200);
    expect([1_000, 1_600, 2_000, 3_000, 3_100].map(realMs => clock.at(realMs))).toEqual([
        1_000,
        1_100,
        1_500,
        2_300,
        2_400,
    ]);
});

// Guards against a replica that stalls often and converts the times of old messages to later ones.
it("keeps a bounded number of stalls and stays monotonic", () => {
    const clock = new TimerClock();
    for (let endMs = 1_000; endMs <= 100_000; endMs += 1_000) {
        clock.recordStall(endMs, 300);
    }
    expect(clock.at(100_000)).toBe(70_000);
    expect(clock.at(50_000)).toBeLessThanOrEqual(clock.at(100_000));
});
