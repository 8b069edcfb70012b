import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { initialMembership, ReplicaRunner, ReplicaStore } from "@waxwingspread/consensus";
import type { FileSystem, OpenedStore, RunnerHooks } from "@waxwingspread/consensus";
import { ErrorCode, HardStateSchema, LogEntrySchema, SnapshotHeaderSchema } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import { describe, expect, it } from "vitest";
import { FakeFileSystem, FileOperation } from "./fake-file-system.js";

const FOLDER = "/data";
const TICK_INTERVAL_MS = 20;
const LARGE_RECORD_BYTES = 700_000;
const SEGMENT = `${FOLDER}/segment-000000000001.log`;

const open = (fileSystem: FileSystem, segmentBytes?: number) =>
    ReplicaStore.open({ fileSystem, folder: FOLDER, name: "a", address: "a:1", segmentBytes });

const errorCodeOf = (operation: Promise<unknown>): Promise<ErrorCode | undefined> =>
    operation.then(() => undefined, (error: { code: ErrorCode }) => error.code);

const entries = (first: number, last: number, term: number) =>
    Array.from({ length: last - first + 1 }, (_, position) =>
        create(LogEntrySchema, {
            index: first + position,
            term,
            body: { case: "data", value: Buffer.from(`${term}/${first + position}`) },
        }));

const hardState = (term: number) => create(HardStateSchema, { term, votedForDiskId: `vote-${term}` });

const summary = ({ persisted }: OpenedStore) => ({
    term: persisted.hardState.term,
    entries: persisted.entries.map(entry => `${entry.term}/${entry.index}`),
});

const snapshot = (lastIndex: number, lastTerm: number, text: string) => {
    const bytes = Buffer.from(text);
    const sha256 = createHash("sha256").update(bytes).digest();
    return { bytes, header: create(SnapshotHeaderSchema, { lastIndex, lastTerm, sizeBytes: bytes.length, sha256 }) };
};

/** Makes three synced writes and returns the size of the segment file after each. */
const writeThree = async (fileSystem: FakeFileSystem) => {
    const { store } = await open(fileSystem);
    const sizes: number[] = [];
    for (const index of [1, 3, 5]) {
        await store.write([{ hardState: hardState(index), entries: entries(index, index + 1, index) }]);
        sizes.push((await fileSystem.read(SEGMENT)).length);
    }
    await store.close();
    return sizes;
};

describe("ReplicaStore", () => {
    it("keeps every synced write and discards the rest, wherever the last write is torn", async () => {
        const source = new FakeFileSystem(new SeededRandom(1));
        const sizes = await writeThree(source);
        const data = await source.read(SEGMENT);
        const identity = await source.read(`${FOLDER}/identity`);
        for (let size = sizes[1] ?? 0; size <= data.length; size += 1) {
            const fileSystem = new FakeFileSystem(new SeededRandom(1));
            fileSystem.replaceContent(`${FOLDER}/identity`, identity);
            fileSystem.replaceContent(SEGMENT, data.slice(0, size));
            const opened = await open(fileSystem);
            const loaded = summary(opened).entries;
            expect(loaded.slice(0, 4)).toEqual(["1/1", "1/2", "3/3", "3/4"]);
            expect(size < data.length || loaded.length === 6).toBe(true);
            await opened.store.write([{ entries: entries(loaded.length + 1, loaded.length + 1, 9) }]);
            expect(summary(await open(fileSystem)).entries).toEqual([...loaded, `9/${loaded.length + 1}`]);
        }
    });

    it("reports a damaged byte in a synced write as CORRUPT instead of dropping what follows", async () => {
        const source = new FakeFileSystem(new SeededRandom(1));
        const sizes = await writeThree(source);
        for (let offset = 0; offset < (sizes[1] ?? 0); offset += 1) {
            source.corrupt(SEGMENT, offset);
            expect(await errorCodeOf(open(source)), `byte ${offset}`).toBe(ErrorCode.CORRUPT);
            source.corrupt(SEGMENT, offset);
        }
    });

    it("reports damage in an earlier segment, a missing segment and a damaged snapshot as CORRUPT", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const { store } = await open(fileSystem, 100);
        for (let index = 1; index <= 10; index += 1) {
            await store.write([{ entries: entries(index, index, 1) }]);
        }
        const { header, bytes } = snapshot(2, 1, "state");
        await store.saveSnapshot(header, bytes);
        const first = fileSystem.paths.find(path => path.includes("segment")) ?? "";
        const second = fileSystem.paths.filter(path => path.includes("segment"))[1] ?? "";
        const lastByte = (await fileSystem.read(first)).length - 1;
        fileSystem.corrupt(first, lastByte);
        expect(await errorCodeOf(open(fileSystem))).toBe(ErrorCode.CORRUPT);
        fileSystem.corrupt(first, lastByte);
        fileSystem.corrupt(`${FOLDER}/snapshot`, 20);
        expect(await errorCodeOf(open(fileSystem))).toBe(ErrorCode.CORRUPT);
        fileSystem.corrupt(`${FOLDER}/snapshot`, 20);
        await fileSystem.remove(second);
        expect(await errorCodeOf(open(fileSystem))).toBe(ErrorCode.CORRUPT);
    });

    it("recovers from a crash at each operation of restoring a snapshot and resetting the log", async () => {
        const { header, bytes } = snapshot(20, 3, "state");
        for (let operations = 0; operations < 40; operations += 1) {
            const fileSystem = new FakeFileSystem(new SeededRandom(operations));
            const { store, identity } = await open(fileSystem.process(), 100);
            for (let index = 1; index <= 30; index += 3) {
                await store.write([{ hardState: hardState(4), entries: entries(index, index + 2, 2) }]);
            }
            let remaining = operations;
            fileSystem.fault = () => {
                remaining -= 1;
                return remaining < 0 ? "EIO" : undefined;
            };
            const isRestored = await errorCodeOf(store.restoreSnapshot(header, bytes)) === undefined;
            fileSystem.fault = undefined;
            fileSystem.crash();
            const opened = await open(fileSystem);
            expect(opened.identity.diskId).toBe(identity.diskId);
            expect(opened.persisted.hardState.term).toBe(4);
            const { snapshot: loadedSnapshot, entries: loadedEntries } = opened.persisted;
            expect(
                loadedSnapshot === undefined ? loadedEntries.length : loadedEntries.length + loadedSnapshot.lastIndex,
            ).toBe(loadedSnapshot ? 20 : 30);
            expect(!isRestored || loadedSnapshot !== undefined).toBe(true);
        }
    });

    it("replays truncations even when the segments before them are deleted", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const { store } = await open(fileSystem, 60);
        await store.write([{ entries: entries(1, 10, 1) }]);
        await store.write([{ entries: entries(11, 30, 1) }]);
        await store.write([{ hardState: hardState(2), truncateFromIndex: 6, entries: entries(6, 13, 2) }]);
        const { header, bytes } = snapshot(12, 2, "state");
        await store.saveSnapshot(header, bytes);
        expect(fileSystem.paths).not.toContain(SEGMENT);
        expect(summary(await open(fileSystem))).toEqual({ term: 2, entries: ["2/13"] });
    });

    // Guards against a disk that fills up: each start begins a segment, and one to which nothing was written kept all earlier
    // ones for good (issue 22).
    it("deletes the segments that a snapshot covers although a start before wrote nothing", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const { store } = await open(fileSystem);
        await store.write([{ hardState: hardState(1), entries: entries(1, 4, 1) }]);
        await open(fileSystem);
        const reopened = await open(fileSystem);
        await reopened.store.write([{ entries: entries(5, 6, 1) }]);
        const { header, bytes } = snapshot(4, 1, "state");
        await reopened.store.saveSnapshot(header, bytes);
        expect(fileSystem.paths.filter(path => path.includes("segment"))).toHaveLength(1);
        expect(summary(await open(fileSystem))).toEqual({ term: 1, entries: ["1/5", "1/6"] });
    });

    // Guards against a disk on which the unfinished snapshot of a process that died takes up space for good (issue 22).
    it("deletes an unfinished file of a process that died", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        await writeThree(fileSystem);
        fileSystem.replaceContent(`${FOLDER}/snapshot.tmp`, Buffer.from("unfinished"));
        await open(fileSystem);
        expect(fileSystem.paths).not.toContain(`${FOLDER}/snapshot.tmp`);
    });

    it("refuses the folder of another replica and a folder without an identity file", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        await writeThree(fileSystem);
        const other = ReplicaStore.open({ fileSystem, folder: FOLDER, name: "b", address: "b:1" });
        expect(await errorCodeOf(other)).toBe(ErrorCode.INVALID);
        await fileSystem.remove(`${FOLDER}/identity`);
        expect(await errorCodeOf(open(fileSystem))).toBe(ErrorCode.CORRUPT);
    });
});

const createRunner = (
    opened: OpenedStore,
    hooks: Partial<RunnerHooks> = {},
    snapshotIntervalEntries: number | undefined = undefined,
) => new ReplicaRunner({
    opened,
    snapshotIntervalEntries,
    random: new SeededRandom(1),
    defer: queueMicrotask,
    hooks: {
        send: () => undefined,
        onCommit: () => undefined,
        onRestoreSnapshot: () => undefined,
        onRoleChange: () => undefined,
        takeSnapshot: () => undefined,
        onFailed: () => undefined,
        ...hooks,
    },
}, 0);

const startSingleReplica = async (
    fileSystem: FakeFileSystem,
    hooks: Partial<RunnerHooks> = {},
    snapshotIntervalEntries: number | undefined = undefined,
) => {
    const runner = createRunner(await open(fileSystem), hooks, snapshotIntervalEntries);
    runner.form(initialMembership([runner.replica.identity]), 0);
    await waitUntilIdle(runner);
    tickFor(runner, 1_000);
    await waitUntilIdle(runner);
    return runner;
};

/** Ticks from time 0 on as often as a host process does; a single late tick would count as a stall of the process. */
const tickFor = (runner: ReplicaRunner, durationMs: number) => {
    for (let nowMs = 0; nowMs <= durationMs; nowMs += TICK_INTERVAL_MS) {
        runner.tick(nowMs);
    }
};

const waitUntilIdle = async (runner: ReplicaRunner) => {
    do {
        await Promise.resolve();
        await runner.whenIdle();
    }
    while (!runner.isIdle);
};

describe("ReplicaRunner", () => {
    it("fails on a failed sync without committing anything more", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const committed: number[] = [];
        const failures: ErrorCode[] = [];
        const runner = await startSingleReplica(fileSystem, {
            onCommit: items => committed.push(...items.map(item => item.index)),
            onFailed: error => failures.push(error.code),
        });
        expect(committed).toEqual([1, 2]);
        fileSystem.fault = name => name === FileOperation.Sync ? "EIO" : undefined;
        runner.propose([Buffer.from("record")], 1_001).unwrap();
        await waitUntilIdle(runner);
        expect(committed).toEqual([1, 2]);
        expect(failures).toEqual([ErrorCode.DISK_FAILED]);
        expect(runner.hasQuorumLease(1_002)).toBe(false);
        expect(runner.propose([Buffer.from("record")], 1_003).unwrapErr().code).toBe(ErrorCode.DISK_FAILED);
    });

    // Guards against a replica that commits what a full disk has refused, ends for it, or forgets it.
    it("commits nothing on a full disk until the refused write has succeeded", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const committed: number[] = [];
        const reports: string[] = [];
        const runner = await startSingleReplica(fileSystem, {
            onCommit: items => committed.push(...items.map(item => item.index)),
            onFailed: error => reports.push(`failed: ${error.message}`),
            onDiskFull: error => reports.push(ErrorCode[error.code]),
            onDiskWritable: () => reports.push("writable"),
        });
        fileSystem.capacityBytes = fileSystem.usedBytes + 10;
        runner.propose([Buffer.from("record")], 1_001).unwrap();
        await waitUntilIdle(runner);
        runner.tick(1_300);
        await waitUntilIdle(runner);
        expect(committed).toEqual([1, 2]);
        expect(reports).toEqual(["DISK_FAILED"]);
        fileSystem.capacityBytes = Infinity;
        runner.tick(1_600);
        await waitUntilIdle(runner);
        expect(committed).toEqual([1, 2, 3]);
        expect(reports).toEqual(["DISK_FAILED", "writable"]);
        expect(runner.propose([Buffer.from("record")], 1_601).isOk()).toBe(true);
    });

    // Guards against a disk that is full for the snapshot only: it must neither end the replica nor be forgotten.
    it("takes a snapshot again that a full disk has refused", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const reports: string[] = [];
        const runner = await startSingleReplica(fileSystem, {
            onFailed: error => reports.push(error.message),
            onSnapshotPostponed: () => reports.push("postponed"),
            takeSnapshot: () => Buffer.from("state"),
        }, 5);
        fileSystem.fault = (operation, path) =>
            operation === FileOperation.Append && path.endsWith(".tmp") ? "ENOSPC" : undefined;
        const records = Array.from({ length: 5 }, () => Buffer.from("record"));
        runner.propose(records, 1_001).unwrap();
        await waitUntilIdle(runner);
        expect(reports).toEqual(["postponed"]);
        fileSystem.fault = undefined;
        runner.propose(records.slice(1), 1_020).unwrap();
        await waitUntilIdle(runner);
        expect(runner.replica.snapshotIndex).toBe(0);
        runner.tick(4_000);
        await waitUntilIdle(runner);
        expect(runner.replica.snapshotIndex).toBe(11);
        expect(reports).toEqual(["postponed"]);
    });

    it("combines the records of one event loop iteration and of a write in progress into one sync each", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const runner = await startSingleReplica(fileSystem);
        const before = fileSystem.syncCount;
        for (let record = 0; record < 100; record += 1) {
            runner.propose([Buffer.from("record")], 1_001).unwrap();
        }
        await waitUntilIdle(runner);
        expect(runner.replica.commitIndex).toBe(102);
        expect(fileSystem.syncCount - before).toBe(1);
    });

    // Guards against replicas that all fill their disks at the same record: few records, but large ones, such as the
    // changes of a long configuration.
    it("takes snapshots often enough that large records don't fill a small disk", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        fileSystem.capacityBytes = 64 * 1024 * 1024;
        const failures: ErrorCode[] = [];
        const runner = await startSingleReplica(fileSystem, {
            takeSnapshot: () => Buffer.alloc(LARGE_RECORD_BYTES),
            onFailed: error => failures.push(error.code),
        });
        for (let record = 0; record < 200; record += 1) {
            runner.propose([Buffer.alloc(LARGE_RECORD_BYTES)], 1_001);
            await waitUntilIdle(runner);
        }
        expect(failures).toEqual([]);
        expect(runner.replica.commitIndex).toBe(202);
    });

    it("restarts after 50,000 entries with the complete state and a bounded log", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        let count = 0;
        const hooks: Partial<RunnerHooks> = {
            onCommit: items => (count += items.filter(item => item.body.case === "data").length),
            onRestoreSnapshot: (_header, bytes) => (count = Number(Buffer.from(bytes).toString())),
            takeSnapshot: () => Buffer.from(String(count)),
        };
        const runner = await startSingleReplica(fileSystem, hooks);
        for (let batch = 0; batch < 500; batch += 1) {
            runner.propose(Array.from({ length: 100 }, () => Buffer.alloc(150)), 1_001).unwrap();
            await waitUntilIdle(runner);
        }
        expect(runner.replica.logLength).toBeLessThan(12_000);
        fileSystem.crash();
        count = 0;
        const restarted = createRunner(await open(fileSystem), hooks);
        tickFor(restarted, 1_000);
        await waitUntilIdle(restarted);
        expect(count).toBe(50_000);
        expect(fileSystem.usedBytes).toBeLessThan(20_000_000);
    });
});
