import { create } from "@bufbuild/protobuf";
import {
    AttemptEnd,
    AttemptState,
    ErrorCode,
    HealthState,
    JobState,
    OperatorQuerySchema,
    OrderKind,
    Outcome,
    QueryKind,
    Reason,
    StartResult,
} from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { contractOf, Harness, specificationFor } from "./test-kit/fixtures.js";
import { cancel, CHECKPOINT, endReport, startReport, submitAndStart } from "./test-kit/reports.js";

describe("submission", () => {
    it("runs a request from submission to its answer, with the start in the response", () => {
        const harness = Harness.ready(2);
        const { order, result } = harness.submit(specificationFor("r1", "check"));
        expect(result.case).toBe("job");
        expect(order).toMatchObject({ kind: OrderKind.START, attemptNumber: 1, incarnation: "i1", term: 1 });
        expect(order?.startDeadlineBackendMs).toBe(harness.nowMs + 1_000);
        expect(order?.leaseExpiresBackendMs).toBe(harness.nowMs + 10_000);
        harness.report({ starts: [startReport("r1", 1)] });
        expect(harness.job("r1").attempt?.state).toBe(AttemptState.RUNNING);
        const answer = { sha256: new Uint8Array([9]), sizeBytes: 1 };
        const end = { ...endReport("r1", 1, order?.backendServerId ?? ""), answer };
        expect(harness.report({ ends: [end] }).settledEnds).toEqual([0]);
        expect(harness.job("r1")).toMatchObject({ state: JobState.ENDED, outcome: Outcome.COMPLETED });
        expect(harness.job("r1").answer?.sizeBytes).toBe(1);
    });

    it("returns the job of a repeated request and refuses different content under the same id", () => {
        const harness = Harness.ready(1);
        harness.submit(specificationFor("r1", "trial"));
        const repeated = harness.submit(specificationFor("r1", "trial"), "e2");
        expect(repeated.result).toMatchObject({ case: "job", value: { attemptsMade: 1 } });
        expect(repeated.order).toBeUndefined();
        const other = harness.submit(specificationFor("r1", "trial", { contentSha256: new Uint8Array([4]) }));
        expect(other.result).toMatchObject({ case: "error", value: { code: ErrorCode.REQUEST_ID_REUSED } });
        harness.report({ starts: [startReport("r1", 1)], ends: [endReport("r1", 1, "s1")] });
        harness.poll("e2");
        expect(harness.advance(1_000).map(({ entryId, order }) => [entryId, order.kind])).toEqual([
            ["e1", OrderKind.OUTCOME],
            ["e2", OrderKind.OUTCOME],
        ]);
    });

    it("records a permanent refusal as not run, so that a late duplicate of the request does not run either", () => {
        const harness = Harness.ready(1);
        const declaredResources = { cpuMillicores: 9_000, memoryMebibytes: 1, accelerators: 0 };
        const large = specificationFor("r1", "trial", { declaredResources });
        harness.submit(large);
        harness.announce("s2", { capacity: { cpuMillicores: 20_000, memoryMebibytes: 20_000 } });
        harness.submit(large);
        harness.advance(1_000);
        const reason = Reason.LARGER_THAN_ANY_BACKEND_SERVER;
        expect(harness.job("r1")).toMatchObject({ outcome: Outcome.NOT_RUN, reason, attemptsMade: 0 });
    });

    it("refuses a request while the queue is full and returns a retry delay", () => {
        const harness = Harness.ready(0);
        const quota = { ...contractOf("acme").quota, $typeName: undefined, queuedJobs: 1 };
        harness.execute({ case: "writeContract", value: contractOf("acme", { quota }) });
        harness.submit(specificationFor("r1", "trial"));
        const { result } = harness.submit(specificationFor("r2", "trial"));
        expect(result).toMatchObject({ case: "error", value: { code: ErrorCode.OVERLOADED, retryAfterMs: 1_000 } });
    });

    it("chooses no server that became silent while the leader was paused", () => {
        const harness = Harness.ready(1);
        harness.nowMs += 5_000;
        expect(harness.submit(specificationFor("r1", "check")).order).toBeUndefined();
        expect(harness.scheduler.rejectedPlacements).toBe(0);
    });

    it("ends a queued job at its deadline as not run", () => {
        const harness = Harness.ready(0);
        harness.submit(specificationFor("r1", "check", { deadlineMs: harness.nowMs + 500 }));
        harness.advance(600);
        expect(harness.job("r1")).toMatchObject({ outcome: Outcome.NOT_RUN, reason: Reason.DEADLINE_PASSED });
    });

    it("evicts batch work with a checkpoint for a latency-critical request, once", () => {
        const harness = Harness.ready(1);
        ["b1", "b2", "b3", "b4"].forEach(id => submitAndStart(harness, id, "trial"));
        harness.submit(specificationFor("r1", "check"));
        const orders = harness.advance(200);
        expect(orders.map(({ order }) => order.kind)).toEqual([OrderKind.CHECKPOINT_AND_STOP]);
        const victim = orders[0]?.order.requestId ?? "";
        const stopped = { ...endReport(victim, 1, "s1", AttemptEnd.STOPPED), checkpoint: CHECKPOINT };
        harness.report({ ends: [stopped] });
        const [start] = harness.advance(100);
        expect(start?.order).toMatchObject({ kind: OrderKind.START, requestId: "r1" });
        expect(harness.job(victim)).toMatchObject({ state: JobState.QUEUED, evictions: 1, checkpoint: CHECKPOINT });
        const query = { kind: QueryKind.EXPLAIN, customer: "acme", requestId: victim };
        const { explanation } = harness.scheduler.query(create(OperatorQuerySchema, query));
        expect(explanation.join(" ")).toMatch(/preempted.*no backend server has room.*Evicted from s1/s);
    });

    it("deletes an acknowledged job after the retention of acknowledged jobs", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "check");
        harness.report({ ends: [endReport("r1", 1, "s1")] });
        harness.scheduler.acknowledge({ customer: "acme", requestId: "r1" } as never, harness.nowMs);
        harness.nowMs += 899_000;
        harness.advance(100);
        expect(harness.state.jobCount).toBe(1);
        harness.advance(1_000);
        expect(harness.state.jobCount).toBe(0);
    });
});

describe("start reports", () => {
    it("keeps the capacity while the result of a start is not known and repeats the start within its window", () => {
        const harness = Harness.ready(1);
        harness.submit(specificationFor("r1", "trial"));
        harness.report({ starts: [startReport("r1", 1, StartResult.UNKNOWN)] });
        expect(harness.state.useOfBackendServer("s1").jobKeys.size).toBe(1);
        const kinds = harness.advance(3_000).map(({ order }) => order.kind);
        expect(kinds).toEqual([OrderKind.START, OrderKind.START, OrderKind.START]);
        expect(harness.job("r1").attempt?.state).toBe(AttemptState.ASSIGNED);
    });

    it("treats a refusal as conclusive, except after an acceptance or after a repeated start", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "recall");
        harness.report({ starts: [startReport("r1", 1, StartResult.REFUSED)] });
        expect(harness.job("r1").attempt?.state).toBe(AttemptState.RUNNING);
        harness.submit(specificationFor("r2", "recall"));
        harness.report({ starts: [startReport("r2", 1, StartResult.REFUSED)] });
        expect(harness.job("r2")).toMatchObject({ state: JobState.QUEUED, everStarted: false });
        harness.submit(specificationFor("r3", "recall"));
        harness.advance(400);
        harness.report({ starts: [startReport("r3", 1, StartResult.REFUSED)] });
        expect(harness.job("r3").attempt?.state).toBe(AttemptState.ASSIGNED);
    });

    it("resolves an unanswered start only by a task list that is newer than the start deadline", () => {
        const harness = Harness.ready(1);
        harness.submit(specificationFor("r1", "recall"));
        harness.nowMs += 900;
        harness.announce("s1");
        expect(harness.job("r1").state).toBe(JobState.ACTIVE);
        harness.nowMs += 200;
        harness.announce("s1");
        expect(harness.job("r1")).toMatchObject({ state: JobState.QUEUED, everStarted: false });
    });

    it("stops a task that is not in the state", () => {
        const harness = Harness.ready(1);
        harness.announce("s1", {}, [["ghost", 3]]);
        const order = { kind: OrderKind.STOP, requestId: "ghost", attemptNumber: 3, backendServerId: "s1" };
        expect(harness.released.at(-1)?.order).toMatchObject(order);
    });
});

describe("leases and incarnations", () => {
    it("records a task as lost only after its lease has certainly expired and ignores its end afterwards", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "recall");
        harness.advance(10_600);
        expect(harness.job("r1").state).toBe(JobState.ACTIVE);
        harness.advance(600);
        const lost = { outcome: Outcome.INTERRUPTED, reason: Reason.BACKEND_SERVER_LOST };
        expect(harness.job("r1")).toMatchObject(lost);
        expect(harness.report({ ends: [endReport("r1", 1, "s1")] }).settledEnds).toEqual([0]);
        expect(harness.job("r1")).toMatchObject(lost);
    });

    it("lets a new leader assume that every lease was renewed when it was elected", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "trial");
        harness.advance(9_000);
        harness.changeLeader();
        harness.advance(10_500);
        expect(harness.job("r1").state).toBe(JobState.ACTIVE);
        harness.advance(400);
        expect(harness.job("r1")).toMatchObject({ state: JobState.QUEUED, reason: Reason.BACKEND_SERVER_LOST });
    });

    it("ends attempts once a restart inside the start window is proved by a returned token", () => {
        const harness = Harness.ready(1);
        harness.submit(specificationFor("r1", "recall"));
        harness.submit(specificationFor("r2", "trial"));
        harness.nowMs += 500;
        const [challenge] = harness.announce("s1", { incarnation: "i2", clockMs: 10 }).leases;
        expect(challenge).toMatchObject({ incarnation: "i2", expiresBackendMs: 10 });
        expect(harness.job("r1").state).toBe(JobState.ACTIVE);
        harness.announce("s1", { incarnation: "i2", clockMs: 20, leaseToken: challenge?.token ?? "" });
        expect(harness.job("r1").outcome).toBe(Outcome.INTERRUPTED);
        expect(harness.job("r2").state).toBe(JobState.QUEUED);
        expect(harness.state.backendServer("s1")?.formerIncarnations).toEqual(["i1"]);
    });

    it("keeps the tasks of a silent server when a delayed announcement of an unknown incarnation arrives", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "recall");
        harness.advance(5_000);
        harness.announce("s1", { incarnation: "i0" });
        harness.advance(500);
        harness.announce("s1", { incarnation: "i0" });
        expect(harness.job("r1").attempt).toMatchObject({ incarnation: "i1", state: AttemptState.RUNNING });
        harness.announce("s1", {}, [["r1", 1]]);
        harness.advance(5_200);
        expect(harness.job("r1").attempt?.state).toBe(AttemptState.RUNNING);
        harness.advance(6_000);
        harness.announce("s1", { incarnation: "i2" });
        expect(harness.job("r1").outcome).toBe(Outcome.INTERRUPTED);
    });

    it("ignores delayed announcements of a former incarnation, also after a change of leader", () => {
        const harness = Harness.ready(1);
        harness.nowMs += 1_500;
        harness.announce("s1", { incarnation: "i2" });
        submitAndStart(harness, "r1", "recall");
        harness.changeLeader();
        harness.nowMs += 5_000;
        expect(harness.announce("s1", { incarnation: "i1" }).leases[0]?.expiresBackendMs).toBe(harness.nowMs);
        expect(harness.job("r1").attempt).toMatchObject({ incarnation: "i2", state: AttemptState.RUNNING });
    });

    it("ignores an announcement that arrives after a newer one", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "recall");
        harness.nowMs += 2_000;
        harness.announce("s1", { sequence: 50, leaving: true }, [["r1", 1]]);
        expect(harness.announce("s1", { sequence: 49 }).leases).toEqual([]);
        expect(harness.state.backendServer("s1")?.leaving).toBe(true);
        expect(harness.job("r1").attempt?.state).toBe(AttemptState.RUNNING);
    });
});

describe("capacity of servers", () => {
    it("evicts only what no longer fits when a server shrinks and places nothing there meanwhile", () => {
        const harness = Harness.ready(1);
        ["r1", "r2", "r3"].forEach(id => submitAndStart(harness, id, "trial"));
        const smaller = { capacity: { cpuMillicores: 4_500, memoryMebibytes: 4_500 } };
        const tasks = [["r1", 1], ["r2", 1], ["r3", 1]] as const;
        harness.announce("s1", smaller, tasks);
        harness.announce("s1", smaller, tasks);
        expect(harness.submit(specificationFor("r4", "trial")).order).toBeUndefined();
        const stops = harness.advance(100).filter(({ order }) => order.kind === OrderKind.CHECKPOINT_AND_STOP);
        expect(stops.map(({ order }) => order.requestId)).toEqual(["r3"]);
        harness.report({ ends: [endReport("r3", 1, "s1", AttemptEnd.STOPPED)] });
        harness.announce("s1", smaller, tasks.slice(0, 2));
        expect(harness.state.backendServer("s1")?.capacity?.cpuMillicores).toBe(4_500);
    });

    it("removes a server that stays silent, once its tasks are lost", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "trial");
        harness.nowMs += 310_000;
        harness.advance(100);
        expect(harness.state.backendServerCount).toBe(0);
        expect(harness.job("r1").reason).toBe(Reason.BACKEND_SERVER_LOST);
    });
});

describe("ends and cancellations", () => {
    it("resumes non-repeatable work from the checkpoint of its stop and never without one", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "recall");
        harness.report({ ends: [{ ...endReport("r1", 1, "s1", AttemptEnd.STOPPED), checkpoint: CHECKPOINT }] });
        const [start] = harness.advance(100);
        expect(start?.order).toMatchObject({ attemptNumber: 2, checkpoint: CHECKPOINT });
        harness.report({ starts: [startReport("r1", 2)] });
        harness.report({ ends: [endReport("r1", 2, "s1", AttemptEnd.STOPPED)] });
        expect(harness.job("r1").outcome).toBe(Outcome.INTERRUPTED);
    });

    it("records a single outcome if a cancellation and an end race, whichever comes first", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "trial");
        submitAndStart(harness, "r2", "trial");
        cancel(harness, "r1", "r2", "unknown");
        expect(harness.advance(100).map(({ order }) => order.kind)).toEqual([OrderKind.STOP, OrderKind.STOP]);
        harness.report({ ends: [endReport("r1", 1, "s1"), endReport("r1", 1, "s1", AttemptEnd.STOPPED)] });
        harness.report({ ends: [endReport("r2", 1, "s1", AttemptEnd.STOPPED), endReport("r2", 1, "s1")] });
        expect(cancel(harness, "r1").results[0]?.result.case).toBe("job");
        expect([harness.job("r1").outcome, harness.job("r2").outcome]).toEqual([
            Outcome.COMPLETED,
            Outcome.CANCELLED,
        ]);
    });

    it("reports a cancelled start as not run only if the server never accepted it", () => {
        const harness = Harness.ready(1);
        harness.submit(specificationFor("r1", "trial"));
        cancel(harness, "r1");
        expect(harness.job("r1").state).toBe(JobState.ACTIVE);
        harness.nowMs += 1_100;
        harness.announce("s1");
        expect(harness.job("r1")).toMatchObject({ outcome: Outcome.NOT_RUN, reason: Reason.CANCELLED });
    });

    it("distinguishes a faulty job from a faulty server", () => {
        const harness = Harness.ready(6);
        const failOn = (requestId: string): void => {
            const { number = 0, backendServerId = "" } = harness.job(requestId).attempt ?? {};
            harness.report({ ends: [endReport(requestId, number, backendServerId, AttemptEnd.TASK_ERROR)] });
        };
        harness.submit(specificationFor("bad", "trial"));
        for (let failures = 0; failures < 3; failures += 1) {
            failOn("bad");
            [1, 2, 3, 4, 5, 6].forEach(number => harness.announce(`s${number}`));
            harness.advance(1_500);
        }
        expect(harness.job("bad")).toMatchObject({ outcome: Outcome.FAILED, reason: Reason.FAILS_EVERYWHERE });
        const single = Harness.ready(1);
        ["r1", "r2", "r3"].forEach(id => {
            submitAndStart(single, id, "recall");
            single.report({ ends: [endReport(id, 1, "s1", AttemptEnd.TASK_ERROR)] });
        });
        expect(single.state.backendServer("s1")?.health).toBe(HealthState.QUARANTINED);
        expect(single.submit(specificationFor("r4", "trial")).order).toBeUndefined();
    });
});

describe("orders", () => {
    it("are resent through another entry when the submitting one is silent, and after a change of leader", () => {
        const harness = Harness.ready(1);
        harness.poll("e2");
        harness.submit(specificationFor("r1", "trial"), "e2");
        expect(harness.advance(300).map(({ entryId }) => entryId)).toEqual(["e2"]);
        harness.changeLeader();
        harness.announce("s1");
        const [repeated] = harness.advance(100);
        expect(repeated).toMatchObject({ entryId: "e1", order: { kind: OrderKind.START, attemptNumber: 1, term: 2 } });
    });
});
