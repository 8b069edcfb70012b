import { create } from "@bufbuild/protobuf";
import * as p from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import {
    blobOf,
    CONTROL_ADDRESSES,
    createReadyHarness,
    EntryHarness,
    errorCodeOf,
    jobOf,
    jobResponse,
    startOrder,
    TASK_RESULT_IDENTITY,
} from "./testing/entry-harness.js";

describe("EntryNode: dispatch", () => {
    const payload = blobOf(`{"runMs":1}`);
    const createHarnessWithStartOrder = (): EntryHarness => {
        const harness = createReadyHarness();
        harness.advance(20);
        harness.answerPoll({ orders: [startOrder(payload.reference)] });
        harness.reply(harness.takeCalls("getBlob")[0], create(p.GetBlobResponseSchema, { data: payload.data }));
        return harness;
    };

    it("sends a start once while it is in progress and reports a lost reply as unknown", () => {
        // Guards against reporting an attempt as refused that may be running.
        const harness = createHarnessWithStartOrder();
        harness.advance(20);
        harness.answerPoll({ orders: [startOrder(payload.reference, { sequence: 2 })] });
        const starts = harness.starts();
        expect(starts.map(start => start.address)).toEqual(["s1:1"]);
        expect(JSON.parse(starts[0]?.body ?? "")).toMatchObject({ startDeadlineMs: 900, payload: { runMs: 1 } });
        harness.advance(1_010);
        expect(harness.takeCalls("report")[0]?.request.starts[0]?.result).toBe(p.StartResult.UNKNOWN);
    });

    it("reports a start as refused for a missing payload only when it never sent that attempt", () => {
        // Guards against reporting a running attempt as never started, and against retrying a job that can't start
        // because its payload is lost.
        const missing = create(p.GetBlobResponseSchema, { error: { code: p.ErrorCode.UNKNOWN_REQUEST } });
        const results = [0, 6_000].map(uptimeMs => {
            const harness = createReadyHarness();
            harness.advance(uptimeMs);
            harness.answerPoll();
            harness.advance(20);
            harness.answerPoll({ orders: [startOrder(payload.reference)] });
            CONTROL_ADDRESSES.forEach(() => {
                harness.reply(harness.takeCalls("getBlob")[0], missing);
            });
            const start = harness.takeCalls("report")[0]?.request.starts[0];
            return [start?.result, start?.payloadMissing];
        });
        expect(results).toEqual([[p.StartResult.UNKNOWN, true], [p.StartResult.REFUSED, true]]);
    });

    it("executes the order in the response to a submission with the cached payload", () => {
        // Guards against a needless read of the payload, which would delay every start of a job that is placed at once.
        const harness = createReadyHarness();
        harness.submit();
        const puts = harness.takeCalls("putBlob");
        const { reference } = puts[0]?.request ?? {};
        puts.forEach(put => {
            harness.reply(put, create(p.PutBlobResponseSchema, {}));
        });
        const order = startOrder(reference ?? payload.reference);
        harness.reply(harness.takeCalls("submit")[0], jobResponse(jobOf({}), order));
        expect(harness.starts().map(start => (JSON.parse(start.body) as { requestId: string }).requestId)).toEqual([
            "r1",
        ]);
        expect(harness.takeCalls("getBlob")).toEqual([]);
    });

    it("resends reports and submissions to a new leader without waiting for the unresponsive old one", () => {
        // Guards against a failover that takes as long as the timeout of a call.
        const harness = createReadyHarness();
        harness.submit();
        harness.confirmBlobWrites();
        harness.announce("s1");
        const old = [harness.takeCalls("submit")[0], harness.takeCalls("report")[0]];
        harness.advance(20);
        const poll = harness.takeCalls("poll").at(-1);
        harness.reply(
            poll,
            create(p.PollResponseSchema, { error: { code: p.ErrorCode.NOT_LEADER, leaderAddress: "c2" } }),
        );
        harness.answerPoll({ term: 2 });
        const resent = [harness.takeCalls("submit")[0], harness.takeCalls("report")[0]];
        expect(resent.map(call => call?.target.address)).toEqual(["c2", "c2"]);
        expect(resent[0]?.request).toEqual(old[0]?.request);
    });

    it("acknowledges orders by sequence and term, and ignores a deposed leader", () => {
        // Guards against losing orders of a new term and against executing orders of a deposed leader.
        const harness = createHarnessWithStartOrder();
        const polls = [{ term: 2, orders: [startOrder(payload.reference, { sequence: 1, term: 2 })] }, { term: 1 }]
            .map(response => {
                harness.advance(100);
                const poll = harness.takeCalls("poll").at(-1);
                harness.reply(poll, create(p.PollResponseSchema, response as p.PollResponse));
                return [poll?.request.sequenceTerm, poll?.request.acknowledgedSequence];
            });
        expect(polls).toEqual([[1, 1], [2, 1]]);
        expect(harness.starts()).toHaveLength(2);
    });

    it("fetches the payload and the checkpoint within one preparation time", () => {
        // Guards against an order that is held for twice the time for which the leader waits for its start report.
        const harness = new EntryHarness();
        const order = startOrder(payload.reference, { checkpoint: blobOf("checkpoint").reference });
        harness.answerPoll({ orders: [order] });
        harness.advance(700);
        harness.reply(harness.takeCalls("getBlob").at(-1), create(p.GetBlobResponseSchema, { data: payload.data }));
        harness.advance(110);
        expect(harness.takeCalls("report")[0]?.request.starts[0]?.result).toBe(p.StartResult.UNKNOWN);
    });

    it("sends no start after the configuration lease has expired while the payload was fetched", () => {
        // Guards against starts under an outdated configuration.
        const harness = new EntryHarness();
        harness.answerPoll({ configurationLeaseMs: 50, orders: [startOrder(payload.reference)] });
        harness.advance(60);
        harness.reply(harness.takeCalls("getBlob")[0], create(p.GetBlobResponseSchema, { data: payload.data }));
        expect(harness.starts()).toEqual([]);
        expect(harness.takeCalls("report")[0]?.request.starts[0]?.result).toBe(p.StartResult.UNKNOWN);
    });
});

describe("EntryNode: reports", () => {
    it("keeps one report in flight, merges the content of a failed one, and returns leases by incarnation", () => {
        // Guards against renewing the lease of a backend server's process that has been replaced.
        const harness = createReadyHarness();
        const handles = [harness.announce("s1"), harness.announce("s2"), harness.announce("s1", 2)];
        const first = harness.takeCalls("report");
        expect(first.map(call => call.request.announcements.length)).toEqual([1]);
        harness.nowMs += 40;
        harness.fail(first[0]?.callId ?? 0, p.ErrorCode.UNAVAILABLE);
        harness.advance(400);
        const { request, callId } = harness.takeCalls("report")[0] ?? { request: undefined, callId: 0 };
        const announced = request?.announcements.map(({ backendServerId, sequence }) => [backendServerId, sequence]);
        expect(announced?.sort()).toEqual([["s1", 2], ["s2", 1]]);
        expect(request?.announcements.every(({ heldMs }) => heldMs > 0 && heldMs <= 440)).toBe(true);
        const lease = { incarnation: "i1", expiresBackendMs: 9_000, term: 3 };
        const leases = [{ ...lease, backendServerId: "s1" }, { ...lease, backendServerId: "s2", incarnation: "i0" }];
        const response = create(p.ReportResponseSchema, { leases });
        harness.entry.handleControlResponse(callId, response, harness.nowMs);
        const replies = new Map(
            harness.takeServerReplies().map(reply => [reply.requestHandle, JSON.parse(reply.json)]),
        );
        expect(handles.map(handle => (replies.get(handle) as { lease?: unknown }).lease)).toEqual([
            { expiresMs: 9_000, term: 3 },
            undefined,
            { expiresMs: 9_000, term: 3 },
        ]);
    });

    it("resends the last announcements to a new leader although a message is in flight to it, and again if one fails", () => {
        // Guards against a new leader that doesn't know servers, and starts nothing on them, until their next announcement.
        const harness = createReadyHarness();
        const idsOf = (call: ReturnType<typeof harness.takeCalls<"report">>[number] | undefined) =>
            call?.request.announcements.map(({ backendServerId }) => backendServerId) ?? [];
        harness.announce("s1");
        harness.reply(harness.takeCalls("report")[0], create(p.ReportResponseSchema, {}));
        harness.announce("s2");
        harness.advance(400);
        const inFlight = harness.takeCalls("report")[0];
        expect(idsOf(inFlight)).toEqual(["s2"]);
        harness.answerPoll({ term: 2 });
        harness.advance(20);
        harness.reply(inFlight, create(p.ReportResponseSchema, {}));
        harness.advance(10);
        const resent = harness.takeCalls("report")[0];
        expect(idsOf(resent)).toContain("s1");
        harness.fail(resent?.callId ?? 0, p.ErrorCode.UNAVAILABLE);
        harness.advance(400);
        expect(idsOf(harness.takeCalls("report")[0])).toContain("s1");
    });

    it("answers an announcement without a lease when the leader doesn't reply", () => {
        // Guards against a lease that the leader has not granted.
        const harness = createReadyHarness();
        harness.announce("s1");
        harness.advance(1_010);
        const reply = harness.takeServerReplies()[0];
        expect([reply?.status, JSON.parse(reply?.json ?? "")]).toEqual([200, { entries: ["e1:1"] }]);
    });

    it("settles a result only when the leader has settled it, and replies the same to a resent one", () => {
        // Guards against a backend server discarding a result that no leader has stored.
        for (const settledEnds of [[0], []]) {
            const harness = createReadyHarness();
            const body = { ...TASK_RESULT_IDENTITY, end: "completed", answer: { ok: true } };
            harness.backendServer("/backend/v1/results", body);
            harness.backendServer("/backend/v1/results", body);
            const puts = harness.takeCalls("putBlob");
            expect(puts).toHaveLength(CONTROL_ADDRESSES.length);
            harness.reply(puts[0], create(p.PutBlobResponseSchema, {}));
            expect(harness.takeCalls("report")).toEqual([]);
            harness.reply(puts[1], create(p.PutBlobResponseSchema, {}));
            const report = harness.takeCalls("report")[0];
            expect(report?.request.ends[0]?.answer).toEqual(blobOf(`{"ok":true}`).reference);
            expect(harness.takeServerReplies()).toEqual([]);
            harness.reply(report, create(p.ReportResponseSchema, { settledEnds }));
            const expected = JSON.stringify({ settled: settledEnds.length > 0 });
            expect(harness.takeServerReplies().map(reply => reply.json)).toEqual([expected, expected]);
        }
    });
});

describe("EntryNode: graceful shutdown", () => {
    it("notifies the leader, refuses new work and finishes the request in progress", () => {
        // Guards against a planned shutdown that interrupts callers.
        const harness = createReadyHarness();
        harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.confirmBlobWrites();
        harness.reply(harness.takeCalls("submit")[0], jobResponse(jobOf({})));
        harness.takeCalls("poll");
        harness.entry.drain(harness.nowMs);
        expect(harness.takeCalls("poll").map(poll => poll.request.leaving)).toEqual([true]);
        harness.submit("/v1/jobs/r2");
        harness.announce("s1");
        expect(harness.takeReplies().map(errorCodeOf)).toEqual(["unavailable"]);
        expect(harness.takeServerReplies().map(errorCodeOf)).toEqual(["unavailable"]);
        expect(harness.entry.isDrained).toBe(false);
        harness.advance(810);
        const order = create(p.OrderSchema, { sequence: 1, kind: p.OrderKind.OUTCOME });
        order.job = jobOf({ state: p.JobState.ENDED, outcome: p.Outcome.CANCELLED });
        harness.answerPoll({ orders: [order] });
        expect(harness.takeReplies().map(reply => reply.status)).toEqual([200]);
        expect(harness.entry.isDrained).toBe(true);
    });
});
