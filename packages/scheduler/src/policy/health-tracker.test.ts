import { HealthState } from "@waxwingspread/protocol";
import { expect, test } from "vitest";
import { HealthTracker } from "./health-tracker.js";

const createTracker = (count: number): HealthTracker => {
    const tracker = new HealthTracker();
    for (let index = 0; index < count; index += 1) {
        tracker.register(`s${index}`, 8, HealthState.HEALTHY, 0);
    }
    return tracker;
};

const failJobs = (tracker: HealthTracker, id: string, jobs: string[], nowMs = 0): (HealthState | undefined)[] =>
    jobs.map(jobKey => tracker.failed(id, jobKey, nowMs)?.health);

test("quarantines after three failures of different jobs, not of one job or with a success in between", () => {
    const tracker = createTracker(10);
    expect(failJobs(tracker, "s0", ["a", "a", "a", "b"])).toEqual([undefined, undefined, undefined, undefined]);
    tracker.succeeded("s0", 0);
    expect(failJobs(tracker, "s0", ["a", "b", "c"])).toEqual([undefined, undefined, HealthState.QUARANTINED]);
    expect(tracker.slotLimit("s0")).toBe(0);
    expect(tracker.slotLimit("unknown")).toBe(0);
});

test("quarantines at most a fifth of the fleet, but at least one server; others follow when one returns", () => {
    for (const [count, bound] of [[3, 1], [10, 2], [30, 6]] as const) {
        const tracker = createTracker(count);
        for (let index = 0; index < count; index += 1) {
            failJobs(tracker, `s${index}`, ["a", "b", "c"]);
        }
        const isOut = (index: number): boolean => tracker.slotLimit(`s${index}`) === 0;
        expect(Array.from({ length: count }, (unused, index) => isOut(index)).filter(Boolean)).toHaveLength(bound);
        expect(tracker.applyDueChanges(10_000).every(change => change.health === HealthState.PROBING)).toBe(true);
        tracker.succeeded("s0", 10_100);
        expect(tracker.applyDueChanges(10_200).map(change => change.health)).toEqual([HealthState.QUARANTINED]);
    }
});

test("a server recovers through a probe and a growing slot limit; a failed probe doubles the delay", () => {
    const tracker = createTracker(5);
    failJobs(tracker, "s0", ["a", "b", "c"]);
    expect(tracker.applyDueChanges(9_999)).toEqual([]);
    expect(tracker.applyDueChanges(10_000)[0]).toMatchObject({ health: HealthState.PROBING, slotLimit: 1 });
    expect(tracker.failed("s0", "d", 10_500)?.health).toBe(HealthState.QUARANTINED);
    expect(tracker.applyDueChanges(30_499)).toEqual([]);
    expect(tracker.applyDueChanges(30_500)[0]?.health).toBe(HealthState.PROBING);
    expect(tracker.succeeded("s0", 31_000)).toMatchObject({ health: HealthState.RECOVERING, slotLimit: 2 });
    const later = Array.from({ length: 4 }, () => tracker.succeeded("s0", 32_000)?.slotLimit);
    expect(later).toEqual([undefined, 4, undefined, 8]);
    expect(tracker.applyDueChanges(99_999)).toEqual([]);
});

test("a server registered as quarantined is probed after a new leader takes over", () => {
    const tracker = createTracker(5);
    tracker.register("old", 8, HealthState.QUARANTINED, 3);
    expect(tracker.applyDueChanges(1_000)).toEqual([]);
    expect(tracker.applyDueChanges(11_000)[0]).toMatchObject({ backendServerId: "old", health: HealthState.PROBING });
    tracker.unregister("old");
    expect(tracker.applyDueChanges(99_000)).toEqual([]);
});
