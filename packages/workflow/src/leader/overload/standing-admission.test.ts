import { expect, it } from "vitest";
import { Refusal } from "../../model/calls.js";
import type { QueueContract } from "../../model/configuration.js";
import { configurationOf, jobOf, standingStepOf, stepOf } from "../../testing/fixtures.js";
import { StandingAdmission } from "./standing-admission.js";
import type { RoomForecast } from "./standing-admission.js";

const [QUEUE] = configurationOf(1).queues as [QueueContract];

/** Returns a standing job that needs the given number of cores. */
const standingJob = (cores: number) => jobOf("standing", standingStepOf({ taskCount: cores }));

/** Returns an admission for which 100 cores of finite work are needed, and a function that sets the room for it. */
const startAdmission = (roomCores: number) => {
    const forecast: RoomForecast = { roomCores, neededCores: 100 };
    const admission = new StandingAdmission(() => forecast);
    const check = (nowMs: number, job = standingJob(10)) => admission.check(job, QUEUE, { nowMs, timeOfDayMs: nowMs });
    return { admission, forecast, check };
};

// Load: standing and finite work of one priority compete for too little room. Guards against standing jobs that take the
// room for long that many finite jobs need for a short time.
it("refuses standing jobs, and no others, while finite work lacks room", () => {
    const { check } = startAdmission(120);
    expect(check(0)).toMatchObject({ refusal: Refusal.Overloaded });
    expect(check(0, jobOf("finite", stepOf({ taskCount: 1_000 })))).toBeUndefined();
    expect(check(0, jobOf("standing filler", standingStepOf({ taskCount: 10, isFiller: true })))).toBeUndefined();
});

// Guards against large standing jobs that are refused while small ones are accepted one after the other.
it("decides alike for large and small jobs", () => {
    expect(startAdmission(126).check(0, standingJob(1_000))).toBeUndefined();
    expect(startAdmission(124).check(0, standingJob(1))).toBeDefined();
});

// Guards against refusals on a deployment whose callers hand in no finite work.
it("accepts standing jobs whatever the room if no finite work is known", () => {
    const admission = new StandingAdmission(() => ({ roomCores: -50, neededCores: 0 }));
    expect(admission.check(standingJob(10), QUEUE, { nowMs: 0, timeOfDayMs: 0 })).toBeUndefined();
});

// Load: the room is about what is needed. Guards against a decision that changes with each job.
it("accepts standing jobs again only when there is clearly enough room", () => {
    const { check, forecast } = startAdmission(120);
    expect(check(0)).toBeDefined();
    forecast.roomCores = 145;
    expect(check(1_000)).toBeDefined();
    forecast.roomCores = 151;
    expect(check(2_000)).toBeUndefined();
    forecast.roomCores = 145;
    expect(check(3_000)).toBeUndefined();
});

// Load: many standing jobs are refused at once. Guards against clients that all return at the same time, and long before
// there is room for them.
it("lets clients return one after the other, as departures make room", () => {
    const { check, admission } = startAdmission(50);
    for (let nowMs = 0; nowMs <= 60_000; nowMs += 1_000) {
        admission.recordDeparture(20, nowMs);
    }
    const retries = [1, 2, 3].map(() => check(60_000, standingJob(40))?.retryAfterMs ?? 0);
    // The room lacks 100 cores, of which 20 come back each second, and each client needs 40.
    expect(retries.map(retryMs => Math.round(retryMs / 1_000))).toEqual([5, 7, 9]);
});

// Guards against a client that is told to stay away for ever, or to return at once, when departures are rare.
it("bounds the time after which clients may return", () => {
    const { check, forecast, admission } = startAdmission(50);
    expect(check(0)?.retryAfterMs).toBe(30_000);
    admission.recordDeparture(1_000_000, 40_000);
    forecast.roomCores = 149.9;
    expect(check(70_000)?.retryAfterMs).toBe(1_000);
});

// Guards against previews that make callers wait longer, or that change whether the next job is refused.
it("decides after previews as without them", () => {
    const { admission, forecast, check } = startAdmission(120);
    admission.recordDeparture(400, 0);
    const preview = () => admission.check(standingJob(1_000), QUEUE, { nowMs: 0, timeOfDayMs: 0 }, true);
    expect(preview()).toMatchObject({ refusal: Refusal.Overloaded });
    expect(preview()).toEqual(preview());
    expect(admission.takeReport()).toEqual({ byPriority: {}, isShort: false });
    forecast.roomCores = 130;
    expect(check(0)).toBeUndefined();
});
