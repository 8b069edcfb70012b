import { SeededRandom } from "@waxwingspread/common";
import { describe, expect, it } from "vitest";
import { FakeFileSystem, TornWrite } from "./fake-file-system.js";

const PATH = "/data/file";

const createFile = async () => {
    const fileSystem = new FakeFileSystem(new SeededRandom(1));
    const file = await fileSystem.process().openAppend(PATH);
    await fileSystem.syncFolder("/data");
    await file.append(Buffer.from("synced"));
    await file.sync();
    await file.append(Buffer.from(", unsynced"));
    return { fileSystem, file };
};

const contentOf = async (fileSystem: FakeFileSystem) => Buffer.from(await fileSystem.read(PATH)).toString();

describe("FakeFileSystem", () => {
    // Guards against a fake that treats the death of a process like a sync, under which a later loss of power is harmless.
    it("keeps unsynced bytes when a process dies, and loses them with the power", async () => {
        const { fileSystem, file } = await createFile();
        fileSystem.endProcess();
        await expect(file.sync()).rejects.toThrow("EBADF");
        expect(await contentOf(fileSystem)).toBe("synced, unsynced");
        fileSystem.crash(TornWrite.Lost);
        expect(await contentOf(fileSystem)).toBe("synced");
    });

    it("keeps the bytes of a process that has died once another process has synced them", async () => {
        const { fileSystem } = await createFile();
        fileSystem.endProcess();
        await (await fileSystem.openAppend(PATH)).sync();
        fileSystem.crash(TornWrite.Lost);
        expect(await contentOf(fileSystem)).toBe("synced, unsynced");
    });

    it("keeps unsynced folder changes when a process dies, and may lose them with the power", async () => {
        const outcomes = new Set<boolean>();
        for (let seed = 0; seed < 20; seed += 1) {
            const fileSystem = new FakeFileSystem(new SeededRandom(seed));
            await fileSystem.process().openAppend(PATH);
            fileSystem.endProcess();
            expect(fileSystem.paths).toEqual([PATH]);
            fileSystem.crash();
            outcomes.add(fileSystem.paths.length > 0);
        }
        expect([...outcomes].sort()).toEqual([false, true]);
    });
});
