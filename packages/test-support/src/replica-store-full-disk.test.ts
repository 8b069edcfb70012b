import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { isDiskFullError, ReplicaStore } from "@waxwingspread/consensus";
import type { FileSystem, OpenedStore } from "@waxwingspread/consensus";
import { HardStateSchema, LogEntrySchema, SnapshotHeaderSchema } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import { describe, expect, it } from "vitest";
import { FakeFileSystem, FileOperation, TornWrite } from "./fake-file-system.js";

const FOLDER = "/data/log";
const SEGMENT_BYTES = 200;

const open = (fileSystem: FileSystem) =>
    ReplicaStore.open({ fileSystem, folder: FOLDER, name: "a", address: "a:1", segmentBytes: SEGMENT_BYTES });

const entry = (index: number) =>
    create(LogEntrySchema, { index, term: 1, body: { case: "data", value: Buffer.from(`record ${index}`) } });

const vote = (term: number) => create(HardStateSchema, { term, votedForDiskId: "b" });

const SNAPSHOT_BYTES = Buffer.from("state");

const snapshotAt = (lastIndex: number) =>
    create(SnapshotHeaderSchema, {
        lastIndex,
        lastTerm: 1,
        sizeBytes: SNAPSHOT_BYTES.length,
        sha256: createHash("sha256").update(SNAPSHOT_BYTES).digest(),
    });

const indexesOf = ({ persisted }: OpenedStore) => persisted.entries.map(item => item.index);

const refuse = (fileSystem: FakeFileSystem, code: string, ...operations: FileOperation[]) => {
    fileSystem.fault = operation => operations.includes(operation) ? code : undefined;
};

/** Expects that a call fails for want of room. */
const expectRefused = async (call: Promise<unknown>) => {
    const error: unknown = await call.then(() => undefined, (reason: unknown) => reason);
    expect(isDiskFullError(error)).toBe(true);
};

const createStore = async () => {
    const fileSystem = new FakeFileSystem(new SeededRandom(1));
    const { store } = await open(fileSystem.process());
    await store.write([{ hardState: vote(1), entries: [entry(1)] }]);
    return { fileSystem, store };
};

describe("a log write on a full disk", () => {
    // Guards against a store that a full disk ends for good, and against bytes of a refused write that stay in the log.
    it.each([
        ["ENOSPC", [FileOperation.Append]],
        ["EDQUOT", [FileOperation.Append]],
        ["ENOSPC", [FileOperation.Sync]],
        ["ENOSPC", [FileOperation.Append, FileOperation.Truncate]],
        ["ENOSPC", [FileOperation.Sync, FileOperation.Truncate]],
    ])("can be repeated after %s at %s", async (code, operations) => {
        const { fileSystem, store } = await createStore();
        refuse(fileSystem, code, ...operations);
        const parts = [{ hardState: vote(2), entries: [entry(2)] }];
        await expectRefused(store.write(parts));
        await expectRefused(store.write(parts));
        fileSystem.fault = undefined;
        await store.write(parts);
        await store.write([{ entries: [entry(3)] }]);
        fileSystem.crash(TornWrite.Lost);
        const opened = await open(fileSystem);
        expect(indexesOf(opened)).toEqual([1, 2, 3]);
        expect(opened.persisted.hardState.term).toBe(2);
    });

    // Guards against a torn write in the middle of the log, which the next start would take for corruption.
    it.each([false, true])(
        "removes what a short write has left, with truncation refused at first: %s",
        async isRefused => {
            const { fileSystem, store } = await createStore();
            fileSystem.capacityBytes = fileSystem.usedBytes + 20;
            refuse(fileSystem, "ENOSPC", ...isRefused ? [FileOperation.Truncate] : []);
            await expectRefused(store.write([{ entries: [entry(2)] }]));
            fileSystem.fault = undefined;
            fileSystem.capacityBytes = Infinity;
            await store.write([{ entries: [entry(2)] }]);
            await store.write([{ entries: [entry(3), entry(4), entry(5), entry(6)] }]);
            await store.write([{ entries: [entry(7)] }]);
            expect(fileSystem.paths.filter(path => path.endsWith(".log"))).toHaveLength(2);
            expect(indexesOf(await open(fileSystem))).toEqual([1, 2, 3, 4, 5, 6, 7]);
        },
    );

    // Guards against a segment that is used before its name is durable, and against a gap in the sequence of segments.
    it.each([FileOperation.Open, FileOperation.SyncFolder])(
        "starts the next segment later after %s",
        async operation => {
            const { fileSystem, store } = await createStore();
            await store.write([{ entries: [entry(2), entry(3), entry(4), entry(5)] }]);
            refuse(fileSystem, "ENOSPC", operation);
            await expectRefused(store.write([{ entries: [entry(6)] }]));
            await expectRefused(store.write([{ entries: [entry(6)] }]));
            fileSystem.fault = undefined;
            await store.write([{ entries: [entry(6)] }]);
            fileSystem.crash(TornWrite.Lost);
            expect(indexesOf(await open(fileSystem))).toEqual([1, 2, 3, 4, 5, 6]);
        },
    );

    // Guards against a failing disk that is taken for a full one: what it holds is unknown.
    it("is not repeated after EIO", async () => {
        const { fileSystem, store } = await createStore();
        refuse(fileSystem, "EIO", FileOperation.Append);
        await expect(store.write([{ entries: [entry(2)] }])).rejects.toThrow("EIO");
        fileSystem.fault = undefined;
        await expect(store.write([{ entries: [entry(2)] }])).rejects.toThrow("EIO");
    });
});

describe("a snapshot on a full disk", () => {
    // Guards against a snapshot that ends the store, replaces the former one in part, or keeps room that the log needs.
    it.each([FileOperation.Open, FileOperation.Append, FileOperation.Sync, FileOperation.Rename])(
        "is refused at %s without a change",
        async operation => {
            const { fileSystem, store } = await createStore();
            refuse(fileSystem, "ENOSPC", operation);
            await expectRefused(store.saveSnapshot(snapshotAt(1), SNAPSHOT_BYTES));
            fileSystem.fault = undefined;
            expect(fileSystem.paths.filter(path => path.endsWith(".tmp"))).toEqual([]);
            await store.write([{ entries: [entry(2)] }]);
            expect(indexesOf(await open(fileSystem))).toEqual([1, 2]);
        },
    );

    // Guards against segments that are forgotten, or removed out of order, when a removal fails.
    it.each([FileOperation.Remove, FileOperation.SyncFolder])("removes segments later after %s", async operation => {
        const { fileSystem, store } = await createStore();
        await store.write([{ entries: [entry(2), entry(3), entry(4), entry(5)] }]);
        await store.write([{ entries: [entry(6)] }]);
        let isRemoving = false;
        fileSystem.fault = name => {
            isRemoving ||= name === FileOperation.Remove;
            return name === operation && isRemoving ? "ENOSPC" : undefined;
        };
        await expectRefused(store.saveSnapshot(snapshotAt(5), SNAPSHOT_BYTES));
        fileSystem.fault = undefined;
        await store.saveSnapshot(snapshotAt(6), SNAPSHOT_BYTES);
        expect(fileSystem.paths.filter(path => path.endsWith(".log"))).toHaveLength(1);
        expect(indexesOf(await open(fileSystem))).toEqual([]);
    });

    // Guards against a leader's snapshot that is stored without the reset of the log, or with a segment for each attempt.
    it("of the leader can be restored again after each refusal", async () => {
        const { fileSystem, store } = await createStore();
        refuse(fileSystem, "ENOSPC", FileOperation.Append);
        await expectRefused(store.restoreSnapshot(snapshotAt(9), SNAPSHOT_BYTES));
        const before = fileSystem.paths;
        fileSystem.fault = (operation, path) =>
            operation === FileOperation.Append && path.endsWith(".log") ? "ENOSPC" : undefined;
        await expectRefused(store.restoreSnapshot(snapshotAt(9), SNAPSHOT_BYTES));
        await expectRefused(store.restoreSnapshot(snapshotAt(9), SNAPSHOT_BYTES));
        expect(fileSystem.paths.length).toBe(before.length + 2);
        fileSystem.fault = undefined;
        await store.restoreSnapshot(snapshotAt(9), SNAPSHOT_BYTES);
        await store.write([{ entries: [entry(10)] }]);
        fileSystem.crash(TornWrite.Lost);
        const opened = await open(fileSystem);
        expect(opened.persisted.snapshot?.lastIndex).toBe(9);
        expect(indexesOf(opened)).toEqual([10]);
    });
});

describe("a start on a full disk", () => {
    // Guards against a replica that can't start although reading its log needs no room.
    it("reads the log, and writes when there is room", async () => {
        const { fileSystem } = await createStore();
        fileSystem.endProcess();
        fileSystem.fault = (operation, path) =>
            operation === FileOperation.Append || (operation === FileOperation.Open && !fileSystem.paths.includes(path))
                ? "ENOSPC"
                : undefined;
        const opened = await open(fileSystem.process());
        expect(indexesOf(opened)).toEqual([1]);
        await expectRefused(opened.store.write([{ entries: [entry(2)] }]));
        fileSystem.fault = undefined;
        await opened.store.write([{ entries: [entry(2)] }]);
        fileSystem.crash(TornWrite.Lost);
        expect(indexesOf(await open(fileSystem))).toEqual([1, 2]);
    });

    // Guards against entries that count although the sync of what a former process has written was refused.
    it("fails for want of room if the log can't be synced, and can be repeated", async () => {
        const { fileSystem } = await createStore();
        fileSystem.endProcess();
        refuse(fileSystem, "ENOSPC", FileOperation.Sync);
        await expectRefused(open(fileSystem.process()));
        fileSystem.fault = undefined;
        expect(indexesOf(await open(fileSystem.process()))).toEqual([1]);
    });
});
