import { create } from "@bufbuild/protobuf";
import { digestAnnouncement, SeededRandom } from "@waxwingspread/common";
import { AnnouncementSchema, HeartbeatSchema, ReportRequestSchema } from "@waxwingspread/protocol";
import type { Announcement, ReportResponse } from "@waxwingspread/protocol";
import { beforeEach, describe, expect, it } from "vitest";
import { Scheduler } from "../scheduler.js";
import { defaultSchedulerSettings } from "../settings.js";
import { ClusterState } from "../state/cluster-state.js";

const announcement = (sequence: number, slots: number): Announcement =>
    create(AnnouncementSchema, {
        backendServerId: "backend-1",
        incarnation: "first",
        address: "10.0.1.1:8000",
        availabilityZone: "zone-a",
        rack: "rack-1",
        capacity: { cpuMillicores: 1_000, memoryMebibytes: 1_000 },
        slots,
        clockMs: sequence * 1_000,
        sequence,
    });

describe("heartbeats", () => {
    let scheduler: Scheduler;
    let nowMs = 0;

    const announce = (announced: Announcement): ReportResponse =>
        scheduler.report(create(ReportRequestSchema, { announcements: [announced] }), nowMs);
    const beat = (sequence: number, like: Announcement): ReportResponse => {
        const heartbeat = create(HeartbeatSchema, {
            digest: digestAnnouncement(like),
            clockMs: sequence * 1_000,
            sequence,
        });
        return scheduler.report(create(ReportRequestSchema, { heartbeats: [heartbeat] }), nowMs);
    };

    beforeEach(() => {
        nowMs = 1_000_000;
        scheduler = new Scheduler(new ClusterState(), defaultSchedulerSettings, new SeededRandom(1));
        scheduler.startTerm(1, "control-1", nowMs);
    });

    it("renew leases like the announcement that they repeat", () => {
        const first = announce(announcement(1, 8));
        nowMs += 1_000;
        const second = beat(2, announcement(1, 8));
        expect(second.unknownHeartbeats).toEqual([]);
        expect(second.refusedHeartbeats).toEqual([]);
        expect(first.leases[0]?.expiresBackendMs).toBe(1_000 + second.heartbeatLeaseMs);
    });

    it("are unknown to a new leader, which has not cached the announcement", () => {
        expect(beat(2, announcement(1, 8)).unknownHeartbeats).toEqual([0]);
    });

    it("never restore an older announcement through an entry that lags behind", () => {
        announce(announcement(1, 8));
        announce(announcement(3, 4));
        expect(beat(2, announcement(1, 8)).unknownHeartbeats).toEqual([0]);
    });

    it("do not renew leases if they are outdated", () => {
        announce(announcement(5, 8));
        expect(beat(4, announcement(5, 8)).refusedHeartbeats).toEqual([0]);
    });
});
