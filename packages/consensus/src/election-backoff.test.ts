import { expect, it } from "vitest";
import { ElectionBackoff } from "./election-backoff.js";

// Guards against leaders that follow one another, because each is replaced during the work of its first seconds.
it("waits longer for a young leader, and longer still after leaderships that ended early, up to a bound", () => {
    const backoff = new ElectionBackoff();
    const factors: number[] = [];
    for (let term = 2; term < 7; term += 1) {
        backoff.recordLeader(term, term * 1_000);
        factors.push(backoff.timeoutFactor);
    }
    expect(factors).toEqual([2, 3, 3, 3, 3]);
});

// Guards against a slow failover in a cluster whose leaders last.
it("returns to the plain timeouts once a leadership has lasted", () => {
    const backoff = new ElectionBackoff();
    backoff.recordLeader(2, 0);
    backoff.recordLeader(3, 500);
    backoff.recordLeader(3, 3_500);
    expect(backoff.timeoutFactor).toBe(1);
    backoff.recordLeader(4, 9_000);
    expect(backoff.timeoutFactor).toBe(2);
});
