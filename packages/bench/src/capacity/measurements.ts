import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { digestAnnouncement } from "@waxwingspread/common";
import {
    AnnouncementSchema,
    ClusterSnapshotSchema,
    ConfigurationSchema,
    HeartbeatSchema,
    ReportRequestSchema,
} from "@waxwingspread/protocol";
import type { Announcement } from "@waxwingspread/protocol";
import { ClusterState } from "@waxwingspread/scheduler";
import { fitLine } from "./linear-fit.js";
import type { DataPoint, LinearFit } from "./linear-fit.js";
import { LoadedScheduler } from "./loaded-scheduler.js";

const SERVER_COUNTS = [30, 150, 300, 670];
const TASK_COUNTS = [1_000, 3_000, 6_000, 10_500];
const CUSTOMER_COUNTS = [10, 100, 390];
const FLEET_SERVERS = 670;
const FLEET_CUSTOMERS = 390;
const TIMED_ROUNDS = 5;
const TIMED_SUBMISSIONS = 300;
const BYTES_PER_MEBIBYTE = 1_048_576;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** A quantity measured at several sizes, with the straight line fitted to it. `per` names the unit of the size. */
export interface Measurement {
    name: string;
    unit: string;
    per: string;
    points: DataPoint[];
    fit: LinearFit;
}

const createMeasurement = (name: string, unit: string, per: string, points: DataPoint[]): Measurement => ({
    name,
    unit,
    per,
    points,
    fit: fitLine(points),
});

const heapMebibytes = (): number => {
    globalThis.gc?.();
    globalThis.gc?.();
    return process.memoryUsage().heapUsed / BYTES_PER_MEBIBYTE;
};

const elapsedMs = (work: () => void): number => {
    const startedAtMs = performance.now();
    work();
    return performance.now() - startedAtMs;
};

const median = (values: number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

const measureReplicaState = (): Measurement[] => {
    const memory: DataPoint[] = [];
    const snapshotBytes: DataPoint[] = [];
    const snapshotMs: DataPoint[] = [];
    const restoreMs: DataPoint[] = [];
    for (const size of TASK_COUNTS) {
        const loaded = new LoadedScheduler(FLEET_SERVERS, 1);
        loaded.submitMany(size);
        const bytes = toBinary(ClusterSnapshotSchema, loaded.state.toSnapshot());
        snapshotBytes.push({ size, value: bytes.length });
        snapshotMs.push({
            size,
            value: elapsedMs(() => toBinary(ClusterSnapshotSchema, loaded.state.toSnapshot())),
        });
        const beforeMebibytes = heapMebibytes();
        let restored: ClusterState | undefined;
        restoreMs.push({
            size,
            value: elapsedMs(() => {
                restored = ClusterState.fromSnapshot(fromBinary(ClusterSnapshotSchema, bytes));
            }),
        });
        memory.push({ size, value: heapMebibytes() - beforeMebibytes });
        if (restored?.jobCount !== size) {
            throw new Error(`the restored state has ${restored?.jobCount} jobs instead of ${size}`);
        }
    }
    return [
        createMeasurement("replica state in memory", "MiB", "running task", memory),
        createMeasurement("snapshot size", "bytes", "running task", snapshotBytes),
        createMeasurement("snapshot encoding", "ms", "running task", snapshotMs),
        createMeasurement("snapshot restoring", "ms", "running task", restoreMs),
    ];
};

const measureLeader = (): Measurement[] => {
    const memory: DataPoint[] = [];
    const submitMicroseconds: DataPoint[] = [];
    for (const size of TASK_COUNTS) {
        const beforeMebibytes = heapMebibytes();
        const loaded = new LoadedScheduler(FLEET_SERVERS, 1);
        loaded.submitMany(size - TIMED_SUBMISSIONS);
        const durationMs = elapsedMs(() => loaded.submitMany(TIMED_SUBMISSIONS));
        submitMicroseconds.push({ size, value: durationMs * MICROSECONDS_PER_MILLISECOND / TIMED_SUBMISSIONS });
        loaded.batches.length = 0;
        memory.push({ size, value: heapMebibytes() - beforeMebibytes });
    }
    return [
        createMeasurement("leader state and indexes in memory", "MiB", "running task", memory),
        createMeasurement(
            "submission decided, placed and start reported",
            "microseconds",
            "running task",
            submitMicroseconds,
        ),
    ];
};

const measureAnnouncements = (): Measurement[] => {
    const roundMs: DataPoint[] = [];
    const bytes: DataPoint[] = [];
    const tickMs: DataPoint[] = [];
    const heartbeatBytes: DataPoint[] = [];
    const heartbeatMs: DataPoint[] = [];
    for (const size of SERVER_COUNTS) {
        const loaded = new LoadedScheduler(size, 1);
        loaded.submitMany(Math.floor(10_500 * size / FLEET_SERVERS));
        const rounds = Array.from({ length: TIMED_ROUNDS }, () => elapsedMs(() => loaded.announceAll()));
        roundMs.push({ size, value: median(rounds) });
        const ticks = Array.from({ length: TIMED_ROUNDS }, () => elapsedMs(() => loaded.scheduler.tick(loaded.nowMs)));
        tickMs.push({ size, value: median(ticks) });
        const announcements = Array.from({ length: size }, (unused, number) => loaded.announcement(number));
        bytes.push({
            size,
            value: announcements.reduce((sum, item) => sum + toBinary(AnnouncementSchema, item).length, 0),
        });
        const { beatBytes, beatMs } = measureHeartbeats(loaded, announcements);
        heartbeatBytes.push({ size, value: beatBytes });
        heartbeatMs.push({ size, value: beatMs });
    }
    return [
        createMeasurement("leader: one announcement of every server with its tasks", "ms", "backend server", roundMs),
        createMeasurement("leader: one heartbeat of every server", "ms", "backend server", heartbeatMs),
        createMeasurement("heartbeats as passed on by entries", "bytes", "backend server", heartbeatBytes),
        createMeasurement("whole announcements as passed on by entries", "bytes", "backend server", bytes),
        createMeasurement("leader: one tick", "ms", "backend server", tickMs),
    ];
};

/** Reports one heartbeat for each announcement, after the leader has received the full announcements. */
const measureHeartbeats = (
    loaded: LoadedScheduler,
    announcements: readonly Announcement[],
): { beatBytes: number; beatMs: number } => {
    loaded.scheduler.report(create(ReportRequestSchema, { announcements: [...announcements] }), loaded.nowMs);
    loaded.nowMs += 1_000;
    const heartbeats = announcements.map(announcement =>
        create(HeartbeatSchema, {
            digest: digestAnnouncement(announcement),
            clockMs: loaded.nowMs,
            sequence: announcement.sequence + announcements.length,
            heldMs: 50,
        })
    );
    const request = create(ReportRequestSchema, { heartbeats });
    const beatMs = elapsedMs(() => {
        const response = loaded.scheduler.report(request, loaded.nowMs);
        if (response.unknownHeartbeats.length + response.refusedHeartbeats.length > 0) {
            throw new Error("the leader did not accept all heartbeats");
        }
    });
    return { beatBytes: toBinary(ReportRequestSchema, request).length, beatMs };
};

const measureConfiguration = (): Measurement[] => {
    const bytes: DataPoint[] = [];
    for (const size of CUSTOMER_COUNTS) {
        const loaded = new LoadedScheduler(1, size);
        bytes.push({ size, value: toBinary(ConfigurationSchema, loaded.state.configuration).length });
    }
    return [createMeasurement("configuration in a poll response", "bytes", "customer", bytes)];
};

const measureReplication = (): Measurement[] => {
    const bytes: DataPoint[] = [];
    const applyMs: DataPoint[] = [];
    for (const size of TASK_COUNTS) {
        const loaded = new LoadedScheduler(FLEET_SERVERS, FLEET_CUSTOMERS);
        const before = { bytes: loaded.decidedBytes, batches: loaded.batches.length };
        loaded.submitMany(size);
        bytes.push({ size, value: loaded.decidedBytes - before.bytes });
        const follower = new ClusterState();
        loaded.batches.slice(0, before.batches).flat().forEach(event => follower.apply(event));
        const events = loaded.batches.slice(before.batches).flat();
        applyMs.push({ size, value: elapsedMs(() => events.forEach(event => follower.apply(event))) });
    }
    return [
        createMeasurement("log written for the start of a task", "bytes", "task start", bytes),
        createMeasurement("follower: events of the start of a task applied", "ms", "task start", applyMs),
    ];
};

/** Measures every quantity of the capacity page in the documentation. */
export const measureAll = (): Measurement[] => [
    ...measureReplicaState(),
    ...measureLeader(),
    ...measureAnnouncements(),
    ...measureConfiguration(),
    ...measureReplication(),
];
