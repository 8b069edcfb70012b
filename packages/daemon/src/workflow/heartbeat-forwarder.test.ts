import { Refusal, refused, succeeded } from "@waxwingspread/workflow";
import type { HeartbeatReport } from "@waxwingspread/workflow";
import { heartbeatOf } from "@waxwingspread/workflow/testing";
import { pino } from "pino";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import type { HeartbeatResult } from "./heartbeat-calls.js";
import { HeartbeatForwarder } from "./heartbeat-forwarder.js";
import { CallError } from "./json-call.js";
import type { JsonCall } from "./json-call.js";
import type { HeartbeatBatch } from "./operations.js";

const LEADER = "10.0.0.2";
const NEXT_LEADER = "10.0.0.3";

interface SentCall {
    call: JsonCall;
    batch: HeartbeatBatch;
    answer: (results: HeartbeatResult[]) => void;
    fail: (mayHaveActed: boolean, status?: number) => void;
}

let sent: SentCall[];
let forwarder: HeartbeatForwarder;

/** Fails the calls that are aborted, as the caller of the daemon does. */
const caller = {
    call: <Response>(call: JsonCall) =>
        new Promise<Response>((resolve, reject) => {
            call.signal?.addEventListener("abort", () => reject(new CallError(call, "aborted in a test", true)));
            sent.push({
                call,
                batch: call.body as HeartbeatBatch,
                answer: results => resolve({ results } as Response),
                fail: (mayHaveActed, status) => reject(new CallError(call, "failed in a test", mayHaveActed, status)),
            });
        }),
};

beforeEach(() => {
    vi.useFakeTimers();
    sent = [];
    forwarder = new HeartbeatForwarder({
        caller,
        host: "10.0.0.1",
        internalPort: 1,
        logger: pino({ enabled: false }),
    });
});

afterEach(() => {
    forwarder.close();
    vi.useRealTimers();
});

/** Passes a heartbeat on and records its result. */
const forward = (report: HeartbeatReport, leaderHost = LEADER): HeartbeatResult[] => {
    const results: HeartbeatResult[] = [];
    void forwarder.forward(report, leaderHost).then(result => results.push(result));
    return results;
};

const runningOf = (count: number): HeartbeatReport["running"] =>
    Array.from({ length: count }, (unused, index) => ({
        task: `j.0.0.${index}`,
        run: 1,
        checkpoint: "",
        progressPercent: 0,
        measurement: undefined,
    }));

// Guards against a leader that spends its time on one call for each heartbeat, and against answers that reach the wrong
// server.
it("sends the heartbeats of a few milliseconds in one call and returns each its own answer", async () => {
    const first = forward(heartbeatOf("a", 1));
    const second = forward(heartbeatOf("b", 7));
    await vi.advanceTimersByTimeAsync(5);
    expect(sent).toHaveLength(1);
    expect(sent[0]?.batch.fromHost).toBe("10.0.0.1");
    expect(sent[0]?.batch.reports.map(({ serverId }) => serverId)).toEqual(["a", "b"]);
    sent[0]?.answer([succeeded(undefined), refused(Refusal.NotLeader)]);
    await vi.advanceTimersByTimeAsync(0);
    expect([first, second]).toEqual([[succeeded(undefined)], [refused(Refusal.Uncertain)]]);
});

// Guards against heartbeats that wait until their servers give up, for the answer of a leader that has been replaced.
it("ends the heartbeats in progress as soon as another replica leads", async () => {
    const called = forward(heartbeatOf("a", 1));
    await vi.advanceTimersByTimeAsync(5);
    const waiting = forward(heartbeatOf("b", 1));
    forwarder.setLeader(NEXT_LEADER);
    await vi.advanceTimersByTimeAsync(0);
    expect([called, waiting]).toEqual([[refused(Refusal.Uncertain)], [refused(Refusal.Uncertain)]]);
    forward(heartbeatOf("a", 1), NEXT_LEADER);
    await vi.advanceTimersByTimeAsync(5);
    expect(sent.map(({ call }) => call.host)).toEqual([LEADER, NEXT_LEADER]);
});

// Guards against servers that are redirected to a leader which doesn't answer, and against heartbeats that can't be passed
// on to a leader of an older build.
it("tells a leader that has not answered from one that servers have to call themselves", async () => {
    const expected: [(call: SentCall) => void, Refusal][] = [
        [call => call.fail(true), Refusal.Uncertain],
        [call => call.fail(false), Refusal.Uncertain],
        // A leader of a build without batches.
        [call => call.fail(true, 404), Refusal.NotLeader],
        [call => call.answer([]), Refusal.Uncertain],
    ];
    for (const [index, [respond, refusal]] of expected.entries()) {
        const results = forward(heartbeatOf("a", index + 1));
        await vi.advanceTimersByTimeAsync(5);
        respond(sent[index] as SentCall);
        await vi.advanceTimersByTimeAsync(0);
        expect(results).toEqual([refused(refusal)]);
    }
});

// Guards against batches above the message limit of the leader, with which all their heartbeats would be lost.
it("bounds the heartbeats and the rows of a batch, and passes no heartbeat on that exceeds them alone", async () => {
    Array.from({ length: 70 }, (unused, index) => forward(heartbeatOf(`a-${index}`, 1)));
    const large = Array.from(
        { length: 3 },
        (unused, index) => forward(heartbeatOf(`b-${index}`, 1, { running: runningOf(900) })),
    );
    const tooLarge = forward(heartbeatOf("c", 1, { running: runningOf(2_001) }));
    await vi.advanceTimersByTimeAsync(5);
    expect(sent.map(({ batch }) => batch.reports.length)).toEqual([64, 8, 1]);
    expect(large).toEqual([[], [], []]);
    expect(tooLarge).toEqual([refused(Refusal.NotLeader)]);
});
