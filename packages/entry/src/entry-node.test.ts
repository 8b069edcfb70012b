import { create } from "@bufbuild/protobuf";
import * as p from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import type { EntryOptions } from "./settings.js";
import {
    blobOf,
    createReadyHarness,
    EntryHarness,
    errorCodeOf,
    jobOf,
    jobResponse,
    notLeaderResponse,
    TASK_RESULT_IDENTITY,
} from "./testing/entry-harness.js";

describe("EntryNode: submissions", () => {
    it("submits to the leader only after a majority has stored the payload, and follows hints with the same id", () => {
        // Guards against a payload that is lost with one VM, and against a duplicate job after a change of leader.
        const harness = createReadyHarness();
        harness.submit();
        const puts = harness.takeCalls("putBlob");
        harness.reply(puts[0], create(p.PutBlobResponseSchema, {}));
        expect(harness.takeCalls("submit")).toEqual([]);
        harness.fail(puts[1]?.callId ?? 0, p.ErrorCode.UNAVAILABLE);
        harness.reply(puts[2], create(p.PutBlobResponseSchema, {}));
        const first = harness.takeCalls("submit")[0];
        harness.reply(first, notLeaderResponse("c3"));
        const second = harness.takeCalls("submit")[0];
        expect([first?.target.address, second?.target.address]).toEqual(["c1", "c3"]);
        expect(second?.request).toEqual(first?.request);
        harness.reply(second, jobResponse(jobOf({})));
        expect(harness.takeReplies().map(reply => reply.status)).toEqual([202]);
    });

    it("replies UNCERTAIN when the leader may have accepted the job and UNAVAILABLE when it can't have", () => {
        // Guards against reporting a job that may run as not run, and against needless UNCERTAIN replies.
        for (
            const { code, expected } of [
                { code: p.ErrorCode.TIMEOUT, expected: [504, "uncertain"] },
                { code: p.ErrorCode.UNAVAILABLE, expected: [503, "unavailable"] },
            ]
        ) {
            const harness = createReadyHarness({ timing: { requestTimeoutMs: 300 } });
            harness.submit();
            harness.confirmBlobWrites();
            for (let round = 0; round < 40; round += 1) {
                harness.takeCalls("submit").forEach(call => {
                    harness.fail(call.callId, code);
                });
                harness.advance(10);
            }
            const reply = harness.takeReplies()[0];
            expect([reply?.status, errorCodeOf(reply)]).toEqual(expected);
        }
    });

    it("gives a resent submission the same digest although its absolute deadline is later", () => {
        // Guards against REQUEST_ID_REUSED for a caller that only resends its request.
        const harness = createReadyHarness();
        const digests = [0, 500].map(delayMs => {
            harness.advance(delayMs);
            harness.submit();
            harness.confirmBlobWrites();
            return harness.takeCalls("submit")[0]?.request.specification;
        });
        expect(digests[1]?.contentSha256).toEqual(digests[0]?.contentSha256);
        expect(digests[1]?.deadlineMs).toBe((digests[0]?.deadlineMs ?? 0) + 500);
    });

    it("refuses requests without a configuration lease and with wrong credentials", () => {
        // Guards against accepting work under an outdated configuration.
        const harness = new EntryHarness();
        harness.submit();
        harness.answerPoll({ configurationLeaseMs: 100 });
        harness.request("GET", "/v1/jobs/r1", "", "stranger");
        harness.advance(100);
        harness.submit();
        expect(harness.takeReplies().map(reply => [reply.status, errorCodeOf(reply)])).toEqual([
            [503, "unavailable"],
            [401, "unauthenticated"],
            [503, "unavailable"],
        ]);
        expect(harness.takeCalls("putBlob")).toEqual([]);
    });

    it("hides a job that a response attributes to another customer", () => {
        // Guards against returning a job or an answer to the wrong customer.
        const harness = createReadyHarness();
        harness.request("GET", "/v1/jobs/r1", "", "other");
        const lookUp = harness.takeCalls("lookUp")[0];
        expect(lookUp?.request.customer).toBe("other");
        harness.reply(lookUp, create(p.LookUpResponseSchema, { result: { case: "job", value: jobOf({}) } }));
        expect(harness.takeReplies().map(reply => [reply.status, errorCodeOf(reply)])).toEqual([[
            404,
            "unknown-request",
        ]]);
    });
});

describe("EntryNode: answers", () => {
    const createWaitingHarness = (options: Partial<EntryOptions> = {}): EntryHarness => {
        const harness = createReadyHarness(options);
        harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.confirmBlobWrites();
        harness.reply(harness.takeCalls("submit")[0], jobResponse(jobOf({})));
        return harness;
    };
    const { reference, data } = blobOf(`{"n":12345678901234567890}`);
    const ended = jobOf({ state: p.JobState.ENDED, outcome: p.Outcome.COMPLETED, answer: reference });
    const outcomeOrder = (sequence: number): p.Order =>
        create(p.OrderSchema, { sequence, kind: p.OrderKind.OUTCOME, job: ended });

    it("answers a waiting caller on the outcome order with verified bytes", () => {
        // Guards against returning an answer that a blob store has corrupted.
        const harness = createWaitingHarness();
        harness.advance(20);
        harness.answerPoll({ orders: [outcomeOrder(1)] });
        harness.reply(harness.takeCalls("getBlob")[0], create(p.GetBlobResponseSchema, { data: blobOf("{}").data }));
        expect(harness.takeReplies()).toEqual([]);
        harness.reply(harness.takeCalls("getBlob")[0], create(p.GetBlobResponseSchema, { data }));
        const reply = harness.takeReplies()[0];
        expect(reply?.json).toContain(`"answer":{"n":12345678901234567890}}`);
    });

    it("keeps small blobs in their references, and answers with them only if they match the digest", () => {
        // Guards against returning an inline answer that was corrupted in the replicated log.
        const harness = createReadyHarness({ limits: { inlineBlobBytes: 256 } });
        harness.submit("/v1/jobs/r1?waitMs=3000");
        expect(harness.takeCalls("putBlob")).toEqual([]);
        const call = harness.takeCalls("submit")[0];
        const { inline = new Uint8Array(), sizeBytes } = call?.request.specification?.payload ?? {};
        expect(inline.length).toBe(sizeBytes);
        harness.reply(call, jobResponse(jobOf({ ...ended, answer: { ...reference, inline: blobOf("{}").data } })));
        harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.reply(
            harness.takeCalls("submit")[0],
            jobResponse(jobOf({ ...ended, answer: { ...reference, inline: data } })),
        );
        expect(harness.takeCalls("getBlob")).toEqual([]);
        const [corrupted, intact] = harness.takeReplies();
        expect(corrupted?.status).toBe(503);
        expect(intact?.json).toContain(`"answer":{"n":12345678901234567890}}`);
    });

    it("returns an answer's bytes with their digest, and no answer before the end or after the acknowledgement", () => {
        // Guards against an incomplete answer that a caller takes for a complete one.
        const harness = createReadyHarness();
        const replies = [ended, jobOf({}), jobOf({ ...ended, acknowledged: true })].map(job => {
            harness.request("GET", "/v1/jobs/r1/answer");
            const found = create(p.LookUpResponseSchema, { result: { case: "job", value: job } });
            harness.reply(harness.takeCalls("lookUp")[0], found);
            harness.reply(harness.takeCalls("getBlob")[0], create(p.GetBlobResponseSchema, { data }));
            return harness.takeReplies()[0];
        });
        expect(replies.map(reply => reply?.status)).toEqual([200, 404, 404]);
        expect(replies[0]?.bytes).toEqual(data);
        expect(replies[0]?.headers.digest).toBe(`sha-256=${Buffer.from(reference.sha256).toString("base64")}`);
    });

    it("cancels and acknowledges only jobs of the caller's own customer", () => {
        // Guards against one customer cancelling or deleting another one's jobs.
        const harness = createReadyHarness();
        harness.request("POST", "/v1/jobs:cancel", `{"requestIds":["r1","r2","r1"]}`, "other");
        const cancel = harness.takeCalls("cancel")[0];
        expect(cancel?.request).toMatchObject({ customer: "other", requestIds: ["r1", "r2"] });
        const results = [jobOf({}, "r1", "other"), jobOf({}, "r2")].map(job => ({
            result: { case: "job" as const, value: job },
        }));
        harness.reply(cancel, create(p.CancelResponseSchema, { results }));
        const reply = JSON.parse(harness.takeReplies()[0]?.json ?? "") as { results: Record<string, unknown>[] };
        expect(reply.results.map(result => "job" in result)).toEqual([true, false]);
        harness.request("POST", "/v1/jobs/r1/acknowledge", "", "other");
        const acknowledge = harness.takeCalls("acknowledge")[0];
        expect(acknowledge?.request).toMatchObject({ customer: "other", requestId: "r1" });
        harness.reply(acknowledge, create(p.AcknowledgeResponseSchema, {}));
        expect(harness.takeReplies().map(({ status }) => status)).toEqual([200]);
    });

    it("keeps the blob cache within its limit", () => {
        // Guards against unbounded memory use by payloads and answers.
        const harness = createReadyHarness({ limits: { cachedBlobBytes: 1_000 } });
        for (let number = 0; number < 20; number += 1) {
            const payload = `"${"x".repeat(90 + number)}"`;
            harness.request("PUT", `/v1/jobs/r${number}`, `{"workClass":"trial","payload":${payload}}`);
        }
        const { cachedBlobBytes } = harness.entry.sizes();
        expect(cachedBlobBytes).toBeGreaterThan(800);
        expect(cachedBlobBytes).toBeLessThanOrEqual(1_000);
    });

    it("replies once, with the current state, when the wait times out, and not to disconnected callers", () => {
        // Guards against two replies to one request and against a leak of waiting callers.
        const harness = createWaitingHarness();
        const disconnected = harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.confirmBlobWrites();
        harness.reply(harness.takeCalls("submit")[0], jobResponse(jobOf({})));
        harness.entry.handleCallerDisconnect(disconnected);
        harness.advance(3_100);
        harness.answerPoll({ orders: [outcomeOrder(1)] });
        expect(harness.takeReplies().map(reply => reply.status)).toEqual([202]);
        expect(harness.entry.sizes()).toMatchObject({ callers: 0, waitingCallers: 0 });
    });

    it("looks the job up when no outcome order arrives after its end was settled here", () => {
        // Guards against callers that wait until their timeout because the order was lost with the old leader.
        const harness = createWaitingHarness();
        harness.backendServer("/backend/v1/results", { ...TASK_RESULT_IDENTITY, end: "completed", answer: 5 });
        harness.confirmBlobWrites();
        harness.reply(harness.takeCalls("report")[0], create(p.ReportResponseSchema, { settledEnds: [0] }));
        expect(harness.takeReplies()).toEqual([]);
        harness.advance(30);
        const job = jobOf({ state: p.JobState.ENDED, outcome: p.Outcome.COMPLETED, answer: blobOf("5").reference });
        const found = create(p.LookUpResponseSchema, { result: { case: "job", value: job } });
        harness.reply(harness.takeCalls("lookUp")[0], found);
        expect(harness.takeReplies().map(reply => reply.json?.endsWith(`"answer":5}`))).toEqual([true]);
    });

    it("answers at once when the outcome arrives before the reply to the submission", () => {
        // Guards against waiting for an outcome that has already been delivered.
        const harness = createReadyHarness();
        harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.confirmBlobWrites();
        harness.answerPoll();
        harness.advance(20);
        const notRun = jobOf({ state: p.JobState.ENDED, outcome: p.Outcome.NOT_RUN, reason: p.Reason.QUEUE_FULL });
        const order = create(p.OrderSchema, { sequence: 1, kind: p.OrderKind.OUTCOME, job: notRun });
        harness.answerPoll({ orders: [order] });
        harness.reply(harness.takeCalls("submit")[0], jobResponse(jobOf({})));
        expect(harness.takeReplies().map(reply => reply.json)).toEqual([expect.stringContaining(`"not-run"`)]);
    });

    it("limits waiting callers and requests in progress", () => {
        // Guards against unbounded memory use under overload.
        const harness = createWaitingHarness({ limits: { waitingCallers: 1, requestsInProgress: 2 } });
        const second = harness.submit("/v1/jobs/r2?waitMs=3000");
        harness.submit("/v1/jobs/r3");
        expect(errorCodeOf(harness.takeReplies()[0])).toBe("overloaded");
        harness.confirmBlobWrites();
        harness.reply(harness.takeCalls("submit")[0], jobResponse(jobOf({}, "r2")));
        expect(harness.takeReplies().map(reply => [reply.requestHandle, reply.status])).toEqual([[second, 202]]);
    });
});
