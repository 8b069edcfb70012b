import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { ReplicaStore } from "@waxwingspread/consensus";
import type { FileSystem, OpenedStore, WritePart } from "@waxwingspread/consensus";
import { HardStateSchema, LogEntrySchema } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { FakeFileSystem, FileOperation, TornWrite } from "./fake-file-system.js";

const FOLDER = "/data/log";

const open = (fileSystem: FileSystem) => ReplicaStore.open({ fileSystem, folder: FOLDER, name: "a", address: "a:1" });

const entry = (index: number, term: number) =>
    create(LogEntrySchema, { index, term, body: { case: "data", value: Buffer.from(`${term}/${index}`) } });

const vote = (term: number) => create(HardStateSchema, { term, votedForDiskId: `candidate-${term}` });

const summary = ({ persisted }: OpenedStore) => ({
    term: persisted.hardState.term,
    votedFor: persisted.hardState.votedForDiskId,
    entries: persisted.entries.map(item => `${item.term}/${item.index}`),
});

/** Writes the parts in a process that dies before it syncs them. */
const writeAndDieBeforeSync = async (fileSystem: FakeFileSystem, parts: WritePart[]) => {
    const { store } = await open(fileSystem.process());
    fileSystem.delay = operation => {
        if (operation === FileOperation.Sync) {
            fileSystem.endProcess();
        }
        return undefined;
    };
    await expect(store.write(parts)).rejects.toThrow("EBADF");
    fileSystem.delay = undefined;
};

describe("a write whose sync has failed", () => {
    // Guards against a replica that acknowledges what its disk doesn't hold: after a failed sync the operating system still
    // returns the bytes to readers and reports the next sync as successful, without writing them (issue 22).
    it("is not read back by the next process", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const { store } = await open(fileSystem.process());
        await store.write([{ hardState: vote(1), entries: [entry(1, 1)] }]);
        fileSystem.fault = operation => operation === FileOperation.Sync ? "EIO" : undefined;
        await expect(store.write([{ hardState: vote(2), entries: [entry(2, 2)] }])).rejects.toThrow("EIO");
        fileSystem.fault = undefined;
        fileSystem.endProcess();
        const reopened = await open(fileSystem.process());
        const next = reopened.persisted.entries.length + 1;
        await reopened.store.write([{ entries: [entry(next, 3)] }]);
        const reported = [...summary(reopened).entries, `3/${next}`];
        fileSystem.crash(TornWrite.Lost);
        const { entries, term } = summary(await open(fileSystem));
        expect(entries).toEqual(reported);
        expect(term).toBe(reopened.persisted.hardState.term);
    });
});

describe("a write that was not synced when the process died", () => {
    // Guards against a replica that acknowledges entries which a later loss of power removes, and then can't read its
    // log because the next segment continues after them (issue 22).
    it("is durable once it has been read back", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        await writeAndDieBeforeSync(fileSystem, [{ hardState: vote(1), entries: [entry(1, 1), entry(2, 1)] }]);
        const reopened = await open(fileSystem.process());
        expect(summary(reopened).entries).toEqual(["1/1", "1/2"]);
        await reopened.store.write([{ entries: [entry(3, 1)] }]);
        fileSystem.crash(TornWrite.Lost);
        expect(summary(await open(fileSystem)).entries).toEqual(["1/1", "1/2", "1/3"]);
    });

    // Guards against two votes in one term: the replica reports the vote that it has read back, and forgets it.
    it("keeps the term and the vote that have been read back", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        await writeAndDieBeforeSync(fileSystem, [{ hardState: vote(5), entries: [] }]);
        const { votedFor, term } = summary(await open(fileSystem.process()));
        fileSystem.crash(TornWrite.Lost);
        expect(summary(await open(fileSystem))).toMatchObject({ votedFor, term });
    });
});

describe("a write whose sync has failed", () => {
    // Guards against a replica that counts entries and a vote which the disk doesn't hold: after a failed sync the
    // operating system may return them to the next process and report the next sync as successful (issue 22).
    it("is not read back by the next process", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        const { store } = await open(fileSystem.process());
        await store.write([{ hardState: vote(1), entries: [entry(1, 1)] }]);
        fileSystem.fault = operation => operation === FileOperation.Sync ? "EIO" : undefined;
        await expect(store.write([{ hardState: vote(2), entries: [entry(2, 2)] }])).rejects.toThrow("EIO");
        fileSystem.fault = undefined;
        fileSystem.endProcess();
        const reopened = await open(fileSystem.process());
        const counted = summary(reopened);
        await reopened.store.write([{ entries: [entry(counted.entries.length + 1, 2)] }]);
        fileSystem.crash(TornWrite.Lost);
        expect(summary(await open(fileSystem))).toMatchObject({
            term: counted.term,
            votedFor: counted.votedFor,
            entries: [...counted.entries, `2/${counted.entries.length + 1}`],
        });
    });
});
