import { WorkKind } from "@waxwingspread/protocol";
import { expect, test } from "vitest";
import { task } from "./testing.js";
import { ZoneDrainer } from "./zone-drainer.js";

const RUN_TIMES: Record<string, number> = { short: 5_000, long: 500_000 };

const createDrainer = (deadlineMs: number): ZoneDrainer => {
    const drainer = new ZoneDrainer(classKey => RUN_TIMES[classKey]);
    drainer.startDrain("zone-a", deadlineMs, 0);
    return drainer;
};

test("stops latency-critical before standing before batch work, within the rate limit", () => {
    const drainer = createDrainer(60_000);
    const batch = Array.from({ length: 30 }, (unused, index) => task(`batch${index}`, { classKey: "long" }));
    const urgent = task("urgent", { workKind: WorkKind.LATENCY_CRITICAL, placedAtMs: -5_000 });
    const running = [...batch, task("watch", { workKind: WorkKind.STANDING }), urgent];
    const first = drainer.selectTasksToStop(running, 0);
    expect(first.slice(0, 2)).toEqual(["urgent", "watch"]);
    expect(first).toHaveLength(8);
    const remaining = running.filter(item => !first.includes(item.taskKey));
    expect(drainer.selectTasksToStop(remaining, 0)).toEqual([]);
    expect(drainer.selectTasksToStop(remaining, 500)).toHaveLength(4);
});

test("keeps batch that should end in time during the completion window, and requests until their grace ends", () => {
    const drainer = createDrainer(30_000);
    const running = [
        task("short", { classKey: "short" }),
        task("long", { classKey: "long" }),
        task("request", { workKind: WorkKind.LATENCY_CRITICAL, placedAtMs: 0 }),
    ];
    expect(drainer.selectTasksToStop(running, 1_000)).toEqual(["long"]);
    const remaining = running.filter(item => item.taskKey !== "long");
    expect(drainer.selectTasksToStop(remaining, 2_500)).toEqual(["request"]);
    expect(drainer.selectTasksToStop(remaining.slice(0, 1), 29_500)).toEqual(["short"]);
});

test("raises the rate up to its bound to stop all tasks by the deadline", () => {
    const drainer = createDrainer(10_000);
    let running = Array.from({ length: 200 }, (unused, index) => task(`t${index}`, { classKey: "long" }));
    for (let nowMs = 0; nowMs <= 10_000; nowMs += 250) {
        const stopped = drainer.selectTasksToStop(running, nowMs);
        expect(stopped.length).toBeLessThanOrEqual(32);
        running = running.filter(item => !stopped.includes(item.taskKey));
    }
    expect(running).toEqual([]);
});

test("refills a returning zone gradually, and stops when it goes out of service again", () => {
    const drainer = createDrainer(10_000);
    expect(drainer.fillRatio("zone-a", 1)).toBe(0);
    expect(drainer.fillRatio("zone-b", 1)).toBe(1);
    drainer.startRefill("zone-a", 20_000);
    expect(drainer.fillRatio("zone-a", 20_000)).toBeCloseTo(0.2);
    expect(drainer.fillRatio("zone-a", 35_000)).toBeCloseTo(0.6);
    expect(drainer.fillRatio("zone-a", 50_000)).toBe(1);
    expect(drainer.takeRefilledZones(49_999)).toEqual([]);
    drainer.startDrain("zone-a", 90_000, 49_999);
    expect(drainer.takeRefilledZones(60_000)).toEqual([]);
    drainer.startRefill("zone-a", 60_000);
    expect(drainer.takeRefilledZones(90_000)).toEqual(["zone-a"]);
    expect(drainer.takeRefilledZones(90_001)).toEqual([]);
});

test("a drain long past its deadline affects neither the stop rate nor the grace on a leaving server", () => {
    const drainer = createDrainer(10_000);
    const batch = Array.from({ length: 100 }, (unused, index) => task(`t${index}`, { classKey: "long" }));
    const request = task("request", { workKind: WorkKind.LATENCY_CRITICAL, placedAtMs: 89_500 });
    const stopped = drainer.selectTasksToStop([...batch, request], 90_000);
    expect(stopped).toHaveLength(8);
    expect(stopped).not.toContain("request");
    expect(drainer.selectTasksToStop([request], 91_500)).toEqual(["request"]);
});
