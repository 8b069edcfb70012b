import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import * as p from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { sha256Of } from "./blobs/blob-cache.js";
import { bearerTokenOf, makeCredential } from "./configuration/credentials.js";
import { EntryEffectKind } from "./effects.js";
import type { CallBackendServer, CallControl, ControlMethod, ControlRequest, ControlResponse } from "./effects.js";
import type { EntryEffect, ReplyToBackendServer, ReplyToCaller } from "./effects.js";
import { EntryNode } from "./entry-node.js";
import type { EntryOptions } from "./settings.js";

const SECRET = "secret";
const CONTROL = ["c1", "c2", "c3"];

const configuration = create(p.ConfigurationSchema, {
    revision: 1,
    contracts: ["acme", "other"].map(customer => ({
        customer,
        credentials: [makeCredential("key", SECRET)],
    })),
});

const jobOf = (fields: Partial<p.Job>, requestId = "r1", customer = "acme"): p.Job =>
    create(p.JobSchema, {
        specification: create(p.JobSpecificationSchema, { customer, requestId, workClass: "trial" }),
        state: p.JobState.ACTIVE,
        acceptedAtMs: 7,
        entryId: "e1",
        ...fields,
    } as p.Job);

const jobResponse = (job: p.Job, order?: p.Order): p.SubmitResponse =>
    create(p.SubmitResponseSchema, { result: { case: "job", value: job }, order });

const notLeader = (leaderAddress: string): ControlResponse =>
    create(p.SubmitResponseSchema, {
        result: {
            case: "error",
            value: create(p.ErrorDetailSchema, { code: p.ErrorCode.NOT_LEADER, leaderAddress }),
        },
    });

const blobOf = (text: string): { reference: p.BlobReference; data: Uint8Array } => {
    const data = new Uint8Array(Buffer.from(text));
    return { reference: create(p.BlobReferenceSchema, { sha256: sha256Of(data), sizeBytes: data.length }), data };
};

const startOrder = (payload: p.BlobReference, fields: Partial<p.Order> = {}): p.Order =>
    create(p.OrderSchema, {
        sequence: 1,
        kind: p.OrderKind.START,
        customer: "acme",
        requestId: "r1",
        attemptNumber: 1,
        backendServerId: "s1",
        incarnation: "i1",
        backendServerAddress: "s1:1",
        term: 1,
        startDeadlineBackendMs: 900,
        specification: create(p.JobSpecificationSchema, { customer: "acme", requestId: "r1", payload }),
        ...fields,
    } as p.Order);

/** Drives one entry; what is not answered stays open. */
class Harness {
    readonly entry: EntryNode;
    nowMs = 0;
    #effects: EntryEffect[] = [];
    #nextHandle = 1;

    constructor(options: Partial<EntryOptions> = {}) {
        const identity = { entryId: "e1", incarnation: "1", address: "e1:1", availabilityZone: "a" };
        this.entry = new EntryNode({ ...identity, controlAddresses: CONTROL, ...options }, 0);
    }

    #collect(): EntryEffect[] {
        this.#effects.push(...this.entry.takeEffects());
        return this.#effects;
    }

    /** Removes and returns the calls of a method that were made. */
    calls<M extends ControlMethod>(method: M): (CallControl & { request: ControlRequest<M> })[] {
        const isCall = (effect: EntryEffect) => effect.kind === EntryEffectKind.CallControl && effect.method === method;
        const calls = this.#collect().filter(isCall);
        this.#effects = this.#effects.filter(effect => !isCall(effect));
        return calls as (CallControl & { request: ControlRequest<M> })[];
    }

    take<T extends EntryEffect>(kind: T["kind"]): T[] {
        const taken = this.#collect().filter(effect => effect.kind === kind);
        this.#effects = this.#effects.filter(effect => effect.kind !== kind);
        return taken as T[];
    }

    reply(call: CallControl | undefined, response: ControlResponse): void {
        this.entry.controlReplied(call?.callId ?? -1, response, this.nowMs);
    }

    fail(callId: number, code: p.ErrorCode): void {
        this.entry.callFailed(callId, new StepError(code, "test", "peer", "failed"), this.nowMs);
    }

    advance(byMs: number): void {
        for (let passedMs = 0; passedMs < byMs; passedMs += 10) {
            this.nowMs += 10;
            this.entry.tick(this.nowMs);
        }
    }

    answerPoll(fields: Partial<p.PollResponse> = {}): void {
        const poll = this.calls("poll").at(-1);
        this.reply(
            poll,
            create(p.PollResponseSchema, {
                term: 1,
                revision: 1,
                configuration,
                configurationLeaseMs: 60_000,
                ...fields,
            } as p.PollResponse),
        );
    }

    putBlobs(count = CONTROL.length): void {
        this.calls("putBlob").slice(0, count).forEach(call => {
            this.reply(call, create(p.PutBlobResponseSchema, {}));
        });
    }

    request(method: string, path: string, body = "", customer = "acme"): number {
        const handle = this.#nextHandle;
        this.#nextHandle += 1;
        const headers = { authorization: `Bearer ${bearerTokenOf(customer, "key", SECRET)}` };
        this.entry.callerRequest(handle, { method, path, headers, body: Buffer.from(body) }, this.nowMs);
        return handle;
    }

    submit(path = "/v1/jobs/r1"): number {
        return this.request("PUT", path, `{"workClass":"trial","payload":{"runMs":1},"deadlineInMs":5000}`);
    }

    backendServer(path: string, body: unknown): number {
        const handle = this.#nextHandle;
        this.#nextHandle += 1;
        const request = { method: "POST", path, headers: {}, body: Buffer.from(JSON.stringify(body)) };
        this.entry.backendServerRequest(handle, request, this.nowMs);
        return handle;
    }

    announce(id: string, sequence = 1, incarnation = "i1"): number {
        const fields = { address: `${id}:1`, clockMs: 100 + sequence, sequence };
        return this.backendServer("/backend/v1/announce", { backendServerId: id, incarnation, ...fields });
    }

    replies(): ReplyToCaller[] {
        return this.take<ReplyToCaller>(EntryEffectKind.ReplyToCaller);
    }

    serverReplies(): ReplyToBackendServer[] {
        return this.take<ReplyToBackendServer>(EntryEffectKind.ReplyToBackendServer);
    }

    starts(): CallBackendServer[] {
        return this.take<CallBackendServer>(EntryEffectKind.CallBackendServer);
    }
}

const ready = (options: Partial<EntryOptions> = {}): Harness => {
    const harness = new Harness(options);
    harness.answerPoll();
    return harness;
};

const errorCode = (reply: { json?: string } | undefined): string =>
    (JSON.parse(reply?.json ?? "{}") as { error: { code: string } }).error.code;

const RESULT = { backendServerId: "s1", incarnation: "i1", customer: "acme", requestId: "r1", attemptNumber: 1 };

describe("EntryNode: submissions", () => {
    it("asks the leader only after a majority stored the payload, and follows hints with the same id", () => {
        // Guards against a job whose payload is lost with one VM, and against a second job after a change of leader.
        const harness = ready();
        harness.submit();
        const puts = harness.calls("putBlob");
        harness.reply(puts[0], create(p.PutBlobResponseSchema, {}));
        expect(harness.calls("submit")).toEqual([]);
        harness.fail(puts[1]?.callId ?? 0, p.ErrorCode.UNAVAILABLE);
        harness.reply(puts[2], create(p.PutBlobResponseSchema, {}));
        const first = harness.calls("submit")[0];
        harness.reply(first, notLeader("c3"));
        const second = harness.calls("submit")[0];
        expect([first?.target.address, second?.target.address]).toEqual(["c1", "c3"]);
        expect(second?.request).toEqual(first?.request);
        harness.reply(second, jobResponse(jobOf({})));
        expect(harness.replies().map(reply => reply.status)).toEqual([202]);
    });

    it("replies UNCERTAIN when the leader may have taken the job and UNAVAILABLE when it can't have", () => {
        // Guards against telling "not run" to a caller whose work runs, and against needless uncertainty.
        for (
            const { code, expected } of [
                { code: p.ErrorCode.TIMEOUT, expected: [504, "uncertain"] },
                { code: p.ErrorCode.UNAVAILABLE, expected: [503, "unavailable"] },
            ]
        ) {
            const harness = ready({ timing: { requestTimeoutMs: 300 } });
            harness.submit();
            harness.putBlobs();
            for (let round = 0; round < 40; round += 1) {
                harness.calls("submit").forEach(call => {
                    harness.fail(call.callId, code);
                });
                harness.advance(10);
            }
            const reply = harness.replies()[0];
            expect([reply?.status, errorCode(reply)]).toEqual(expected);
        }
    });

    it("gives a resend the digest of the first send although its deadline lies later", () => {
        // Guards against REQUEST_ID_REUSED for a caller that only repeats its request.
        const harness = ready();
        const digests = [0, 500].map(delayMs => {
            harness.advance(delayMs);
            harness.submit();
            harness.putBlobs();
            return harness.calls("submit")[0]?.request.specification;
        });
        expect(digests[1]?.contentSha256).toEqual(digests[0]?.contentSha256);
        expect(digests[1]?.deadlineMs).toBe((digests[0]?.deadlineMs ?? 0) + 500);
    });

    it("refuses requests without a configuration lease and with wrong credentials", () => {
        // Guards against work under a configuration that is no longer in force.
        const harness = new Harness();
        harness.submit();
        harness.answerPoll({ configurationLeaseMs: 100 });
        harness.request("GET", "/v1/jobs/r1", "", "stranger");
        harness.advance(100);
        harness.submit();
        expect(harness.replies().map(reply => [reply.status, errorCode(reply)])).toEqual([
            [503, "unavailable"],
            [401, "unauthenticated"],
            [503, "unavailable"],
        ]);
        expect(harness.calls("putBlob")).toEqual([]);
    });

    it("hides a job that a response attributes to another customer", () => {
        // Guards against handing a job or an answer to the wrong customer.
        const harness = ready();
        harness.request("GET", "/v1/jobs/r1", "", "other");
        const lookUp = harness.calls("lookUp")[0];
        expect(lookUp?.request.customer).toBe("other");
        harness.reply(lookUp, create(p.LookUpResponseSchema, { result: { case: "job", value: jobOf({}) } }));
        expect(harness.replies().map(reply => [reply.status, errorCode(reply)])).toEqual([[404, "unknown-request"]]);
    });
});

describe("EntryNode: answers", () => {
    const waiting = (options: Partial<EntryOptions> = {}): Harness => {
        const harness = ready(options);
        harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.putBlobs();
        harness.reply(harness.calls("submit")[0], jobResponse(jobOf({})));
        return harness;
    };
    const { reference, data } = blobOf(`{"n":12345678901234567890}`);
    const ended = jobOf({ state: p.JobState.ENDED, outcome: p.Outcome.COMPLETED, answer: reference });
    const outcomeOrder = (sequence: number): p.Order =>
        create(p.OrderSchema, { sequence, kind: p.OrderKind.OUTCOME, job: ended });

    it("answers a waiting caller on the outcome order with verified bytes", () => {
        // Guards against an answer from a damaged blob store.
        const harness = waiting();
        harness.advance(20);
        harness.answerPoll({ orders: [outcomeOrder(1)] });
        harness.reply(harness.calls("getBlob")[0], create(p.GetBlobResponseSchema, { data: blobOf("{}").data }));
        expect(harness.replies()).toEqual([]);
        harness.reply(harness.calls("getBlob")[0], create(p.GetBlobResponseSchema, { data }));
        const reply = harness.replies()[0];
        expect(reply?.json).toContain(`"answer":{"n":12345678901234567890}}`);
    });

    it("answers with the state when the wait ends, once, and ignores callers that have gone", () => {
        // Guards against two replies to one request and against waits that leak.
        const harness = waiting();
        const gone = harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.putBlobs();
        harness.reply(harness.calls("submit")[0], jobResponse(jobOf({})));
        harness.entry.callerGone(gone);
        harness.advance(3_100);
        harness.answerPoll({ orders: [outcomeOrder(1)] });
        expect(harness.replies().map(reply => reply.status)).toEqual([202]);
        expect(harness.entry.sizes()).toMatchObject({ callers: 0, waitingCallers: 0 });
    });

    it("asks the leader when an outcome order doesn't arrive after the end was settled here", () => {
        // Guards against callers that wait in vain when the order was lost with the old leader.
        const harness = waiting();
        harness.backendServer("/backend/v1/results", { ...RESULT, end: "completed", answer: 5 });
        harness.putBlobs();
        harness.reply(harness.calls("report")[0], create(p.ReportResponseSchema, { settledEnds: [0] }));
        expect(harness.replies()).toEqual([]);
        harness.advance(30);
        const job = jobOf({ state: p.JobState.ENDED, outcome: p.Outcome.COMPLETED, answer: blobOf("5").reference });
        const found = create(p.LookUpResponseSchema, { result: { case: "job", value: job } });
        harness.reply(harness.calls("lookUp")[0], found);
        expect(harness.replies().map(reply => reply.json?.endsWith(`"answer":5}`))).toEqual([true]);
    });

    it("answers at once when the outcome overtook the reply to the submission", () => {
        // Guards against waiting for an outcome that has already been delivered.
        const harness = ready();
        harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.putBlobs();
        harness.answerPoll();
        harness.advance(20);
        const notRun = jobOf({ state: p.JobState.ENDED, outcome: p.Outcome.NOT_RUN, reason: p.Reason.QUEUE_FULL });
        const order = create(p.OrderSchema, { sequence: 1, kind: p.OrderKind.OUTCOME, job: notRun });
        harness.answerPoll({ orders: [order] });
        harness.reply(harness.calls("submit")[0], jobResponse(jobOf({})));
        expect(harness.replies().map(reply => reply.json)).toEqual([expect.stringContaining(`"not-run"`)]);
    });

    it("bounds waiting callers and requests in progress", () => {
        // Guards against memory growth under overload.
        const harness = waiting({ limits: { waitingCallers: 1, requestsInProgress: 2 } });
        const second = harness.submit("/v1/jobs/r2?waitMs=3000");
        harness.submit("/v1/jobs/r3");
        expect(errorCode(harness.replies()[0])).toBe("overloaded");
        harness.putBlobs();
        harness.reply(harness.calls("submit")[0], jobResponse(jobOf({}, "r2")));
        expect(harness.replies().map(reply => [reply.requestHandle, reply.status])).toEqual([[second, 202]]);
    });
});

describe("EntryNode: dispatch", () => {
    const payload = blobOf(`{"runMs":1}`);
    const ordered = (): Harness => {
        const harness = ready();
        harness.advance(20);
        harness.answerPoll({ orders: [startOrder(payload.reference)] });
        harness.reply(harness.calls("getBlob")[0], create(p.GetBlobResponseSchema, { data: payload.data }));
        return harness;
    };

    it("sends a start once while it is under way and reports a lost reply as unknown", () => {
        // Guards against reporting as refused what may be running.
        const harness = ordered();
        harness.advance(20);
        harness.answerPoll({ orders: [startOrder(payload.reference, { sequence: 2 })] });
        const starts = harness.starts();
        expect(starts.map(start => start.address)).toEqual(["s1:1"]);
        expect(JSON.parse(starts[0]?.body ?? "")).toMatchObject({ startDeadlineMs: 900, payload: { runMs: 1 } });
        harness.advance(1_010);
        expect(harness.calls("report")[0]?.request.starts[0]?.result).toBe(p.StartResult.UNKNOWN);
    });

    it("acknowledges orders by sequence and term, and ignores a deposed leader", () => {
        // Guards against losing orders of a new term and against obeying an old leader.
        const harness = ordered();
        const polls = [{ term: 2, orders: [startOrder(payload.reference, { sequence: 1, term: 2 })] }, { term: 1 }]
            .map(response => {
                harness.advance(100);
                const poll = harness.calls("poll").at(-1);
                harness.reply(poll, create(p.PollResponseSchema, response as p.PollResponse));
                return [poll?.request.sequenceTerm, poll?.request.acknowledgedSequence];
            });
        expect(polls).toEqual([[1, 1], [2, 1]]);
        expect(harness.starts()).toHaveLength(2);
    });

    it("sends no start after the configuration lease has expired while the payload was fetched", () => {
        // Guards against starts under a configuration that is no longer in force.
        const harness = new Harness();
        harness.answerPoll({ configurationLeaseMs: 50, orders: [startOrder(payload.reference)] });
        harness.advance(60);
        harness.reply(harness.calls("getBlob")[0], create(p.GetBlobResponseSchema, { data: payload.data }));
        expect(harness.starts()).toEqual([]);
        expect(harness.calls("report")[0]?.request.starts[0]?.result).toBe(p.StartResult.UNKNOWN);
    });
});

describe("EntryNode: reports", () => {
    it("keeps one report under way, merges what a failed one carried, and returns leases by incarnation", () => {
        // Guards against a lease for the tasks of a process that has been replaced.
        const harness = ready();
        const handles = [harness.announce("s1"), harness.announce("s2"), harness.announce("s1", 2)];
        const first = harness.calls("report");
        expect(first.map(call => call.request.announcements.length)).toEqual([1]);
        harness.nowMs += 40;
        harness.fail(first[0]?.callId ?? 0, p.ErrorCode.UNAVAILABLE);
        harness.advance(100);
        const { request, callId } = harness.calls("report")[0] ?? { request: undefined, callId: 0 };
        const announced = request?.announcements.map(({ backendServerId, sequence }) => [backendServerId, sequence]);
        expect(announced?.sort()).toEqual([["s1", 2], ["s2", 1]]);
        expect(request?.announcements.every(({ heldMs }) => heldMs > 0 && heldMs <= 140)).toBe(true);
        const lease = { incarnation: "i1", expiresBackendMs: 9_000, term: 3 };
        const leases = [{ ...lease, backendServerId: "s1" }, { ...lease, backendServerId: "s2", incarnation: "i0" }];
        const response = create(p.ReportResponseSchema, { leases });
        harness.entry.controlReplied(callId, response, harness.nowMs);
        const replies = new Map(harness.serverReplies().map(reply => [reply.requestHandle, JSON.parse(reply.json)]));
        expect(handles.map(handle => (replies.get(handle) as { lease?: unknown }).lease)).toEqual([
            { expiresMs: 9_000, term: 3 },
            undefined,
            { expiresMs: 9_000, term: 3 },
        ]);
    });

    it("answers an announcement without a lease when the leader doesn't reply", () => {
        // Guards against a lease that the leader doesn't know of.
        const harness = ready();
        harness.announce("s1");
        harness.advance(1_010);
        const reply = harness.serverReplies()[0];
        expect([reply?.status, JSON.parse(reply?.json ?? "")]).toEqual([200, { entries: ["e1:1"] }]);
    });

    it("settles a result only when the leader says so, whatever is resent meanwhile", () => {
        // Guards against a backend server forgetting a result that no leader has.
        for (const settledEnds of [[0], []]) {
            const harness = ready();
            const body = { ...RESULT, end: "completed", answer: { ok: true } };
            harness.backendServer("/backend/v1/results", body);
            harness.backendServer("/backend/v1/results", body);
            const puts = harness.calls("putBlob");
            expect(puts).toHaveLength(CONTROL.length);
            harness.reply(puts[0], create(p.PutBlobResponseSchema, {}));
            expect(harness.calls("report")).toEqual([]);
            harness.reply(puts[1], create(p.PutBlobResponseSchema, {}));
            const report = harness.calls("report")[0];
            expect(report?.request.ends[0]?.answer).toEqual(blobOf(`{"ok":true}`).reference);
            expect(harness.serverReplies()).toEqual([]);
            harness.reply(report, create(p.ReportResponseSchema, { settledEnds }));
            const expected = JSON.stringify({ settled: settledEnds.length > 0 });
            expect(harness.serverReplies().map(reply => reply.json)).toEqual([expected, expected]);
        }
    });
});

describe("EntryNode: graceful shutdown", () => {
    it("tells the leader, refuses new work and finishes the request in progress", () => {
        // Guards against interrupting a caller by a planned shutdown.
        const harness = ready();
        harness.submit("/v1/jobs/r1?waitMs=3000");
        harness.putBlobs();
        harness.reply(harness.calls("submit")[0], jobResponse(jobOf({})));
        harness.calls("poll");
        harness.entry.drain(harness.nowMs);
        expect(harness.calls("poll").map(poll => poll.request.leaving)).toEqual([true]);
        harness.submit("/v1/jobs/r2");
        harness.announce("s1");
        expect(harness.replies().map(errorCode)).toEqual(["unavailable"]);
        expect(harness.serverReplies().map(errorCode)).toEqual(["unavailable"]);
        expect(harness.entry.isDrained).toBe(false);
        harness.advance(810);
        const order = create(p.OrderSchema, { sequence: 1, kind: p.OrderKind.OUTCOME });
        order.job = jobOf({ state: p.JobState.ENDED, outcome: p.Outcome.CANCELLED });
        harness.answerPoll({ orders: [order] });
        expect(harness.replies().map(reply => reply.status)).toEqual([200]);
        expect(harness.entry.isDrained).toBe(true);
    });
});
