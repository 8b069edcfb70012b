import { expect, it } from "vitest";
import { CallKind, CallQueue } from "./call-queue.js";
import type { QueuedCall } from "./call-queue.js";

const CALL_COST_MS = 3;

const createQueue = () => {
    const fixture = {
        nowMs: 0,
        isBlocked: false,
        executed: [] as number[],
        refused: [] as number[],
        failed: [] as number[],
        slices: [] as (() => void)[],
        call: (id: number, kind = CallKind.Heartbeat): QueuedCall => ({
            kind,
            receivedAtMs: fixture.nowMs,
            maxWaitMs: 500,
            execute: () => {
                fixture.nowMs += CALL_COST_MS;
                fixture.executed.push(id);
            },
            refuse: () => fixture.refused.push(id),
            fail: () => fixture.failed.push(id),
        }),
    };
    const queue = new CallQueue({
        isBlocked: () => fixture.isBlocked,
        readNowMs: () => fixture.nowMs,
        defer: slice => fixture.slices.push(slice),
    });
    return { queue, fixture };
};

// Guards against a leader that loses its quorum because the first heartbeats of all servers hold its event loop.
it("gives the event loop back after a few milliseconds of calls", () => {
    const { queue, fixture } = createQueue();
    Array.from({ length: 300 }, (_, id) => queue.push(fixture.call(id)));
    let longestSliceMs = 0;
    while (fixture.slices.length > 0) {
        const startMs = fixture.nowMs;
        fixture.slices.shift()?.();
        longestSliceMs = Math.max(longestSliceMs, fixture.nowMs - startMs);
    }
    expect(longestSliceMs).toBeLessThanOrEqual(2 + CALL_COST_MS);
    expect(fixture.executed.length).toBeGreaterThan(150);
    expect(fixture.executed.length + fixture.refused.length).toBe(300);
});

// Guards against clients whose connections wait behind the calls of others until they give up and connect again: the
// event loop accepts one connection in each iteration. Calls must not wait for the connections in turn: while connections
// arrive without end, each side gets half of the time.
it("shares the time between new connections and calls", () => {
    const { queue, fixture } = createQueue();
    Array.from({ length: 100 }, (_, id) => queue.push(fixture.call(id)));
    const iterationMs = 0.25;
    let connections = 0;
    while (fixture.executed.length + fixture.refused.length < 100) {
        connections += 1;
        fixture.nowMs += iterationMs;
        queue.recordConnection();
        fixture.slices.shift()?.();
    }
    expect(fixture.refused).toEqual([]);
    const acceptMs = connections * iterationMs;
    const callsMs = 100 * CALL_COST_MS;
    expect(acceptMs / callsMs).toBeGreaterThan(0.5);
    expect(acceptMs / callsMs).toBeLessThan(1.1);
});

// Guards against work for senders that have given up, which delays the calls of those that still wait.
it("refuses a call that waited longer than its sender does, and doesn't execute it", () => {
    const { queue, fixture } = createQueue();
    queue.push(fixture.call(1));
    fixture.nowMs = 400;
    queue.push(fixture.call(2));
    fixture.nowMs = 600;
    fixture.slices.shift()?.();
    expect([fixture.executed, fixture.refused]).toEqual([[2], [1]]);
});

// Guards against refusals by a leader that only waits for the quorum's next answers.
it("holds calls while it is blocked, and refuses them when their time has passed", () => {
    const { queue, fixture } = createQueue();
    fixture.isBlocked = true;
    queue.push(fixture.call(1));
    fixture.nowMs = 300;
    queue.push(fixture.call(2));
    fixture.nowMs = 500;
    queue.tick(fixture.nowMs);
    expect([fixture.slices.length, fixture.refused]).toEqual([0, [1]]);
    fixture.isBlocked = false;
    queue.tick(fixture.nowMs);
    fixture.slices.shift()?.();
    expect([fixture.executed, queue.length]).toEqual([[2], 0]);
});

// Guards against calls without an answer while a replica stops.
it("refuses waiting and later calls once it is closed", () => {
    const { queue, fixture } = createQueue();
    queue.push(fixture.call(1));
    queue.close();
    queue.push(fixture.call(2));
    fixture.slices.shift()?.();
    expect([fixture.executed, fixture.refused]).toEqual([[], [1, 2]]);
});

// Guards against one call whose handling throws and ends the process, so that all other calls get no answer.
it("fails a call whose handling throws, and executes the calls behind it", () => {
    const { queue, fixture } = createQueue();
    queue.push({
        ...fixture.call(1),
        execute: () => {
            throw new Error("thrown in a test");
        },
    });
    queue.push(fixture.call(2));
    fixture.slices.shift()?.();
    expect([fixture.failed, fixture.executed, queue.length]).toEqual([[1], [2], 0]);
});

// Load: the heartbeats of a whole fleet arrive at once. Guards against a configuration that can't be read, and jobs that are
// refused, because the calls of operators and entries wait behind more heartbeats than can be handled in their time.
it("handles the calls of operators and entries in turn with heartbeats", () => {
    const { queue, fixture } = createQueue();
    const heartbeats = Array.from({ length: 150 }, (unused, id) => id);
    heartbeats.forEach(id => queue.push(fixture.call(id)));
    const calls = [1_000, 1_001, 1_002];
    calls.forEach(id => queue.push({ ...fixture.call(id, CallKind.Request), maxWaitMs: 50 }));
    while (fixture.slices.length > 0) {
        fixture.slices.shift()?.();
    }
    expect(fixture.executed.filter(id => calls.includes(id))).toEqual(calls);
    // Neither kind keeps the other from its turn.
    expect(fixture.executed.slice(0, 6)).toEqual([1_000, 0, 1_001, 1, 1_002, 2]);
    expect(fixture.executed).toHaveLength(heartbeats.length + calls.length);
});

// Load: after a loss of power all entries repeat their callers' requests. Guards against a configuration that can't be read
// because operators' calls wait behind more requests than can be handled in their time (issue 31).
it("handles the calls of operators in turn with those of entries and with heartbeats", () => {
    const { queue, fixture } = createQueue();
    const ids = Array.from({ length: 50 }, (unused, id) => id);
    ids.forEach(id => queue.push(fixture.call(id)));
    ids.forEach(id => queue.push(fixture.call(1_000 + id, CallKind.Request)));
    const operatorCalls = [2_000, 2_001];
    operatorCalls.forEach(id => queue.push(fixture.call(id, CallKind.Operator)));
    while (fixture.slices.length > 0) {
        fixture.slices.shift()?.();
    }
    expect(fixture.executed.slice(0, 8)).toEqual([2_000, 1_000, 0, 2_001, 1_001, 1, 1_002, 2]);
    expect(fixture.executed).toHaveLength(2 * ids.length + operatorCalls.length);
});
