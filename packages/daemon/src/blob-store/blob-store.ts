import { messageOf, StepError } from "@waxwingspread/common";
import { NodeFileSystem } from "@waxwingspread/consensus";
import { ErrorCode } from "@waxwingspread/protocol";
import type { BlobReference } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import type { FileHandle } from "node:fs/promises";
import { open, readdir, unlink } from "node:fs/promises";
import { join } from "node:path";
import { DIGEST_BYTES, encodeFrame } from "./blob-frame.js";
import { scanSegment, segmentName, segmentNumberOf } from "./segment-file.js";
import { digestKey, SegmentIndex } from "./segment-index.js";
import type { BlobLocation } from "./segment-index.js";

/** Size at which the active segment is closed and a new one is started. */
const SEGMENT_LIMIT_BYTES = 64 * 1024 * 1024;
/** A closed segment is compacted if its live blobs take up at most this fraction of its size. */
const COMPACTION_RATIO = 0.25;

interface QueuedWrite {
    digest: Uint8Array;
    data: Uint8Array;
    done: (error: StepError | undefined) => void;
}

/**
 * Content-addressed blob store in append-only segment files in one folder. A blob is acknowledged once it is synced.
 * Writes that arrive during a sync share the next one (group commit).
 */
export class BlobStore {
    readonly #folder: string;
    readonly #index = new SegmentIndex();
    readonly #files = new Map<number, FileHandle>();
    #activeSegment = 0;
    readonly #openedAtMs: number;
    /**
     * Time of the last put of each blob since the store was opened. Recently put blobs are retained, since they may not
     * be referenced yet.
     */
    readonly #lastPutMs = new Map<string, number>();
    #queue: QueuedWrite[] = [];
    #writing: Promise<void> | undefined;
    #failure: StepError | undefined;

    private constructor(folder: string, openedAtMs: number) {
        this.#folder = folder;
        this.#openedAtMs = openedAtMs;
    }

    /** Opens the store and creates its folder if it does not exist. Fails with DISK_FAILED. */
    static async open(folder: string, nowMs: number): Promise<BlobStore> {
        const store = new BlobStore(folder, nowMs);
        try {
            await store.#load(nowMs);
        }
        catch (error) {
            throw store.#diskError("open blob store", error);
        }
        return store;
    }

    get blobCount(): number {
        return this.#index.size;
    }

    get storedBytes(): number {
        return this.#index.totalBytes;
    }

    has(reference: BlobReference): boolean {
        return this.#index.locate(reference.sha256) !== undefined;
    }

    /** Stores a blob and resolves once it is synced. Fails with CORRUPT on a wrong size or digest, and DISK_FAILED. */
    async put(reference: BlobReference, data: Uint8Array, nowMs: number): Promise<void> {
        if (!matchesReference(reference, data)) {
            throw new StepError(
                ErrorCode.CORRUPT,
                "store blob",
                "",
                "the data doesn't match the blob's digest or size",
            );
        }
        this.#lastPutMs.set(digestKey(reference.sha256), nowMs);
        // A copy from before a restart may be damaged, so that its presence in the index doesn't suffice.
        if (await this.get(reference) !== undefined) {
            return;
        }
        const error = await new Promise<StepError | undefined>(done => {
            this.#queue.push({ digest: reference.sha256, data, done });
            this.#writing ??= this.#writeQueue();
        });
        if (error !== undefined) {
            throw error;
        }
    }

    /** Returns a blob, or undefined if it is missing or corrupt. */
    async get(reference: BlobReference): Promise<Uint8Array | undefined> {
        const location = this.#index.locate(reference.sha256);
        const data = location === undefined ? undefined : await this.#read(location);
        if (data === undefined) {
            return undefined;
        }
        if (!matchesReference(reference, data)) {
            // Drops the corrupt copy, so that it is fetched again from another replica.
            this.#index.remove(reference.sha256);
            return undefined;
        }
        return data;
    }

    /**
     * Deletes closed segments that hold few blobs that are live or were put after `beforeMs`, after copying those blobs
     * to the active segment. Blobs from before the store was opened count as put at that time. Returns the number of
     * deleted segments.
     */
    async collectGarbage(isLive: (digest: Uint8Array) => boolean, beforeMs: number): Promise<number> {
        if (beforeMs <= this.#openedAtMs) {
            return 0;
        }
        this.#expirePutsBefore(beforeMs);
        const isKept = (digest: Uint8Array): boolean => isLive(digest) || this.#lastPutMs.has(digestKey(digest));
        let deletedSegments = 0;
        for (const segment of this.#index.segmentsExcept(this.#activeSegment)) {
            const { live, liveBytes } = this.#index.liveBlobs(segment, isKept);
            if (liveBytes > this.#index.segmentBytes(segment) * COMPACTION_RATIO) {
                continue;
            }
            await this.#copyForward(live);
            await this.#deleteSegment(segment);
            deletedSegments += 1;
        }
        return deletedSegments;
    }

    /** Waits for queued writes and closes all files. */
    async close(): Promise<void> {
        await this.#writing;
        for (const file of this.#files.values()) {
            await file.close();
        }
        this.#files.clear();
    }

    #expirePutsBefore(beforeMs: number): void {
        for (const [key, putAtMs] of this.#lastPutMs) {
            if (putAtMs < beforeMs) {
                this.#lastPutMs.delete(key);
            }
        }
    }

    async #load(nowMs: number): Promise<void> {
        await new NodeFileSystem().makeFolder(this.#folder);
        const numbers = (await readdir(this.#folder))
            .map(segmentNumberOf)
            .filter(number => number !== undefined)
            .sort((a, b) => a - b);
        for (const number of numbers) {
            const file = await open(join(this.#folder, segmentName(number)), "r+");
            this.#files.set(number, file);
            const blobs = await scanSegment(file);
            // The process that wrote them may have died before it synced them.
            await file.datasync();
            this.#index.addSegment(number, blobs);
        }
        await this.#beginSegment(nowMs);
    }

    async #beginSegment(nowMs: number): Promise<void> {
        this.#activeSegment = Math.max(Math.floor(nowMs), this.#index.newestSegment + 1);
        const file = await open(join(this.#folder, segmentName(this.#activeSegment)), "w+");
        this.#files.set(this.#activeSegment, file);
        this.#index.addSegment(this.#activeSegment, []);
        await this.#syncFolder();
    }

    async #writeQueue(): Promise<void> {
        while (this.#queue.length > 0) {
            const batch = this.#queue;
            this.#queue = [];
            const error = await this.#writeBatch(batch);
            for (const write of batch) {
                write.done(error);
            }
        }
        this.#writing = undefined;
    }

    async #writeBatch(batch: QueuedWrite[]): Promise<StepError | undefined> {
        if (this.#failure !== undefined) {
            return this.#failure;
        }
        try {
            await this.#append(batch);
            return undefined;
        }
        catch (error) {
            // After a failed write the content at the end of the file is unknown, so all further writes fail.
            this.#failure = this.#diskError("write blob", error);
            return this.#failure;
        }
    }

    async #append(batch: QueuedWrite[]): Promise<void> {
        const segment = this.#activeSegment;
        const file = this.#fileOf(segment);
        const frames = batch.map(write => encodeFrame(write.digest, write.data));
        const startBytes = this.#index.segmentBytes(segment);
        await writeSynced(file, Buffer.concat(frames), startBytes);
        batch.forEach(write => this.#index.add(segment, write.digest, write.data.length));
        if (this.#index.segmentBytes(segment) >= SEGMENT_LIMIT_BYTES) {
            await this.#beginSegment(segment + 1);
        }
    }

    async #read(location: BlobLocation): Promise<Uint8Array | undefined> {
        const data = Buffer.alloc(location.sizeBytes);
        const file = this.#fileOf(location.segment);
        const { bytesRead } = await file.read(data, 0, data.length, location.dataOffsetBytes);
        return bytesRead === data.length ? data : undefined;
    }

    async #copyForward(blobs: { digest: Uint8Array; location: BlobLocation }[]): Promise<void> {
        for (const { digest, location } of blobs) {
            const data = await this.#read(location);
            if (data !== undefined) {
                const error = await new Promise<StepError | undefined>(done => {
                    this.#queue.push({ digest, data, done });
                    this.#writing ??= this.#writeQueue();
                });
                if (error !== undefined) {
                    throw error;
                }
            }
        }
    }

    async #deleteSegment(segment: number): Promise<void> {
        this.#index.removeSegment(segment);
        await this.#files.get(segment)?.close();
        this.#files.delete(segment);
        await unlink(join(this.#folder, segmentName(segment)));
    }

    async #syncFolder(): Promise<void> {
        const folder = await open(this.#folder, "r");
        await folder.sync();
        await folder.close();
    }

    #fileOf(segment: number): FileHandle {
        const file = this.#files.get(segment);
        if (file === undefined) {
            throw new Error(`segment ${segment} is not open`);
        }
        return file;
    }

    #diskError(step: string, cause: unknown): StepError {
        return new StepError(ErrorCode.DISK_FAILED, step, this.#folder, messageOf(cause), { cause });
    }
}

/**
 * Writes and syncs bytes at the end of a file. If that fails, they are truncated: the operating system may return them to
 * the next process and report their sync as successful, although the disk doesn't hold them.
 */
const writeSynced = async (file: FileHandle, bytes: Uint8Array, startBytes: number): Promise<void> => {
    try {
        const { bytesWritten } = await file.write(bytes, 0, bytes.length, startBytes);
        if (bytesWritten !== bytes.length) {
            throw new Error(`only ${bytesWritten} of ${bytes.length} bytes were written`);
        }
        await file.datasync();
    }
    catch (error) {
        await file.truncate(startBytes).catch(() => undefined);
        throw error;
    }
};

const matchesReference = (reference: BlobReference, data: Uint8Array): boolean =>
    reference.sha256.length === DIGEST_BYTES
    && reference.sizeBytes === data.length
    && createHash("sha256").update(data).digest().equals(reference.sha256);
