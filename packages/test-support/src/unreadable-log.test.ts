import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { openOrReplaceStore } from "@waxwingspread/consensus";
import type { FileSystem, OpenedStore } from "@waxwingspread/consensus";
import { ErrorCode, LogEntrySchema } from "@waxwingspread/protocol";
import { crc32 } from "node:zlib";
import { describe, expect, it } from "vitest";
import { FakeFileSystem, FileOperation } from "./fake-file-system.js";

const FOLDER = "/data/log";
const SET_ASIDE = "/data/log.unreadable";
const SEGMENT = `${FOLDER}/segment-000000000001.log`;
const FIRST_RECORD_BYTE = 20;

interface OpenSettings {
    diskId?: string;
    name?: string;
    onReplace?: (reason: string) => void;
}

const open = (fileSystem: FileSystem, { diskId = "disk-1", name = "a", onReplace }: OpenSettings = {}) =>
    openOrReplaceStore(
        { fileSystem, folder: FOLDER, name, address: "a:1", newDiskId: () => diskId },
        reason => onReplace?.(reason.message),
    );

const errorCodeOf = (operation: Promise<unknown>): Promise<ErrorCode | undefined> =>
    operation.then(() => undefined, (error: { code: ErrorCode }) => error.code);

/** Returns a disk with a log of two synced writes, of which the first one is damaged. */
const createUnreadableLog = async (seed = 1): Promise<FakeFileSystem> => {
    const fileSystem = new FakeFileSystem(new SeededRandom(seed));
    await writeEntries(await open(fileSystem));
    fileSystem.corrupt(SEGMENT, FIRST_RECORD_BYTE);
    return fileSystem;
};

const writeEntries = async ({ store }: OpenedStore): Promise<void> => {
    for (const index of [1, 2]) {
        await store.write([{ entries: [create(LogEntrySchema, { index, term: 1 })] }]);
    }
};

/** Returns a record without payload, whose checksum is right and whose kind is unknown. */
const encodeUnknownRecord = (): Buffer => {
    const record = Buffer.from("525763010300000000000000", "hex");
    const checksum = Buffer.alloc(4);
    checksum.writeUInt32LE(crc32(record));
    return Buffer.concat([record, checksum]);
};

const pathsIn = (fileSystem: FakeFileSystem, folder: string) =>
    fileSystem.paths.filter(path => path.startsWith(`${folder}/`));

describe("openOrReplaceStore", () => {
    // Guards against a replica that ends at each start for good because it can't read its log (issue 22).
    it("replaces an unreadable log by an empty one with a new disk id, and keeps the unreadable one", async () => {
        const fileSystem = await createUnreadableLog();
        const damaged = await fileSystem.read(SEGMENT);
        const reasons: string[] = [];
        const opened = await open(fileSystem, { diskId: "disk-2", onReplace: reason => reasons.push(reason) });
        expect(opened.identity).toMatchObject({ diskId: "disk-2", replacesUnreadableLog: true });
        expect(opened.persisted.entries).toEqual([]);
        expect(reasons).toEqual([expect.stringContaining("invalid record at byte 16")]);
        expect(await fileSystem.read(`${SET_ASIDE}/segment-000000000001.log`)).toEqual(damaged);
    });

    // Guards against a log that comes back under its former identity, and against a replica that forgets, when the power is
    // lost while it is replaced, that it must not form a cluster (issue 22).
    it("is replaced for good, wherever the process dies or the power is lost meanwhile", async () => {
        const ends = [(disk: FakeFileSystem) => disk.crash(), (disk: FakeFileSystem) => disk.endProcess()];
        for (let operations = 0; operations < 30; operations += 1) {
            for (const end of ends) {
                const fileSystem = await createUnreadableLog(operations);
                let remaining = operations;
                fileSystem.delay = () => {
                    if (remaining === 0) {
                        end(fileSystem);
                    }
                    remaining -= 1;
                    return undefined;
                };
                await open(fileSystem.process(), { diskId: "disk-2" }).catch(() => undefined);
                fileSystem.delay = undefined;
                const { identity, store } = await open(fileSystem.process(), { diskId: "disk-3" });
                expect(["disk-2", "disk-3"]).toContain(identity.diskId);
                expect(identity.replacesUnreadableLog).toBe(true);
                await store.write([{ entries: [create(LogEntrySchema, { index: 1, term: 7 })] }]);
                fileSystem.crash();
                const { identity: loaded, persisted } = await open(fileSystem, { diskId: "disk-4" });
                expect(loaded).toEqual(identity);
                expect(persisted.entries.map(({ term }) => term)).toEqual([7]);
            }
        }
    });

    // Guards against small disks that fill up with logs that were set aside (issue 22).
    it("keeps only the last unreadable log", async () => {
        const fileSystem = await createUnreadableLog();
        await writeEntries(await open(fileSystem, { diskId: "disk-2" }));
        const first = pathsIn(fileSystem, SET_ASIDE).length;
        fileSystem.corrupt(SEGMENT, FIRST_RECORD_BYTE);
        expect((await open(fileSystem, { diskId: "disk-3" })).identity.diskId).toBe("disk-3");
        expect(pathsIn(fileSystem, SET_ASIDE)).toHaveLength(first);
        expect(await fileSystem.list("/data")).toEqual(expect.arrayContaining(["log", "log.unreadable"]));
    });

    // Guards against a log that is given up by a former version of the program after a failed upgrade (issue 22).
    it("leaves a log as it is that contains a record of a later version", async () => {
        const fileSystem = new FakeFileSystem(new SeededRandom(1));
        await writeEntries(await open(fileSystem));
        await (await fileSystem.openAppend(SEGMENT)).append(encodeUnknownRecord());
        expect(await errorCodeOf(open(fileSystem, { diskId: "disk-2" }))).toBe(ErrorCode.INVALID);
        expect(await fileSystem.list("/data")).toEqual(["log"]);
    });

    // Guards against a log that is given up although it may be whole: the disk doesn't respond, or the settings name
    // another replica (issue 22).
    it.each([
        ["can't be read", ErrorCode.DISK_FAILED, "a", FileOperation.Read],
        ["belongs to another replica", ErrorCode.INVALID, "b", undefined],
    ])("leaves a folder as it is that %s", async (_reason, code, name, failing) => {
        const fileSystem = await createUnreadableLog();
        const { paths } = fileSystem;
        fileSystem.fault = operation => operation === failing ? "EIO" : undefined;
        expect(await errorCodeOf(open(fileSystem, { diskId: "disk-2", name }))).toBe(code);
        expect(fileSystem.paths).toEqual(paths);
    });
});
