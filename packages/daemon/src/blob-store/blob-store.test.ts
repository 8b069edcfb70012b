import { create } from "@bufbuild/protobuf";
import { BlobReferenceSchema } from "@waxwingspread/protocol";
import type { BlobReference } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import { appendFile, mkdtemp, open, readdir, rm, stat, truncate } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { BlobStore } from "./blob-store.js";

const referenceOf = (data: Uint8Array): BlobReference =>
    create(BlobReferenceSchema, { sha256: createHash("sha256").update(data).digest(), sizeBytes: data.length });

/** Returns the prototype of all open files, whose methods can be replaced. */
const fileHandlePrototype = async (folder: string): Promise<FileHandle> => {
    const handle = await open(folder, "r");
    const prototype = Object.getPrototypeOf(handle) as FileHandle;
    await handle.close();
    return prototype;
};

/** Records the inode numbers of the files that are synced while an operation runs. */
const recordSyncs = async (folder: string, operation: () => Promise<void>): Promise<number[]> => {
    const prototype = await fileHandlePrototype(folder);
    const inodes: number[] = [];
    const { datasync } = prototype;
    const spy = vi.spyOn(prototype, "datasync").mockImplementation(async function(this: FileHandle) {
        inodes.push((await this.stat()).ino);
        await datasync.call(this);
    });
    await operation().finally(() => spy.mockRestore());
    return inodes;
};

describe("BlobStore", () => {
    let folder = "";

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "blob-store-"));
    });

    afterEach(async () => {
        await rm(folder, { recursive: true });
    });

    it("returns earlier blobs after a restart if the last write was torn at any byte", async () => {
        const first = Buffer.from("first blob");
        const second = Buffer.from("second, torn");
        const store = await BlobStore.open(folder, 1);
        await store.put(referenceOf(first), first, 1);
        const segment = join(folder, (await readdir(folder))[0] ?? "");
        const wholeBytes = (await stat(segment)).size;
        await store.put(referenceOf(second), second, 1);
        const tornBytes = (await stat(segment)).size;
        await store.close();
        for (let sizeBytes = tornBytes - 1; sizeBytes >= wholeBytes; sizeBytes -= 1) {
            await truncate(segment, sizeBytes);
            const reopened = await BlobStore.open(folder, 2);
            expect(Buffer.from((await reopened.get(referenceOf(first))) ?? [])).toEqual(first);
            expect(reopened.has(referenceOf(second))).toBe(false);
            await reopened.close();
        }
    });

    it("treats a corrupt blob as missing instead of returning wrong bytes", async () => {
        const data = Buffer.from("to be damaged");
        const store = await BlobStore.open(folder, 1);
        await store.put(referenceOf(data), data, 1);
        await store.close();
        const segment = join(folder, (await readdir(folder))[0] ?? "");
        await truncate(segment, (await stat(segment)).size - 1);
        await appendFile(segment, "X");
        const reopened = await BlobStore.open(folder, 2);
        expect(await reopened.get(referenceOf(data))).toBeUndefined();
        expect(reopened.has(referenceOf(data))).toBe(false);
        await reopened.close();
    });

    // Guards against a blob that a submission relies on and that is lost with the power: a process that died between a
    // write and its sync leaves it in the operating system's cache only (issue 22).
    it("syncs the segments that it reads back before their blobs count", async () => {
        const data = Buffer.from("written by a process that died");
        const store = await BlobStore.open(folder, 1);
        await store.put(referenceOf(data), data, 1);
        await store.close();
        const segment = join(folder, (await readdir(folder))[0] ?? "");
        const { ino } = await stat(segment);
        const inodes = await recordSyncs(folder, async () => {
            await (await BlobStore.open(folder, 2)).close();
        });
        expect(inodes).toContain(ino);
    });

    // Guards against a blob that counts as stored although the disk doesn't hold it: after a failed sync the operating system
    // may still return it to the next process and report the next sync as successful (issue 22).
    it("doesn't read back a blob whose sync has failed", async () => {
        const [first, second] = [Buffer.from("synced"), Buffer.from("sync failed")] as const;
        const store = await BlobStore.open(folder, 1);
        await store.put(referenceOf(first), first, 1);
        const spy = vi.spyOn(await fileHandlePrototype(folder), "datasync").mockRejectedValueOnce(new Error("EIO"));
        await expect(store.put(referenceOf(second), second, 1)).rejects.toThrow("EIO");
        spy.mockRestore();
        await store.close();
        const reopened = await BlobStore.open(folder, 2);
        expect(reopened.has(referenceOf(first))).toBe(true);
        expect(reopened.has(referenceOf(second))).toBe(false);
        await reopened.close();
    });

    // Guards against a submission that is accepted although its blob is damaged: a loss of power may keep the header of a
    // blob that was not synced without its data (issue 22).
    it("stores a blob again whose copy from before a restart is damaged", async () => {
        const data = Buffer.from("header kept, data lost");
        const store = await BlobStore.open(folder, 1);
        await store.put(referenceOf(data), data, 1);
        await store.close();
        const segment = join(folder, (await readdir(folder))[0] ?? "");
        const { size } = await stat(segment);
        await truncate(segment, size - data.length);
        await truncate(segment, size);
        const reopened = await BlobStore.open(folder, 2);
        await reopened.put(referenceOf(data), data, 2);
        expect(Buffer.from((await reopened.get(referenceOf(data))) ?? [])).toEqual(data);
        await reopened.close();
    });

    it("refuses data that doesn't match its digest", async () => {
        const store = await BlobStore.open(folder, 1);
        await expect(store.put(referenceOf(Buffer.from("a")), Buffer.from("b"), 1)).rejects.toThrow("digest");
        await store.close();
    });

    it("frees segments without live blobs and copies the live ones forward", async () => {
        const store = await BlobStore.open(folder, 1);
        const kept = Buffer.from("kept");
        const dropped = Buffer.alloc(10_000, 7);
        await store.put(referenceOf(kept), kept, 1);
        await store.put(referenceOf(dropped), dropped, 1);
        await store.close();
        const reopened = await BlobStore.open(folder, 100);
        const live = referenceOf(kept).sha256;
        const freed = await reopened.collectGarbage(digest => Buffer.from(digest).equals(live), 101);
        expect(freed).toBe(1);
        expect(reopened.has(referenceOf(dropped))).toBe(false);
        expect(Buffer.from((await reopened.get(referenceOf(kept))) ?? [])).toEqual(kept);
        await reopened.close();
    });

    it("keeps a blob that was put just before a restart and isn't referenced yet", async () => {
        // Guards against an accepted job without its payload: the submission stores it before the job is accepted.
        const store = await BlobStore.open(folder, 1);
        const data = Buffer.from("payload of a submission in progress");
        await store.put(referenceOf(data), data, 1_000);
        await store.close();
        const reopened = await BlobStore.open(folder, 1_001);
        await reopened.collectGarbage(() => false, 900);
        expect(reopened.has(referenceOf(data))).toBe(true);
        await reopened.collectGarbage(() => false, 1_002);
        expect(reopened.has(referenceOf(data))).toBe(false);
        await reopened.close();
    });
});
