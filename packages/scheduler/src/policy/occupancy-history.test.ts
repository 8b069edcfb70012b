import { expect, test } from "vitest";
import { OccupancyHistory } from "./occupancy-history.js";
import { task } from "./testing.js";

const taskKeysAt = (history: OccupancyHistory, atMs: number): string[] =>
    history.tasksAt("s", atMs).map(present => present.taskKey).sort();

test("returns the tasks at the time of a late sample, not the current ones", () => {
    const history = new OccupancyHistory({ retentionMs: 10_000 });
    history.record("s", task("a"), 1_000);
    history.record("s", task("b"), 2_000);
    history.remove("s", "a", 3_000);
    history.record("s", task("c"), 3_500);
    expect(taskKeysAt(history, 1_500)).toEqual(["a"]);
    expect(taskKeysAt(history, 2_999)).toEqual(["a", "b"]);
    expect(taskKeysAt(history, 3_000)).toEqual(["b"]);
    expect(taskKeysAt(history, 4_000)).toEqual(["b", "c"]);
    expect(history.currentTasks("s").map(present => present.taskKey)).toEqual(["b", "c"]);
});

test("returns the state of a changed task at each time, and removes expired intervals", () => {
    const history = new OccupancyHistory({ retentionMs: 1_000 });
    history.record("s", task("a"), 0);
    history.record("s", task("a", { throttled: true }), 500);
    expect(history.tasksAt("s", 400)[0]?.throttled).toBe(false);
    expect(history.tasksAt("s", 500)[0]?.throttled).toBe(true);
    for (let nowMs = 1_000; nowMs < 10_000; nowMs += 10) {
        history.record("s", task("b"), nowMs);
        history.remove("s", "b", nowMs + 5);
    }
    expect(history.tasksAt("s", 400)).toEqual([]);
    expect(taskKeysAt(history, 9_902)).toEqual(["a", "b"]);
});
