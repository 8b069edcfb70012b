import { create, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { AnnouncementSchema, HeartbeatSchema, TaskPhase } from "@waxwingspread/protocol";
import type { Announcement } from "@waxwingspread/protocol";
import { beforeEach, describe, expect, it } from "vitest";
import { AnnouncementDeduplicator } from "./announcement-deduplicator.js";

const LEADER = "10.0.0.1:7000";

type Overrides = MessageInitShape<typeof AnnouncementSchema>;

const announcement = (sequence: number, overrides: Overrides = {}): Announcement =>
    create(AnnouncementSchema, {
        backendServerId: "backend-1",
        incarnation: "first",
        address: "10.0.1.1:8000",
        clockMs: sequence * 1_000,
        sequence,
        tasks: [{ customer: "c", requestId: "r", attemptNumber: 1, phase: TaskPhase.RUNNING }],
        ...(overrides as object),
    });

describe("AnnouncementDeduplicator", () => {
    let deduplicator: AnnouncementDeduplicator;

    beforeEach(() => {
        deduplicator = new AnnouncementDeduplicator();
        deduplicator.recordConfirmed(announcement(1), LEADER);
    });

    it("sends a heartbeat with the new clock while nothing else changes", () => {
        const heartbeat = deduplicator.toHeartbeat(announcement(2), 12.9, LEADER);
        expect(heartbeat).toMatchObject({ clockMs: 2_000, sequence: 2, heldMs: 12 });
    });

    // Guards against one server whose sequence can't be encoded, so that no report of this entry reaches the leader.
    it.each([2 ** 32, 2.5, -1])("sends the announcement in full if its sequence %d is no uint32", sequence => {
        expect(deduplicator.toHeartbeat(announcement(sequence), 0, LEADER)).toBeUndefined();
    });

    it("sends a heartbeat with the largest uint32", () => {
        const heartbeat = deduplicator.toHeartbeat(announcement(2 ** 32 - 1), 0, LEADER);
        expect(heartbeat === undefined ? 0 : toBinary(HeartbeatSchema, heartbeat).length).toBeGreaterThan(0);
    });

    it.each<[string, Overrides]>([
        ["the tasks", { tasks: [] }],
        ["leaving", { leaving: true }],
        ["the incarnation", { incarnation: "second" }],
        ["the lease token", { leaseToken: "token" }],
    ])("sends the full announcement when %s changes, so that the leader learns of it", (unusedName, overrides) => {
        expect(deduplicator.toHeartbeat(announcement(2, overrides), 0, LEADER)).toBeUndefined();
    });

    it("sends the full announcement to a new leader and to one that doesn't hold it any more", () => {
        expect(deduplicator.toHeartbeat(announcement(2), 0, "10.0.0.2:7000")).toBeUndefined();
        deduplicator.recordUnknown("backend-1");
        expect(deduplicator.toHeartbeat(announcement(2), 0, LEADER)).toBeUndefined();
    });
});
