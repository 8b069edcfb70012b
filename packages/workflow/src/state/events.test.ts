import { describe, expect, it } from "vitest";
import type { QueueContract } from "../model/configuration.js";
import { configurationOf, jobOf, stepOf } from "../testing/fixtures.js";
import { decodeEvents, encodeRecords, EventKind, MAX_SHARED_RECORD_BYTES } from "./events.js";
import type { WorkflowEvent } from "./events.js";

const [QUEUE] = configurationOf(1).queues;

const acceptanceOf = (id: string, payloadBytes: number): WorkflowEvent => ({
    kind: EventKind.JobAccepted,
    job: { ...jobOf(id, stepOf()), payload: "x".repeat(payloadBytes) },
    queue: QUEUE as QueueContract,
    acceptedAtMs: 1,
});

const cancellationOf = (jobId: string): WorkflowEvent => ({ kind: EventKind.JobCancelled, jobId, atMs: 1 });

describe("encodeRecords", () => {
    // Guards against a leader that commits nothing any more: a record of all events of a burst is larger than a message
    // between replicas may be, and is sent again and again.
    it("spreads the events of a burst of large submissions over records of a bounded size", () => {
        const events = Array.from({ length: 40 }, (unused, index) => acceptanceOf(`j${index}`, 400_000));
        const records = encodeRecords(events);
        expect(Math.max(...records.map(({ length }) => length))).toBeLessThan(MAX_SHARED_RECORD_BYTES + 1_000);
        expect(records.flatMap(record => decodeEvents(record))).toEqual(events);
    });

    // Guards against a cancelled job that a later leader starts, since it knows only the first of two records.
    it("keeps an acceptance and its cancellation together", () => {
        const events = [acceptanceOf("j", MAX_SHARED_RECORD_BYTES), cancellationOf("j"), cancellationOf("k")];
        const records = encodeRecords(events).map(record => decodeEvents(record));
        expect(records).toEqual([events.slice(0, 2), events.slice(2)]);
    });

    it("encodes no events as one empty record", () => {
        expect(encodeRecords([]).map(record => decodeEvents(record))).toEqual([[]]);
    });
});
