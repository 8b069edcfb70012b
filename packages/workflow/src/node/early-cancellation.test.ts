import { describe, expect, it } from "vitest";
import { JobState, Refusal } from "../model/calls.js";
import type { CallResult } from "../model/calls.js";
import type { JobSpecification } from "../model/specification.js";
import { MAX_CANCELLED_JOB_IDS } from "../state/cancelled-job-ids.js";
import { WorkflowState } from "../state/workflow-state.js";
import { heartbeatOf, HOST, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS, resultOf, SingleReplica } from "../testing/single-replica.js";

/** Time in which a leader certainly checks what has been kept for long enough. */
const CLEANUP_MS = 5_000;
const SCHEDULE = { occurrences: 3, firstDueMs: 1_001_000, intervalMs: 500 };

const cancel = (replica: SingleReplica, jobId: string): CallResult<void> => {
    const results: CallResult<void>[] = [];
    replica.node.cancel(jobId, result => results.push(result), replica.times);
    replica.settle();
    return resultOf(respond => results.forEach(respond));
};

/** Sends the heartbeats of a server for some seconds and returns the tasks that it was ordered to start. */
const startsOf = (replica: SingleReplica): string[] => {
    const tasks: string[] = [];
    for (let sequence = 1; sequence < 30; sequence += 1) {
        replica.advance(100);
        tasks.push(...replica.heartbeat(heartbeatOf("s", sequence))?.starts.map(({ task }) => task) ?? []);
    }
    return tasks;
};

const jobs: [name: string, job: JobSpecification][] = [
    ["finite", jobOf("j", stepOf({ taskCount: 2 }))],
    ["standing", jobOf("j", standingStepOf({ taskCount: 2 }))],
    ["scheduled", { ...jobOf("j", stepOf()), schedule: SCHEDULE }],
];

const disruptions: [name: string, disrupt: (replica: SingleReplica) => void][] = [
    ["at once", () => undefined],
    ["after a change of the leader", replica => replica.failOver()],
    ["after a restart from a snapshot", replica => {
        replica.node.restoreSnapshot(replica.node.snapshot());
        replica.reelect();
    }],
];

// Guards against work that runs for nobody: the caller's submission is late, as in the queue of a suspended entry, and
// arrives after the caller has cancelled the job through another entry.
describe.each(jobs)("a %s job that was cancelled before its submission arrives", (unusedName, job) => {
    it.each(disruptions)("starts nothing when the submission arrives %s", (unusedDisruption, disrupt) => {
        const replica = SingleReplica.started();
        expect(cancel(replica, "j")).toEqual({ ok: false, refusal: Refusal.UnknownJob });
        disrupt(replica);
        expect(replica.submit(job).ok).toBe(true);
        expect(startsOf(replica)).toEqual([]);
        expect(replica.stateOf("j")).toBe(JobState.Cancelled);
    });
});

describe("a job that was cancelled before its submission arrives", () => {
    it("is not shown before the submission arrives, and its cancellation may be repeated", () => {
        const replica = SingleReplica.started();
        cancel(replica, "j");
        expect(replica.stateOf("j")).toBe(Refusal.UnknownJob);
        expect(cancel(replica, "j")).toEqual({ ok: false, refusal: Refusal.UnknownJob });
        replica.submit(jobOf("j", stepOf()));
        expect(cancel(replica, "j")).toEqual({ ok: true, value: undefined });
        expect(replica.submit(jobOf("j", stepOf())).ok).toBe(true);
        expect(startsOf(replica)).toEqual([]);
    });

    // Guards against a leader that reads both requests before it has applied the first of them.
    it.each([
        ["in one record", () => undefined],
        ["while the cancellation is not committed", (replica: SingleReplica) => replica.node.run(replica.times)],
    ])("starts nothing if the submission arrives %s", (unusedName, between) => {
        const replica = SingleReplica.started();
        const results: CallResult<void>[] = [];
        const address = { host: HOST, path: "/batch/j" };
        replica.node.cancel("j", result => results.push(result), replica.times);
        between(replica);
        replica.node.submit(address, jobOf("j", stepOf()), result => results.push(result), replica.times);
        replica.settle();
        expect(results).toHaveLength(2);
        expect(startsOf(replica)).toEqual([]);
        expect(replica.stateOf("j")).toBe(JobState.Cancelled);
    });

    // Guards against an acknowledgement that a later leader doesn't know of.
    it("is not acknowledged as cancelled before the cancellation is committed", () => {
        const replica = SingleReplica.started();
        const results: CallResult<void>[] = [];
        replica.node.cancel("j", result => results.push(result), replica.times);
        replica.node.run(replica.times);
        expect(results).toEqual([]);
        replica.node.handleLeadershipLost();
        expect(results).toEqual([{ ok: false, refusal: Refusal.Uncertain }]);
    });

    // Guards against a clock that jumps ahead of the retention, and against records that are kept for good.
    it("is forgotten once the retention has passed on the monotonic clock of one leader", () => {
        const replica = SingleReplica.started();
        cancel(replica, "j");
        replica.timeOfDayOffsetMs = 10 * LEADER_SETTINGS.retentionMs;
        replica.advance(LEADER_SETTINGS.retentionMs - 1);
        replica.failOver();
        replica.advance(CLEANUP_MS);
        replica.advance(LEADER_SETTINGS.retentionMs - 1);
        expect([...replica.node.state.cancelledJobIds]).toEqual(["j"]);
        replica.advance(CLEANUP_MS);
        expect([...replica.node.state.cancelledJobIds]).toEqual([]);
    });

    it("is kept for the whole retention after its last cancellation", () => {
        const replica = SingleReplica.started();
        cancel(replica, "j");
        replica.advance(LEADER_SETTINGS.retentionMs - CLEANUP_MS);
        cancel(replica, "j");
        replica.advance(LEADER_SETTINGS.retentionMs - CLEANUP_MS);
        expect([...replica.node.state.cancelledJobIds]).toEqual(["j"]);
    });

    // Guards against state that grows with callers that cancel jobs which never existed.
    it("is forgotten before any that was cancelled later if too many are cancelled", () => {
        const replica = SingleReplica.started();
        ["first", "second", "first"].forEach(id => cancel(replica, id));
        for (let index = 0; index < MAX_CANCELLED_JOB_IDS - 1; index += 1) {
            replica.node.cancel(`other${index}`, () => undefined, replica.times);
        }
        replica.settle();
        const { cancelledJobIds } = replica.node.state;
        expect([...cancelledJobIds]).toHaveLength(MAX_CANCELLED_JOB_IDS);
        expect(["first", "second"].map(id => cancelledJobIds.has(id))).toEqual([true, false]);
    });
});

describe("a snapshot", () => {
    it("of a former version, without cancelled jobs, can be restored", () => {
        const { cancelledJobIds, ...former } = new WorkflowState().toSnapshot();
        expect(cancelledJobIds).toEqual([]);
        expect([...WorkflowState.fromSnapshot(former).cancelledJobIds]).toEqual([]);
    });
});
