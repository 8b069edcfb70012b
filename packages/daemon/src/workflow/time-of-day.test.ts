import { expect, it } from "vitest";
import { TimeOfDay } from "./time-of-day.js";

const DAY_MS = 1_780_000_000_000;

// Guards against scheduled work that starts minutes early because the leader's clock was set for some seconds.
it("follows a clock that jumps for some seconds by no more than a tenth of that time", () => {
    const timeOfDay = new TimeOfDay(0, DAY_MS);
    for (let nowMs = 0; nowMs <= 6_000; nowMs += 20) {
        const isSet = nowMs >= 1_000 && nowMs < 4_000;
        const shownMs = timeOfDay.at(nowMs, DAY_MS + nowMs + (isSet ? 120_000 : 0));
        expect(Math.abs(shownMs - (DAY_MS + nowMs))).toBeLessThanOrEqual(301);
    }
});

// Guards against a clock that stays wrong after it was corrected for good, or after the VM was suspended.
it("reaches a time that is set for good", () => {
    const timeOfDay = new TimeOfDay(0, DAY_MS);
    let shownMs = 0;
    for (let nowMs = 0; nowMs <= 60_000; nowMs += 100) {
        shownMs = timeOfDay.at(nowMs, DAY_MS + nowMs + 5_000);
    }
    expect(shownMs).toBe(DAY_MS + 60_000 + 5_000);
});
