import { create, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { AttemptEnd, AttemptState, ClusterSnapshotSchema, EventSchema, Outcome } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { contractOf, JOB_RESOURCES, SERVER_CAPACITY, specificationFor } from "../test-kit/fixtures.js";
import { ClusterState } from "./cluster-state.js";
import { RETAINED_COMMANDS } from "./event-handlers.js";

type Kind = NonNullable<MessageInitShape<typeof EventSchema>["kind"]>;

const applyTo = (state: ClusterState, ...kinds: Kind[]): void =>
    kinds.forEach(kind => state.apply(create(EventSchema, { atMs: 1, kind })));

const joined = (slots = 1): Kind => ({
    case: "backendServerJoined",
    value: { backendServer: { backendServerId: "s1", incarnation: "i1", capacity: SERVER_CAPACITY, slots } },
});

const accepted = (requestId: string): Kind => ({
    case: "jobAccepted",
    value: { specification: specificationFor(requestId, "recall"), entryId: "e1" },
});

const assigned = (requestId: string, number = 1, reserved = JOB_RESOURCES): Kind => ({
    case: "attemptAssigned",
    value: {
        customer: "acme",
        requestId,
        attempt: { number, backendServerId: "s1", incarnation: "i1", reserved, state: AttemptState.ASSIGNED },
    },
});

const ended = (requestId: string, end: AttemptEnd, checkpoint?: { sizeBytes: number }): Kind => ({
    case: "attemptEnded",
    value: { customer: "acme", requestId, attemptNumber: 1, end, checkpoint },
});

const requeued = (requestId: string): Kind => ({ case: "jobRequeued", value: { customer: "acme", requestId } });

const bytesOf = (state: ClusterState): Uint8Array => toBinary(ClusterSnapshotSchema, state.toSnapshot());

describe("ClusterState", () => {
    it("rejects events that exceed capacity, repeat non-repeatable work or contradict an earlier event", () => {
        const state = new ClusterState();
        applyTo(state, joined(), accepted("r1"), accepted("r2"));
        const large = { ...JOB_RESOURCES, cpuMillicores: 9_000 };
        expect(() => applyTo(state, assigned("r1", 1, large))).toThrow(/exceeds the free capacity/);
        expect(() => applyTo(state, assigned("r1", 2))).toThrow(/not waiting/);
        applyTo(state, assigned("r1"));
        expect(() => applyTo(state, assigned("r2"))).toThrow(/no free slot/);
        expect(() => applyTo(state, joined(0))).toThrow(/exceed the announced capacity/);
        applyTo(state, ended("r1", AttemptEnd.STOPPED), requeued("r1"));
        expect(() => applyTo(state, assigned("r1", 2))).toThrow(/must not be repeated/);
        const notRun = { customer: "acme", requestId: "r1", outcome: Outcome.NOT_RUN };
        expect(() => applyTo(state, { case: "jobEnded", value: notRun })).toThrow(/can't end as not run/);
        expect(() => applyTo(state, ended("r1", AttemptEnd.LOST))).toThrow(/holds no capacity/);
    });

    it("continues non-repeatable work only from the checkpoint of its last stop", () => {
        const state = new ClusterState();
        applyTo(state, joined(), accepted("r1"), assigned("r1"));
        applyTo(state, ended("r1", AttemptEnd.STOPPED, { sizeBytes: 1 }), requeued("r1"), assigned("r1", 2));
        const secondEnd = { customer: "acme", requestId: "r1", attemptNumber: 2, end: AttemptEnd.STOPPED };
        applyTo(state, { case: "attemptEnded", value: secondEnd }, requeued("r1"));
        expect(() => applyTo(state, assigned("r1", 3))).toThrow(/must not be repeated/);
    });

    it("restores records, indexes and the order of retained commands on a rollback", () => {
        const command = (number: number): Kind => ({ case: "commandCompleted", value: { commandId: `c${number}` } });
        const state = new ClusterState();
        applyTo(state, { case: "contractWritten", value: { revision: 1, contract: contractOf("acme") } }, joined());
        applyTo(state, accepted("r1"));
        Array.from({ length: RETAINED_COMMANDS }, (unusedValue, number) => applyTo(state, command(number)));
        state.markBatchEnd(1);
        state.commitThrough(1);
        const before = bytesOf(state);
        applyTo(state, assigned("r1"), { case: "contractRemoved", value: { revision: 2, customer: "acme" } });
        applyTo(state, command(RETAINED_COMMANDS), accepted("r2"));
        state.markBatchEnd(2);
        expect(state.command("c0")).toBeUndefined();
        expect(bytesOf(state)).toEqual(before);
        state.rollback();
        expect(bytesOf(state)).toEqual(before);
        expect(state.command("c0")).toBeDefined();
        expect([...state.queuedJobKeys()]).toHaveLength(1);
        expect(state.useOfBackendServer("s1").jobKeys.size).toBe(0);
        expect(state.configuration.contracts).toHaveLength(1);
        applyTo(state, command(RETAINED_COMMANDS));
        expect([state.command("c0"), state.command("c1")?.commandId]).toEqual([undefined, "c1"]);
    });

    it("notifies an observer only until another term starts, so that a former leader's scheduler can be dropped", () => {
        const state = new ClusterState();
        const changedKeys: string[] = [];
        const ignore = (): void => undefined;
        state.observe({
            jobChanged: key => changedKeys.push(key),
            backendServerChanged: ignore,
            contractChanged: ignore,
            zoneChanged: ignore,
        });
        applyTo(state, accepted("r1"), { case: "termStarted", value: { term: 1, leaderId: "x" } }, accepted("r2"));
        expect(changedKeys).toHaveLength(1);
    });

    it("can still roll back uncommitted batches after an earlier one is committed", () => {
        const state = new ClusterState();
        applyTo(state, accepted("r1"));
        state.markBatchEnd(1);
        applyTo(state, accepted("r2"));
        state.markBatchEnd(2);
        state.commitThrough(1);
        state.rollback();
        expect(state.jobCount).toBe(1);
    });
});
