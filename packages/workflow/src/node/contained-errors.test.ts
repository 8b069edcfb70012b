import { describe, expect, it } from "vitest";
import { JobState } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import { RunEnd } from "../model/heartbeat.js";
import { encodeEvents, EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import { configurationOf, heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";
import { FailedAction } from "./workflow-node.js";

/** Time after which a new session has begun, or the one that has begun plans. */
const RESTART_MS = 500;
const [QUEUE] = configurationOf(1).queues as [QueueContract];
const ELIGIBILITY = { decisionMs: 10, perServerMs: 1, validityMs: 60_000 };

/** Returns a started replica, and a list of the actions whose errors it has contained. */
const startWithErrorList = (queryEligibility?: () => void): { replica: SingleReplica; failed: FailedAction[] } => {
    const failed: FailedAction[] = [];
    const onError = (unusedError: unknown, action: FailedAction): void => void failed.push(action);
    return { replica: SingleReplica.started({ onError, ...(queryEligibility && { queryEligibility }) }), failed };
};

const appendRecord = (replica: SingleReplica, data: Uint8Array): void => {
    replica.log.push({ index: replica.log.length + 1, term: replica.term, data });
    replica.settle();
};

const expectToServe = (replica: SingleReplica, server = "s"): void => {
    replica.heartbeat(heartbeatOf(server, 1));
    expect(replica.submit(jobOf("next", stepOf())).ok).toBe(true);
    expect(replica.heartbeat(heartbeatOf(server, 2))?.starts).toHaveLength(1);
    const end = { sequence: 1, task: "next.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" };
    replica.heartbeat(heartbeatOf(server, 3, { ended: [end] }));
    expect(replica.stateOf("next")).toBe(JobState.Completed);
};

// Guards against a record that ends every replica that applies it, at each start, so that no quorum ever comes back.
describe("a committed record", () => {
    it.each([
        ["isn't JSON", Buffer.from("[{"), FailedAction.ReadRecord],
        ["isn't a list of events", Buffer.from("{}"), FailedAction.ReadRecord],
        ["has an event without content", Buffer.from("[null]"), FailedAction.ApplyEvent],
        [
            "has an event that can't be applied",
            encodeEvents([{ kind: EventKind.JobAccepted, job: null } as unknown as WorkflowEvent]),
            FailedAction.ApplyEvent,
        ],
    ])("that %s is passed over", (unusedName, data, action) => {
        const { replica, failed } = startWithErrorList();
        appendRecord(replica, data);
        expect(failed).toEqual([action]);
        replica.advance(RESTART_MS);
        replica.advance(RESTART_MS);
        expectToServe(replica);
        replica.failOver();
        replica.advance(RESTART_MS);
        expect(failed).toEqual([action, action]);
        expect(replica.stateOf("next")).toBe(JobState.Completed);
    });

    // Guards against replicas with different states: an exhausted stack depends on the process that applies the event.
    it("that exhausts the stack of one process stops the replica", () => {
        const { replica, failed } = startWithErrorList();
        const job = jobOf("j", stepOf());
        Object.defineProperty(replica.node.state, "apply", {
            value: () => {
                throw new RangeError("Maximum call stack size exceeded");
            },
        });
        const accepted: WorkflowEvent = { kind: EventKind.JobAccepted, job, queue: QUEUE, acceptedAtMs: 0 };
        expect(() => appendRecord(replica, encodeEvents([accepted]))).toThrow(RangeError);
        expect(failed).toEqual([]);
    });

    // Guards against replicas with different states: one that passed over an event of a later version could lead.
    it("of a later version stops the replica", () => {
        const { replica, failed } = startWithErrorList();
        const data = Buffer.from(JSON.stringify([{ kind: "of-a-later-version" }]));
        expect(() => appendRecord(replica, data)).toThrow("unknown event of-a-later-version");
        expect(failed).toEqual([]);
    });
});

// Guards against a decision whose error ends the process, or leaves the leader without decisions.
describe("a leader session that fails", () => {
    it("is replaced by a new one, and calls in progress are answered", () => {
        let isFaulty = true;
        const { replica, failed } = startWithErrorList(() => {
            if (isFaulty) {
                throw new Error("failed in a test");
            }
        });
        const [queue] = configurationOf(2).queues;
        const configuration = configurationOf(2, { queues: [{ ...queue, eligibility: ELIGIBILITY } as never] });
        replica.node.configure(configuration, () => undefined, replica.times);
        replica.settle();
        expect(replica.submit(jobOf("j", stepOf())).ok).toBe(true);
        const results: unknown[] = [];
        replica.node.heartbeat(heartbeatOf("s", 1), result => results.push(result), replica.times);
        replica.settle();
        expect(failed).toEqual([FailedAction.Decide]);
        expect(results).toHaveLength(1);
        replica.node.configure(configurationOf(3), () => undefined, replica.times);
        isFaulty = false;
        replica.advance(RESTART_MS);
        replica.node.configure(configurationOf(3), () => undefined, replica.times);
        replica.advance(RESTART_MS);
        expect(replica.heartbeat(heartbeatOf("s", 2))).toBeDefined();
        expect(replica.heartbeat(heartbeatOf("s", 3))?.starts).toHaveLength(1);
        expect(failed).toEqual([FailedAction.Decide]);
    });

    it("is replaced only after the records that it has proposed are applied", () => {
        const { replica } = startWithErrorList(() => {
            throw new Error("failed in a test");
        });
        const [queue] = configurationOf(2).queues;
        const configuration = configurationOf(2, { queues: [{ ...queue, eligibility: ELIGIBILITY } as never] });
        replica.node.configure(configuration, () => undefined, replica.times);
        replica.submit(jobOf("j", stepOf()));
        replica.node.heartbeat(heartbeatOf("s", 1), () => undefined, replica.times);
        replica.node.run(replica.times);
        expect(replica.node.session).toBeUndefined();
        const later = { nowMs: replica.times.nowMs + 1_000, timeOfDayMs: replica.times.timeOfDayMs + 1_000 };
        replica.node.run(later);
        replica.node.run(later);
        expect(replica.node.session).toBeUndefined();
        replica.commit();
        replica.node.run(later);
        expect(replica.node.session).toBeDefined();
    });
});
