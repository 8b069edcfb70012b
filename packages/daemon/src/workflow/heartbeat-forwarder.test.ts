import { Refusal, refused, succeeded } from "@waxwingspread/workflow";
import type { HeartbeatReport } from "@waxwingspread/workflow";
import { heartbeatOf } from "@waxwingspread/workflow/testing";
import { pino } from "pino";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { MAX_LINE_BYTES } from "../transport/line-decoder.js";
import type { ChannelCall } from "../transport/message-channel.js";
import { encodeMessage } from "../transport/numbered-message.js";
import { HeartbeatForwarder, MAX_ANSWER_BYTES } from "./heartbeat-forwarder.js";
import type { HeartbeatResult } from "./operations.js";
import type { HeartbeatBatch } from "./operations.js";

const LEADER = "10.0.0.2";
const NEXT_LEADER = "10.0.0.3";
const WINDOW_MS = 15;

interface SentCall {
    call: ChannelCall;
    batch: HeartbeatBatch;
    answer: (results: HeartbeatResult[]) => void;
    fail: () => void;
}

let sent: SentCall[];
let forwarder: HeartbeatForwarder;

/** Fails the calls that are aborted, as the channels of the daemon do. */
const channels = {
    call: (call: ChannelCall) =>
        new Promise<unknown>((resolve, reject) => {
            call.signal.addEventListener("abort", () => reject(new Error("aborted in a test")));
            sent.push({
                call,
                batch: call.body as HeartbeatBatch,
                answer: results => resolve({ results }),
                fail: () => reject(new Error("failed in a test")),
            });
        }),
};

beforeEach(() => {
    vi.useFakeTimers();
    sent = [];
    forwarder = new HeartbeatForwarder({
        channels,
        host: "10.0.0.1",
        port: 1,
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
    await vi.advanceTimersByTimeAsync(WINDOW_MS);
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
    await vi.advanceTimersByTimeAsync(WINDOW_MS);
    const waiting = forward(heartbeatOf("b", 1));
    forwarder.setLeader(NEXT_LEADER);
    await vi.advanceTimersByTimeAsync(0);
    expect([called, waiting]).toEqual([[refused(Refusal.Uncertain)], [refused(Refusal.Uncertain)]]);
    forward(heartbeatOf("a", 1), NEXT_LEADER);
    await vi.advanceTimersByTimeAsync(WINDOW_MS);
    expect(sent.map(({ call }) => call.host)).toEqual([LEADER, NEXT_LEADER]);
});

// Guards against servers that are redirected to a leader which doesn't answer: they would wait for it in vain.
it("tells that the leader has not answered when a call fails or has too few results", async () => {
    const responses: ((call: SentCall) => void)[] = [call => call.fail(), call => call.answer([])];
    for (const [index, respond] of responses.entries()) {
        const results = forward(heartbeatOf("a", index + 1));
        await vi.advanceTimersByTimeAsync(WINDOW_MS);
        respond(sent[index] as SentCall);
        await vi.advanceTimersByTimeAsync(0);
        expect(results).toEqual([refused(Refusal.Uncertain)]);
    }
});

// Guards against a large fleet that gets no orders after an outage: the answers to a batch, each with many starts, would exceed
// the limit of the connection, and so would those to the next one.
it("sends batches whose answers fit into one message", async () => {
    Array.from({ length: 40 }, (unused, index) => forward(heartbeatOf(`a-${index}`, 1)));
    await vi.advanceTimersByTimeAsync(WINDOW_MS);
    const longestAnswer = "x".repeat(MAX_ANSWER_BYTES);
    const messages = sent.map(({ batch }) =>
        encodeMessage({ number: 1, body: batch.reports.map(() => longestAnswer) })
    );
    expect(Math.max(...messages.map(message => message.length))).toBeLessThanOrEqual(MAX_LINE_BYTES);
});

// Guards against batches above the message limit of the leader, with which all their heartbeats would be lost.
it("bounds the heartbeats and the rows of a batch, and passes no heartbeat on that exceeds them alone", async () => {
    Array.from({ length: 70 }, (unused, index) => forward(heartbeatOf(`a-${index}`, 1)));
    const large = Array.from(
        { length: 3 },
        (unused, index) => forward(heartbeatOf(`b-${index}`, 1, { running: runningOf(900) })),
    );
    const tooLarge = forward(heartbeatOf("c", 1, { running: runningOf(2_001) }));
    await vi.advanceTimersByTimeAsync(WINDOW_MS);
    expect(sent.map(({ batch }) => batch.reports.length)).toEqual([15, 15, 15, 15, 12, 1]);
    expect(large).toEqual([[], [], []]);
    expect(tooLarge).toEqual([refused(Refusal.NotLeader)]);
});
