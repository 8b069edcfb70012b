import { describe, expect, it } from "vitest";
import { JobState, Refusal } from "../model/calls.js";
import type { CallResult } from "../model/calls.js";
import type { Configuration } from "../model/configuration.js";
import { MAX_CANCELLED_JOB_IDS } from "../state/cancelled-job-ids.js";
import { decodeEvents, EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import { WorkflowState } from "../state/workflow-state.js";
import type { WorkflowSnapshot } from "../state/workflow-state.js";
import {
    Caller,
    configurationWith,
    configure,
    OK,
    ORGANISATIONS,
    startedWith,
    stateOf,
    textOf,
} from "../testing/caller.js";
import { jobOf, organisationWithKeys, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS } from "../testing/single-replica.js";
import type { SingleReplica } from "../testing/single-replica.js";

const eventsOf = (replica: SingleReplica): WorkflowEvent[] =>
    replica.log.flatMap(({ data }) => data === undefined ? [] : decodeEvents(data));

const disruptions: [name: string, disrupt: (replica: SingleReplica) => void][] = [
    ["a change of the leader", replica => replica.failOver()],
    ["a leader that is elected before it has applied the last records", replica =>
        replica.failOver({
            appliedRecords: 2,
        })],
    ["a restart from a snapshot", replica => {
        replica.node.restoreSnapshot(replica.node.snapshot());
        replica.reelect();
    }],
];

// Guards against keys and owners that a new leader doesn't know.
describe.each(disruptions)("after %s", (_, disrupt) => {
    it("keys and owners are those that were acknowledged", () => {
        const replica = startedWith(ORGANISATIONS);
        new Caller(replica, "a1").submit("j");
        new Caller(replica, "b1").submit("k");
        configure(replica, 3, [organisationWithKeys("acme", "a2"), organisationWithKeys("beta", "b1")]);
        disrupt(replica);
        expect(new Caller(replica, "a1").read("j")).toBe(Refusal.Unauthenticated);
        expect(new Caller(replica, "a2").read("j")).toBe(JobState.Queued);
        expect(new Caller(replica, "b1").read("j")).toBe(Refusal.UnknownJob);
        expect(new Caller(replica, "b1").read("k")).toBe(JobState.Queued);
    });

    it("a cancellation before the submission holds for its own organisation only", () => {
        const replica = startedWith(ORGANISATIONS);
        expect(new Caller(replica, "a1").cancel("j")).toBe(Refusal.UnknownJob);
        expect(new Caller(replica, "b1").cancel("k")).toBe(Refusal.UnknownJob);
        expect(new Caller(replica, undefined, "open").cancel("k")).toBe(Refusal.UnknownJob);
        disrupt(replica);
        ["j", "k"].forEach(id => expect(new Caller(replica, "a2").submit(id)).toBe(OK));
        expect(stateOf(replica, "j")).toBe(JobState.Cancelled);
        expect(stateOf(replica, "k")).toBe(JobState.Queued);
    });
});

describe("a cancellation before the submission", () => {
    it("at a public queue holds for a submission there, whether its caller has sent a key or not", () => {
        const replica = startedWith(ORGANISATIONS);
        new Caller(replica, "a1", "open").cancel("j");
        expect(new Caller(replica, undefined, "open").submit("j")).toBe(OK);
        expect(stateOf(replica, "j")).toBe(JobState.Cancelled);
    });

    // Guards against requests that the leader reads before it has applied the first of them.
    it.each([
        ["in one record", () => undefined],
        ["in different records", ({ node, times }: SingleReplica) => node.run(times)],
    ])("of another organisation cancels nothing if both are proposed at the same time %s", (_, between) => {
        const replica = startedWith(ORGANISATIONS);
        const results: string[] = [];
        const respond = (result: CallResult<void>): void => void results.push(textOf([result]));
        const [own, other] = [new Caller(replica, "a1"), new Caller(replica, "b1")];
        const { node, times } = replica;
        node.cancel("j", respond, times, other.originOf("j"));
        between(replica);
        node.submit(own.originOf("j"), jobOf("j", stepOf()), respond, times);
        between(replica);
        node.cancel("j", respond, times, other.originOf("j"));
        node.cancel("j", respond, times, new Caller(replica, undefined, "open").originOf("j"));
        node.submit(other.originOf("j"), jobOf("j", stepOf()), respond, times);
        replica.settle();
        expect(results.toSorted()).toEqual(
            [Refusal.UnknownJob, OK, Refusal.UnknownJob, Refusal.UnknownJob, Refusal.Unauthenticated].toSorted(),
        );
        expect(stateOf(replica, "j")).toBe(JobState.Queued);
        expect(replica.node.state.job("j")?.specification.organisation).toBe("acme");
    });

    // Guards against a cancellation that is acknowledged and then lost with a leader: the job of another organisation under
    // which it was refused is lost as well.
    it("is not acknowledged as that of a job of another organisation which is not committed", () => {
        const replica = startedWith(ORGANISATIONS);
        const { node, times } = replica;
        const results: string[] = [];
        const [own, other] = [new Caller(replica, "a1"), new Caller(replica, "b1")];
        node.submit(other.originOf("j"), jobOf("j", stepOf()), () => undefined, times);
        node.cancel("j", result => results.push(textOf([result])), times, own.originOf("j"));
        node.run(times);
        node.run(times);
        expect(results).toEqual([]);
        node.handleLeadershipLost();
        expect(results).toEqual([Refusal.NotLeader]);
    });

    it("by its own organisation cancels the job if both are proposed at the same time", () => {
        const replica = startedWith(ORGANISATIONS);
        const own = new Caller(replica, "a1");
        const results: CallResult<void>[] = [];
        const { node, times } = replica;
        node.submit(own.originOf("j"), jobOf("j", stepOf()), () => undefined, times);
        node.cancel("j", result => results.push(result), times, own.originOf("j"));
        replica.settle();
        expect(textOf(results)).toBe(OK);
        expect(stateOf(replica, "j")).toBe(JobState.Cancelled);
    });

    it("is forgotten after the retention, and kept within the same bound as others", () => {
        const replica = startedWith(ORGANISATIONS);
        new Caller(replica, "a1").cancel("j");
        replica.advance(LEADER_SETTINGS.retentionMs + 5_000);
        replica.advance(LEADER_SETTINGS.retentionMs + 5_000);
        expect([...replica.node.state.cancelledJobIds]).toEqual([]);
        for (let index = 0; index <= MAX_CANCELLED_JOB_IDS; index += 1) {
            const origin = new Caller(replica, "a1").originOf("");
            replica.node.cancel(`other${index}`, () => undefined, replica.times, origin);
        }
        replica.settle();
        expect([...replica.node.state.cancelledJobIds]).toHaveLength(MAX_CANCELLED_JOB_IDS);
    });
});

describe("records and snapshots", () => {
    it("of the former version are read: a job without an organisation is open to each key and to no caller without", () => {
        const replica = startedWith(undefined);
        replica.submit(jobOf("j", stepOf()));
        configure(replica, 3, ORGANISATIONS);
        const { organisations, ...former } = configurationWith(3, ORGANISATIONS);
        expect(organisations).toBeDefined();
        const snapshot = JSON.parse(Buffer.from(replica.node.snapshot()).toString()) as WorkflowSnapshot;
        const state = WorkflowState.fromSnapshot({ ...snapshot, configuration: former });
        expect(state.job("j")?.specification.organisation).toBeUndefined();
        expect(new Caller(replica).read("j")).toBe(Refusal.Unauthenticated);
        expect(new Caller(replica, undefined, "open").read("j")).toBe(Refusal.UnknownJob);
        expect(new Caller(replica, "b1").read("j")).toBe(JobState.Queued);
    });

    // Guards against a replica of another version that drops what it doesn't know from its snapshots.
    it("keep fields that a replica doesn't know", () => {
        const replica = startedWith(ORGANISATIONS);
        new Caller(replica, "a1").submit("j");
        const snapshot = JSON.parse(Buffer.from(replica.node.snapshot()).toString()) as WorkflowSnapshot;
        const later = {
            ...snapshot,
            configuration: { ...snapshot.configuration as Configuration, later: 1 },
            jobs: snapshot.jobs.map(job => ({ ...job, specification: { ...job.specification, later: 1 } })),
        };
        const restored = JSON.parse(JSON.stringify(WorkflowState.fromSnapshot(later).toSnapshot())) as typeof later;
        expect(restored.configuration).toMatchObject({ later: 1, organisations: ORGANISATIONS });
        expect(restored.jobs[0]?.specification).toMatchObject({ later: 1, organisation: "acme" });
    });

    // Guards against replicas of the former version, which would cancel the job that the event names.
    it("hold cancellations of unknown jobs under an id that is not that of the job", () => {
        const replica = startedWith(ORGANISATIONS);
        new Caller(replica, "b1").cancel("j");
        const cancellations = eventsOf(replica).filter(({ kind }) => kind === EventKind.JobCancelled);
        expect(cancellations).toMatchObject([{ jobId: "[\"beta\",\"j\"]" }]);
    });
});
