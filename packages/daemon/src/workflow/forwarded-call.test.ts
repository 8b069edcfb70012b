import { JobState, Refusal, refused, succeeded } from "@waxwingspread/workflow";
import { pino } from "pino";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { ForwardedCall } from "./forwarded-call.js";
import type { ForwardedCallOptions, ForwardingCaller } from "./forwarded-call.js";
import { CallError } from "./json-call.js";
import type { JsonCall } from "./json-call.js";
import { ForwardedOperation } from "./operations.js";

const NOT_RUN_DEADLINE_MS = 700;
const DEADLINE_MS = 2_800;
const NOT_LEADER = { result: refused(Refusal.NotLeader), leaderHost: undefined };

interface SentCall {
    call: JsonCall;
    answer: (response: unknown) => void;
    fail: (mayHaveActed: boolean) => void;
}

/** Finder that records what it is told. */
class StandInFinder {
    leaderHost: string | undefined = "a";
    lastLeaderContactMs = -Infinity;

    recordLeader(host: string): void {
        this.leaderHost = host;
        this.lastLeaderContactMs = Date.now();
    }

    setNamedLeader(host: string | undefined): void {
        this.leaderHost = host;
    }

    clearLeader(host: string): void {
        this.leaderHost = this.leaderHost === host ? undefined : this.leaderHost;
    }
}

let calls: SentCall[];
let finder: StandInFinder;

const caller: ForwardingCaller = {
    call: <Response>(call: JsonCall) =>
        new Promise<Response>((resolve, reject) =>
            calls.push({
                call,
                answer: response => resolve(response as Response),
                fail: mayHaveActed => reject(new CallError(call, "failed in a test", mayHaveActed)),
            })
        ),
};

const optionsOf = <Operation extends ForwardedOperation>(
    operation: Operation,
    request: ForwardedCallOptions<Operation>["request"],
): ForwardedCallOptions<Operation> => ({
    operation,
    request,
    deadlines: { notRunDeadlineMs: NOT_RUN_DEADLINE_MS, deadlineMs: DEADLINE_MS },
    caller,
    finder,
    port: 1,
    readNowMs: () => Date.now(),
    logger: pino({ enabled: false }),
});

const cancelCall = (): ForwardedCall<ForwardedOperation.Cancel> =>
    new ForwardedCall(optionsOf(ForwardedOperation.Cancel, { jobId: "j" }));

const readCall = (): ForwardedCall<ForwardedOperation.JobState> =>
    new ForwardedCall(optionsOf(ForwardedOperation.JobState, { jobId: "j" }));

/** Records the result of a call and the time at which it was known. */
const observe = <Operation extends ForwardedOperation>(call: ForwardedCall<Operation>) => {
    const observed: { result: unknown; atMs: number | undefined } = { result: undefined, atMs: undefined };
    void call.run().then(result => {
        observed.result = result;
        observed.atMs = Date.now();
    });
    return observed;
};

beforeEach(() => {
    vi.useFakeTimers({ now: 0, toFake: ["setTimeout", "clearTimeout", "Date"] });
    calls = [];
    finder = new StandInFinder();
});

afterEach(() => {
    vi.useRealTimers();
});

// Guards against an answer that is thrown away because the leader took longer than half a second to give it.
it("returns the late answer of an attempt beside which others have begun, and ends those", async () => {
    const observed = observe(cancelCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(550);
    finder.leaderHost = "b";
    await vi.advanceTimersByTimeAsync(50);
    expect(calls.map(({ call }) => call.host)).toEqual(["a", "b"]);
    calls[0]?.answer({ result: succeeded(undefined), leaderHost: "a" });
    await vi.advanceTimersByTimeAsync(0);
    expect(observed).toEqual({ result: succeeded(undefined), atMs: 600 });
    expect(calls[1]?.call.signal?.aborted).toBe(true);
});

// Guards against a former leader that wakes from a freeze and takes the calls of all callers again.
it("doesn't take the sender of a late answer for the leader", async () => {
    observe(cancelCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(600);
    finder.leaderHost = "b";
    calls[0]?.answer({ result: succeeded(undefined), leaderHost: "a" });
    await vi.advanceTimersByTimeAsync(0);
    expect(finder.leaderHost).toBe("b");
});

// Guards against a "not run" for a change that a leader without an answer may have made.
it("keeps a change that was sent open until its deadline, and then reports it as uncertain", async () => {
    const observed = observe(cancelCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(500);
    calls.slice(1).forEach(({ answer }) => answer(NOT_LEADER));
    await vi.advanceTimersByTimeAsync(DEADLINE_MS);
    expect(observed).toEqual({ result: refused(Refusal.Uncertain), atMs: DEADLINE_MS });
});

// Guards against "not accepted" for a submission that another leader may have accepted.
it.each([[true, Refusal.Uncertain], [false, Refusal.Overloaded]])(
    "reports a refusal for want of memory as it is only if no other attempt was sent (%s)",
    async (isFirstSent, refusal) => {
        const observed = observe(cancelCall());
        if (isFirstSent) {
            calls[0]?.call.onSent?.();
        }
        await vi.advanceTimersByTimeAsync(550);
        finder.leaderHost = "b";
        await vi.advanceTimersByTimeAsync(50);
        calls[1]?.answer({ result: refused(Refusal.Overloaded), leaderHost: "b" });
        await vi.advanceTimersByTimeAsync(0);
        expect(observed).toEqual({ result: refused(refusal), atMs: 600 });
    },
);

// Guards against "no effect" for a cancellation that a leader may have executed before the key was taken away.
it.each([
    [Refusal.Unauthenticated, true, Refusal.Uncertain],
    [Refusal.Unauthenticated, false, Refusal.Unauthenticated],
    [Refusal.QuotaExceeded, true, Refusal.Uncertain],
    [Refusal.QuotaExceeded, false, Refusal.QuotaExceeded],
])("reports %s beside another attempt that was sent (%s) as %s", async (refusal, isFirstSent, expected) => {
    const observed = observe(cancelCall());
    if (isFirstSent) {
        calls[0]?.call.onSent?.();
    }
    await vi.advanceTimersByTimeAsync(550);
    finder.leaderHost = "b";
    await vi.advanceTimersByTimeAsync(50);
    calls[1]?.answer({ result: refused(refusal), leaderHost: "b" });
    await vi.advanceTimersByTimeAsync(0);
    expect(observed).toEqual({ result: refused(expected), atMs: 600 });
});

// Guards against a read that its caller repeats without end, although its key is not valid.
it("reports a read without a valid key as refused, whatever other attempts were sent", async () => {
    const observed = observe(readCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(550);
    finder.leaderHost = "b";
    await vi.advanceTimersByTimeAsync(50);
    calls[1]?.answer({ result: refused(Refusal.Unauthenticated), leaderHost: "b" });
    await vi.advanceTimersByTimeAsync(0);
    expect(observed).toEqual({ result: refused(Refusal.Unauthenticated), atMs: 600 });
});

// Guards against a read that is reported as possibly executed, although it has no effect.
it("reports a read without an answer as not run", async () => {
    const observed = observe(readCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(NOT_RUN_DEADLINE_MS);
    expect(observed.atMs).toBeUndefined();
    await vi.advanceTimersByTimeAsync(DEADLINE_MS);
    expect(observed).toEqual({ result: refused(Refusal.NotRun), atMs: DEADLINE_MS });
});

// Guards against a read that ends although an attempt is open, or waits although none is.
it("refuses a read at once when its last attempt has failed after the deadline for calls that were not sent", async () => {
    const observed = observe(readCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(900);
    calls.forEach(({ fail }) => fail(true));
    await vi.advanceTimersByTimeAsync(0);
    expect(observed).toEqual({ result: refused(Refusal.NotRun), atMs: 900 });
});

// Guards against a request that is held although no control process can have received it.
it("refuses a call that was not sent after a short time, and ends its attempts", async () => {
    const observed = observe(cancelCall());
    await vi.advanceTimersByTimeAsync(DEADLINE_MS);
    expect(observed).toEqual({ result: refused(Refusal.NotRun), atMs: NOT_RUN_DEADLINE_MS });
    expect(calls.every(({ call }) => call.signal?.aborted === true)).toBe(true);
});

// Guards against a "not run" for a change that a leader may have received.
it("reports a change that was sent and not answered as uncertain", async () => {
    const observed = observe(cancelCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(DEADLINE_MS);
    expect(observed).toEqual({ result: refused(Refusal.Uncertain), atMs: DEADLINE_MS });
});

// Guards against callers that repeat their calls to all replicas while there is no leader, so that the load on the
// replicas grows with the number of callers and delays the election.
it("sends nothing while no leader is known, and then only one attempt", async () => {
    finder.leaderHost = undefined;
    Array.from({ length: 50 }, () => observe(cancelCall()));
    await vi.advanceTimersByTimeAsync(300);
    expect(calls).toEqual([]);
    finder.leaderHost = "c";
    await vi.advanceTimersByTimeAsync(100);
    expect(calls.map(({ call }) => call.host)).toEqual(Array.from({ length: 50 }, () => "c"));
});

// Guards against a call that doesn't reach the new leader that a follower names.
it("makes the next attempt at the leader that was named, and returns its answer", async () => {
    const observed = observe(readCall());
    calls[0]?.answer({ result: refused(Refusal.NotLeader), leaderHost: "d" });
    await vi.advanceTimersByTimeAsync(50);
    expect(calls[1]?.call.host).toBe("d");
    calls[1]?.answer({ result: succeeded(JobState.Running), leaderHost: "d" });
    await vi.advanceTimersByTimeAsync(0);
    expect(observed.result).toEqual(succeeded(JobState.Running));
});

// Guards against callers whose deadline passes at a frozen leader, because a follower still takes it for the leader.
it("doesn't go back to a host that hasn't answered when a follower names it", async () => {
    observe(cancelCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(500);
    finder.leaderHost = "b";
    await vi.advanceTimersByTimeAsync(50);
    calls[1]?.answer({ ...NOT_LEADER, leaderHost: "a" });
    await vi.advanceTimersByTimeAsync(50);
    expect(finder.leaderHost).toBeUndefined();
    finder.leaderHost = "a";
    await vi.advanceTimersByTimeAsync(50);
    expect(calls.map(({ call }) => call.host)).toEqual(["a", "b"]);
    finder.leaderHost = "c";
    await vi.advanceTimersByTimeAsync(50);
    expect(calls.map(({ call }) => call.host)).toEqual(["a", "b", "c"]);
});

// Guards against a leader that is never asked again because a call was lost with one silent connection.
it("goes back to a host that hasn't answered once it has shown that it leads", async () => {
    observe(cancelCall());
    calls[0]?.call.onSent?.();
    await vi.advanceTimersByTimeAsync(600);
    finder.recordLeader("a");
    await vi.advanceTimersByTimeAsync(50);
    expect(calls.map(({ call }) => call.host)).toEqual(["a", "a"]);
});

// Guards against a leader that was just found and is forgotten because an earlier attempt reached a follower.
it("keeps the leader that was found while a follower was asked", async () => {
    finder.leaderHost = "b";
    observe(cancelCall());
    finder.recordLeader("c");
    calls[0]?.answer({ ...NOT_LEADER, leaderHost: "a" });
    await vi.advanceTimersByTimeAsync(50);
    expect(calls[1]?.call.host).toBe("c");
});

// Guards against attempts that pile up for a caller with a long deadline while a leader that serves doesn't answer.
it("ends the oldest attempt when too many are open", async () => {
    const options = optionsOf(ForwardedOperation.Cancel, { jobId: "j" });
    const call = new ForwardedCall({ ...options, deadlines: { notRunDeadlineMs: 700, deadlineMs: 60_000 } });
    observe(call);
    calls[0]?.call.onSent?.();
    while (calls.length < 5) {
        await vi.advanceTimersByTimeAsync(100);
        finder.recordLeader("a");
    }
    expect(calls.map(({ call: { signal } }) => signal?.aborted)).toEqual([true, false, false, false, false]);
});
