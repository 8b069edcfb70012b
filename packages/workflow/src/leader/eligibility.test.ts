import { expect, it } from "vitest";
import type { QueueContract } from "../model/configuration.js";
import { RunEnd } from "../model/heartbeat.js";
import { configurationOf, heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";
import type { EligibilityQuery, EligibleServer } from "./eligibility.js";
import { Exclusion } from "./placement.js";

const TIMING = { decisionMs: 50, perServerMs: 5, validityMs: 2_000 };

interface OpenQuery {
    query: EligibilityQuery;
    respond: (eligible: readonly EligibleServer[] | undefined) => void;
}

/** Starts a leader whose only queue requires approvals, and records its queries to the eligibility service. */
const startLeader = (timing = TIMING): { replica: SingleReplica; queries: OpenQuery[] } => {
    const queries: OpenQuery[] = [];
    const replica = SingleReplica.started({
        queryEligibility: (query, respond) =>
            void queries.push({ query, respond: eligible => respond(eligible, replica.times.nowMs) }),
    });
    const [queue] = configurationOf(2).queues;
    const queues = [{ ...queue as QueueContract, eligibility: timing }];
    replica.node.configure(configurationOf(2, { queues }), () => undefined, replica.times);
    replica.settle();
    return { replica, queries };
};

// Guards against starts without an approval, which backend servers reject, so that the job never runs.
it("starts a step only on servers that the service approves, with the approval's token", () => {
    const { replica, queries } = startLeader();
    replica.heartbeat(heartbeatOf("a", 1));
    replica.heartbeat(heartbeatOf("b", 1));
    replica.submit(jobOf("j", stepOf()));
    expect(replica.heartbeat(heartbeatOf("a", 2))?.starts).toEqual([]);
    expect(queries.map(({ query }) => [query.step, query.serverIds.sort()])).toEqual([["j.0.0", ["a", "b"]]]);
    queries[0]?.respond([{ serverId: "b", token: "approved" }]);
    replica.settle();
    expect(replica.heartbeat(heartbeatOf("a", 3))?.starts).toEqual([]);
    const starts = replica.heartbeat(heartbeatOf("b", 2))?.starts;
    expect(starts?.map(start => [start.task, start.eligibilityToken])).toEqual([["j.0.0.0", "approved"]]);
});

// Guards against the use of an approval after it has expired.
it("queries again when an approval has expired, and never again about a server that was refused", () => {
    const { replica, queries } = startLeader();
    replica.heartbeat(heartbeatOf("a", 1));
    replica.heartbeat(heartbeatOf("b", 1));
    replica.submit(jobOf("j", stepOf({ taskCount: 5 })));
    queries[0]?.respond([{ serverId: "b", token: "first" }]);
    replica.settle();
    expect(replica.heartbeat(heartbeatOf("b", 2))?.starts).toHaveLength(4);
    replica.advance(TIMING.validityMs);
    replica.heartbeat(heartbeatOf("a", 2));
    const ended = [0, 1, 2, 3].map(index => ({
        sequence: index + 1,
        task: `j.0.0.${index}`,
        run: 1,
        end: RunEnd.Done,
        checkpoint: "",
    }));
    replica.heartbeat(heartbeatOf("b", 3, { ended }));
    expect(queries.at(-1)?.query.serverIds).toEqual(["b"]);
    queries.at(-1)?.respond([{ serverId: "b", token: "second" }]);
    replica.settle();
    const starts = replica.heartbeat(heartbeatOf("b", 4))?.starts;
    expect(starts?.map(start => start.eligibilityToken)).toEqual(["second"]);
});

// Guards against a wait for approvals that looks the same whatever its cause: no answer yet, a refusal, or approvals that are
// too old when they could be used.
it("reports why a waiting task has no approval of a server", () => {
    const { replica, queries } = startLeader();
    const exclusionsOf = (): unknown => replica.node.session?.waitReports(replica.times)[0]?.excludedServers;
    replica.heartbeat(heartbeatOf("a", 1));
    replica.heartbeat(heartbeatOf("b", 1));
    const large = { cpuMillicores: 4_000, memoryMebibytes: 1, accelerators: 0 };
    replica.submit(jobOf("j", stepOf({ taskCount: 2, amounts: large })));
    replica.heartbeat(heartbeatOf("a", 2));
    replica.heartbeat(heartbeatOf("b", 2));
    replica.advance(3_100);
    replica.heartbeat(heartbeatOf("a", 3));
    replica.heartbeat(heartbeatOf("b", 3));
    expect(exclusionsOf()).toEqual({ [Exclusion.ApprovalPending]: 2 });
    queries[0]?.respond([{ serverId: "b", token: "approved" }]);
    replica.advance(TIMING.validityMs);
    expect(exclusionsOf()).toEqual({ [Exclusion.NotEligible]: 1, [Exclusion.ApprovalExpired]: 1 });
});

// Guards against flooding the eligibility service with queries while it does not respond.
it("waits after a query without a response, and sends one query at a time for a step", () => {
    const { replica, queries } = startLeader();
    replica.heartbeat(heartbeatOf("a", 1));
    replica.submit(jobOf("j", stepOf()));
    queries[0]?.respond(undefined);
    replica.settle();
    replica.heartbeat(heartbeatOf("a", 2));
    expect(queries).toHaveLength(1);
    replica.advance(300);
    replica.heartbeat(heartbeatOf("a", 3));
    replica.heartbeat(heartbeatOf("a", 4));
    expect(queries).toHaveLength(2);
});

// Guards against a start without an approval after a change of the leader, which the backend server rejects: the new
// leader knows neither the approval with which its predecessor planned the run nor any other.
it("plans a run again that a former leader recorded, once the service has approved a server", () => {
    const { replica, queries } = startLeader();
    replica.heartbeat(heartbeatOf("a", 1));
    replica.submit(jobOf("j", stepOf()));
    queries[0]?.respond([{ serverId: "a", token: "first" }]);
    replica.settle();
    replica.failOver();
    const early = [2, 3, 4].flatMap(sequence => {
        const starts = replica.heartbeat(heartbeatOf("a", sequence))?.starts ?? [];
        replica.advance(600);
        return starts;
    });
    expect(early).toEqual([]);
    replica.heartbeat(heartbeatOf("a", 5));
    expect(queries).toHaveLength(2);
    queries.at(-1)?.respond([{ serverId: "a", token: "second" }]);
    replica.settle();
    const starts = replica.heartbeat(heartbeatOf("a", 6))?.starts;
    expect(starts?.map(start => [start.task, start.eligibilityToken])).toEqual([["j.0.0.0", "second"]]);
});

// Guards against a job that waits forever behind another one of its queue that no server may run, after an operator has
// made approvals a condition of the queue.
it("queries for each step, also for jobs that were accepted before the queue needed approvals", () => {
    const queries: OpenQuery[] = [];
    const replica = SingleReplica.started({
        queryEligibility: (query, respond) =>
            void queries.push({ query, respond: eligible => respond(eligible, replica.times.nowMs) }),
    });
    replica.submit(jobOf("refused", stepOf()));
    replica.submit(jobOf("approved", stepOf()));
    const [queue] = configurationOf(2).queues;
    const queues = [{ ...queue as QueueContract, eligibility: TIMING }];
    replica.node.configure(configurationOf(2, { queues }), () => undefined, replica.times);
    replica.settle();
    for (let sequence = 1; sequence < 4; sequence += 1) {
        replica.heartbeat(heartbeatOf("a", sequence));
        for (const { query, respond } of queries.splice(0)) {
            respond(query.step === "approved.0.0" ? [{ serverId: "a", token: "approved" }] : []);
        }
        replica.settle();
    }
    const starts = replica.heartbeat(heartbeatOf("a", 4))?.starts;
    expect(starts?.map(start => start.task)).toEqual(["approved.0.0.0"]);
});

/** Approves all servers of a query. */
const approve = ({ query, respond }: OpenQuery, token: string): void =>
    respond(query.serverIds.map(serverId => ({ serverId, token })));

/** Whole capacity of a server in these tests. */
const LARGE = { cpuMillicores: 4_000, memoryMebibytes: 1, accelerators: 0 };

// Guards against a job that never starts on an idle fleet (review/12): the service takes most of the validity for its answer,
// and approvals whose validity was counted from the query were out of date when they came.
it.each([
    ["1.5 s of a validity of 2 s", { decisionMs: 300, perServerMs: 75, validityMs: 2_000 }, 1_500],
    ["0.8 s of a validity of 1 s", { decisionMs: 500, perServerMs: 20, validityMs: 1_000 }, 800],
    ["longer than the validity", { decisionMs: 1_500, perServerMs: 0, validityMs: 1_000 }, 1_500],
])("starts a task if an answer takes %s", (unusedName, timing, answerMs) => {
    const { replica, queries } = startLeader(timing);
    replica.heartbeat(heartbeatOf("a", 1));
    replica.submit(jobOf("j", stepOf()));
    replica.advance(answerMs);
    queries.forEach(query => approve(query, "approved"));
    replica.settle();
    const starts = replica.heartbeat(heartbeatOf("a", 2))?.starts;
    expect(starts?.map(start => start.eligibilityToken)).toEqual(["approved"]);
});

// Guards against a query that asks about so many servers that the answer can be of no use.
it("asks about as many servers as the service decides on well within the validity", () => {
    const { replica, queries } = startLeader({ decisionMs: 100, perServerMs: 100, validityMs: 1_000 });
    for (let index = 0; index < 16; index += 1) {
        replica.heartbeat(heartbeatOf(`s${index}`, 1));
    }
    replica.submit(jobOf("j", stepOf({ taskCount: 12, amounts: LARGE })));
    expect(queries.map(({ query }) => query.serverIds.length)).toEqual([6]);
});

// Guards against queries that wait behind another one for so long that their answers can be of no use.
it("sends no second query behind one that takes most of the validity", () => {
    const { replica, queries } = startLeader({ decisionMs: 600, perServerMs: 0, validityMs: 1_000 });
    replica.heartbeat(heartbeatOf("a", 1));
    replica.submit(jobOf("j", stepOf()));
    replica.submit(jobOf("k", stepOf()));
    expect(queries.map(({ query }) => query.step)).toEqual(["j.0.0"]);
    replica.advance(600);
    queries.forEach(query => approve(query, "approved"));
    replica.settle();
    expect(queries.map(({ query }) => query.step)).toEqual(["j.0.0", "k.0.0"]);
});

// Guards against a job that starts nothing because steps before it ask for approvals again and again.
it("queries for a step that has asked for long before it queries again for the ones before it", () => {
    const { replica, queries } = startLeader({ decisionMs: 600, perServerMs: 0, validityMs: 1_000 });
    const busy = { running: [], capacity: { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0 } };
    ["first", "second", "third"].forEach(id => replica.submit(jobOf(id, stepOf())));
    for (let sequence = 1; sequence <= 50; sequence += 1) {
        replica.heartbeat(heartbeatOf("a", sequence, busy));
        replica.advance(100);
        const open = queries.at(-1);
        if (open !== undefined && sequence % 7 === 0) {
            // A failure leaves the step without a decision, so that it asks again.
            open.respond(undefined);
        }
    }
    expect(new Set(queries.map(({ query }) => query.step))).toEqual(new Set(["first.0.0", "second.0.0", "third.0.0"]));
});

// Guards against a sound server that gets no starts for seconds, and against the repeated use of the same approval, when a
// start is rejected because the service counts the validity from the query.
it("asks again for an approval with which a start was rejected, and doesn't hold the rejection against the server", () => {
    const { replica, queries } = startLeader({ decisionMs: 1_500, perServerMs: 0, validityMs: 2_000 });
    replica.heartbeat(heartbeatOf("a", 1));
    replica.submit(jobOf("j", stepOf()));
    replica.advance(1_500);
    queries.forEach(query => approve(query, "old"));
    replica.advance(700);
    const [start] = replica.heartbeat(heartbeatOf("a", 2))?.starts ?? [];
    expect(start?.eligibilityToken).toBe("old");
    const ended = [{ sequence: 1, task: "j.0.0.0", run: start?.run ?? 0, end: RunEnd.NotStarted, checkpoint: "" }];
    replica.heartbeat(heartbeatOf("a", 3, { ended }));
    expect(queries).toHaveLength(2);
    queries.slice(1).forEach(query => approve(query, "new"));
    replica.settle();
    const [next] = replica.heartbeat(heartbeatOf("a", 4))?.starts ?? [];
    expect(next?.eligibilityToken).toBe("new");
});

// Guards against a job that never starts because the service takes longer than configured, so that each query times out and
// is sent again.
it("waits longer for the answers of a service that is later than configured", () => {
    const { replica, queries } = startLeader();
    replica.heartbeat(heartbeatOf("a", 1));
    replica.submit(jobOf("j", stepOf()));
    let sequence = 1;
    const advance = (durationMs: number): void => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
            sequence += 1;
            replica.heartbeat(heartbeatOf("a", sequence));
            replica.advance(100);
        }
    };
    for (const timeoutMs of [2_100, 4_100]) {
        advance(timeoutMs);
        queries.at(-1)?.respond(undefined);
        advance(400);
    }
    expect(queries.map(({ query }) => query.patienceMs)).toEqual([2_000, 4_000, 8_000]);
});

// Guards against a long wait for the next answer after a failure that shows at once, such as a refused connection.
it("doesn't wait longer after a query that failed at once", () => {
    const { replica, queries } = startLeader();
    replica.heartbeat(heartbeatOf("a", 1));
    replica.submit(jobOf("j", stepOf()));
    queries[0]?.respond(undefined);
    replica.advance(300);
    replica.heartbeat(heartbeatOf("a", 2));
    expect(queries.map(({ query }) => query.patienceMs)).toEqual([2_000, 2_000]);
});

// Guards against a gang that never starts: the approvals of a first query have expired before those of the last one come.
it("asks about all servers that a gang may need at once, although the answer takes longer", () => {
    const { replica, queries } = startLeader({ decisionMs: 100, perServerMs: 100, validityMs: 1_000 });
    const ids = Array.from({ length: 10 }, (unused, index) => `s${index}`);
    ids.forEach(id => replica.heartbeat(heartbeatOf(id, 1)));
    replica.submit(jobOf("j", stepOf({ taskCount: 8, amounts: LARGE, isGang: true })));
    expect(queries.map(({ query }) => query.serverIds.length)).toEqual([10]);
    replica.advance(1_100);
    queries.forEach(query => approve(query, "approved"));
    replica.settle();
    const starts = ids.map(id => replica.heartbeat(heartbeatOf(id, 2))?.starts.length ?? 0);
    expect(starts.filter(count => count === 1)).toHaveLength(8);
});
