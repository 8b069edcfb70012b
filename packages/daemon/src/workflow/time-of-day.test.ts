import { expect, it } from "vitest";
import { TimeOfDay } from "./time-of-day.js";

const DAY_MS = 1_780_000_000_000;

// Guards against scheduled work that starts minutes early because the leader's system clock was wrong for some seconds.
it("drifts by at most a tenth of the time for which the system clock is wrong", () => {
    const timeOfDay = new TimeOfDay(0, DAY_MS);
    for (let nowMs = 0; nowMs <= 6_000; nowMs += 20) {
        const isSet = nowMs >= 1_000 && nowMs < 4_000;
        const shownMs = timeOfDay.at(nowMs, DAY_MS + nowMs + (isSet ? 120_000 : 0));
        expect(Math.abs(shownMs - (DAY_MS + nowMs))).toBeLessThanOrEqual(301);
    }
});

// Guards against a permanent offset after the system clock was corrected or the VM was suspended.
it("converges to a permanently changed system clock", () => {
    const timeOfDay = new TimeOfDay(0, DAY_MS);
    let shownMs = 0;
    for (let nowMs = 0; nowMs <= 60_000; nowMs += 100) {
        shownMs = timeOfDay.at(nowMs, DAY_MS + nowMs + 5_000);
    }
    expect(shownMs).toBe(DAY_MS + 60_000 + 5_000);
});
