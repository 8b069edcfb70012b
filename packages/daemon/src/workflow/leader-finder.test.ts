import { pino } from "pino";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { CallError } from "./json-call.js";
import type { JsonCall } from "./json-call.js";
import { LeaderFinder } from "./leader-finder.js";

const PROBE_TIMEOUT_MS = 400;

let now: number;
let probes: { call: JsonCall; fail: () => void }[];
let finder: LeaderFinder;

const advance = async (durationMs: number): Promise<void> => {
    now += durationMs;
    await vi.advanceTimersByTimeAsync(durationMs);
};

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setInterval", "clearInterval"] });
    now = 0;
    probes = [];
    finder = new LeaderFinder({
        caller: {
            call: <Response>(call: JsonCall) =>
                new Promise<Response>((resolve, reject) =>
                    probes.push({ call, fail: () => reject(new CallError(call, "failed in a test", true)) })
                ),
        },
        seedHosts: ["a"],
        port: 1,
        readNowMs: () => now,
        logger: pino({ enabled: false }),
    });
    finder.start();
});

afterEach(() => {
    finder.stop();
    vi.useRealTimers();
});

// Guards against a leader that serves calls and is forgotten because one probe was lost or late, so that the next calls
// go to other control processes, some of which may be gone.
it("keeps a leader that has answered a call since the failed probe was sent", async () => {
    await advance(100);
    finder.recordLeader("a");
    await advance(PROBE_TIMEOUT_MS - 100);
    probes[0]?.fail();
    await advance(0);
    expect(finder.leaderHost).toBe("a");
});

// Guards against a leader that is gone and is kept because it answered a call before.
it("forgets a leader that has answered nothing since the failed probe was sent", async () => {
    probes[0]?.fail();
    await advance(0);
    finder.recordLeader("a");
    await advance(1_000);
    probes[1]?.fail();
    await advance(0);
    expect(finder.leaderHost).toBeUndefined();
});

// Guards against a named leader that is gone and is kept because the former one answered a call.
it("forgets a named leader that doesn't answer a probe, whatever its predecessor has answered", async () => {
    finder.setNamedLeader("b");
    await advance(1_000);
    finder.recordLeader("a");
    finder.setNamedLeader("b");
    await advance(PROBE_TIMEOUT_MS);
    expect(probes[1]?.call.host).toBe("b");
    probes[1]?.fail();
    await advance(0);
    expect(finder.leaderHost).toBeUndefined();
});
