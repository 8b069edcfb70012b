import { expect, it } from "vitest";
import { SlewedWallClock } from "./slewed-wall-clock.js";

const START_MS = 1_780_000_000_000;

// Guards against scheduled work that starts minutes early because the leader's system clock was wrong for some seconds.
it("drifts by at most a tenth of the time for which the system clock is wrong", () => {
    const clock = new SlewedWallClock(0, START_MS);
    for (let nowMs = 0; nowMs <= 6_000; nowMs += 20) {
        const isWrong = nowMs >= 1_000 && nowMs < 4_000;
        const wallTimeMs = clock.readMs(nowMs, START_MS + nowMs + (isWrong ? 120_000 : 0));
        expect(Math.abs(wallTimeMs - (START_MS + nowMs))).toBeLessThanOrEqual(301);
    }
});

// Guards against a permanent offset after the system clock was corrected or the VM was suspended.
it("converges to a permanently changed system clock", () => {
    const clock = new SlewedWallClock(0, START_MS);
    let wallTimeMs = 0;
    for (let nowMs = 0; nowMs <= 60_000; nowMs += 100) {
        wallTimeMs = clock.readMs(nowMs, START_MS + nowMs + 5_000);
    }
    expect(wallTimeMs).toBe(START_MS + 60_000 + 5_000);
});
