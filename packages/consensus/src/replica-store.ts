import { toBinary } from "@bufbuild/protobuf";
import { HardStateSchema, LogEntrySchema } from "@waxwingspread/protocol";
import type { HardState, LogEntry, ReplicaIdentity, SnapshotHeader } from "@waxwingspread/protocol";
import { DataFolder } from "./data-folder.js";
import type { ReplicaSettings, StoredSnapshot } from "./data-folder.js";
import type { AppendFile, FileSystem } from "./file-system.js";
import { encodeFrames, FrameKind, scanFrames } from "./frames.js";
import type { Frame } from "./frames.js";
import { encodeDoubles, LogReplay } from "./log-replay.js";
import { corruptError, isDiskFullError, toDiskError } from "./store-errors.js";
import type { PersistedState } from "./types.js";

const DEFAULT_SEGMENT_BYTES = 8 * 1024 * 1024;

/** Construction parameters of a store. */
export interface ReplicaStoreOptions extends ReplicaSettings {
    fileSystem: FileSystem;
    /** Path of the data folder. */
    folder: string;
    /** Segment size from which a new segment is started. */
    segmentBytes?: number;
}

/** One part of a write; all parts of a write are synced together. */
export interface WritePart {
    hardState?: HardState;
    truncateFromIndex?: number;
    entries: readonly LogEntry[];
}

/** An opened store with the identity and the state that were read from it. */
export interface OpenedStore {
    store: ReplicaStore;
    identity: ReplicaIdentity;
    persisted: PersistedState;
    snapshotBytes?: Uint8Array;
}

interface Segment {
    sequence: number;
    /** Largest index of an entry that the segment has ever contained. */
    highestIndex: number;
    sizeBytes: number;
    /** Whether it contains a synced hard state, so that earlier segments are not needed for theirs. */
    hasHardState: boolean;
    /** Whether its file is removed, which may not be durable yet. */
    isRemoved: boolean;
}

type FrameRecord = Omit<Frame, "isLastOfWrite" | "write">;

/**
 * Persistent state of a replica. Log writes must not overlap; snapshots may be saved concurrently. A call that fails
 * because the disk is full ({@link isDiskFullError}) has stored nothing that counts and may be repeated; a log write must
 * be, before the next one. After any other failure every call fails with the first error (DISK_FAILED or CORRUPT), since
 * the disk's content is unknown.
 */
export class ReplicaStore {
    readonly #folder: DataFolder;
    readonly #segmentBytes: number;
    #segments: Segment[] = [];
    #currentFile: AppendFile | undefined;
    /** Number of the last write in the current segment. */
    #lastWriteNumber = 0;
    /** Whether bytes of a failed write may follow the valid part of the current segment. */
    #isTorn = false;
    #isClosed = false;
    #hardState: Uint8Array;
    #snapshotIndex = 0;
    #snapshotOperations: Promise<void> = Promise.resolve();
    #failure: Error | undefined;

    private constructor(folder: DataFolder, segmentBytes: number) {
        this.#folder = folder;
        this.#segmentBytes = segmentBytes;
        this.#hardState = new Uint8Array();
    }

    /** Opens a data folder, formatting it if it is empty. Fails with DISK_FAILED, CORRUPT or INVALID. */
    static async open(options: ReplicaStoreOptions): Promise<OpenedStore> {
        const folder = new DataFolder(options.fileSystem, options.folder);
        const store = new ReplicaStore(folder, options.segmentBytes ?? DEFAULT_SEGMENT_BYTES);
        try {
            const identity = await folder.identity(options);
            const snapshot = await folder.readSnapshot();
            const persisted = await store.#load(snapshot?.header);
            return { store, identity, persisted, snapshotBytes: snapshot?.bytes };
        }
        catch (error) {
            await store.close().catch(() => undefined);
            throw toDiskError("open the data folder", options.folder, error);
        }
    }

    /** Last index of the stored snapshot; 0 without one. */
    get snapshotIndex(): number {
        return this.#snapshotIndex;
    }

    /** Writes all parts in order with one sync. */
    async write(parts: readonly WritePart[]): Promise<void> {
        await this.#runUnlessFailed("write the log", async () => {
            const records = parts.flatMap(part => this.#encodeRecords(part));
            const highestIndex = parts.reduce((highest, part) => Math.max(highest, part.entries.at(-1)?.index ?? 0), 0);
            await this.#append(records, highestIndex);
        });
    }

    /** Stores a snapshot of this replica's state if it is newer and deletes the segments that it covers. */
    async saveSnapshot(header: SnapshotHeader, bytes: Uint8Array): Promise<void> {
        await this.#runSnapshotOperation(async () => {
            if (header.lastIndex > this.#snapshotIndex) {
                await this.#replaceSnapshot(header, bytes);
                await this.#deleteCoveredSegments();
            }
        });
    }

    /** Replaces the snapshot and the whole log with a snapshot from the leader. */
    async restoreSnapshot(header: SnapshotHeader, bytes: Uint8Array): Promise<void> {
        await this.#runSnapshotOperation(async () => {
            await this.#replaceSnapshot(header, bytes);
            await this.#resetLog(header);
            await this.#deleteCoveredSegments();
        });
    }

    /** Returns the stored snapshot, if any. */
    async readSnapshot(): Promise<StoredSnapshot | undefined> {
        let snapshot: StoredSnapshot | undefined;
        await this.#runSnapshotOperation(async () => {
            snapshot = await this.#folder.readSnapshot();
        });
        return snapshot;
    }

    async close(): Promise<void> {
        this.#isClosed = true;
        await this.#snapshotOperations.catch(() => undefined);
        await this.#currentFile?.close();
        this.#currentFile = undefined;
    }

    async #load(snapshot: SnapshotHeader | undefined): Promise<PersistedState> {
        this.#snapshotIndex = snapshot?.lastIndex ?? 0;
        const replay = new LogReplay();
        const sequences = await this.#folder.segments();
        for (const sequence of sequences) {
            await this.#loadSegment(sequence, sequence === sequences.at(-1), replay);
        }
        this.#hardState = toBinary(HardStateSchema, replay.hardState);
        const entries = replay.entriesAfter(snapshot, this.#folder.path);
        if (entries === undefined && snapshot !== undefined) {
            await this.#resetLog(snapshot);
        }
        await this.#prepareWrites();
        return { hardState: replay.hardState, snapshot, entries: entries ?? [] };
    }

    /** Does at the start what reading doesn't need; on a full disk the next write or snapshot does it. */
    async #prepareWrites(): Promise<void> {
        try {
            if (this.#currentFile === undefined) {
                await this.#startSegment();
            }
            await this.#deleteCoveredSegments();
        }
        catch (error) {
            if (!isDiskFullError(error)) {
                throw error;
            }
        }
    }

    async #loadSegment(sequence: number, isLast: boolean, replay: LogReplay): Promise<void> {
        const path = this.#folder.segmentPath(sequence);
        const data = await this.#folder.fileSystem.read(path);
        const scan = scanFrames(data);
        const isTorn = scan.validBytes < data.length;
        if (isTorn && (!isLast || scan.isSyncedRecordInvalid)) {
            throw corruptError("load the log", path, `invalid record at byte ${scan.validBytes}`);
        }
        await this.#syncLoadedSegment(path, isTorn ? scan.validBytes : undefined);
        const segment: Segment = {
            sequence,
            highestIndex: 0,
            sizeBytes: scan.validBytes,
            hasHardState: false,
            isRemoved: false,
        };
        for (const frame of scan.frames) {
            segment.hasHardState ||= frame.kind === FrameKind.HardState;
            segment.highestIndex = Math.max(segment.highestIndex, replay.apply(frame, path));
        }
        this.#segments.push(segment);
    }

    /**
     * Makes the records of a segment durable before they count: a process that died between a write and its sync leaves
     * records that are lost with the power. A torn write is truncated first, since a segment followed by another one must
     * be entirely valid.
     */
    async #syncLoadedSegment(path: string, truncatedBytes: number | undefined): Promise<void> {
        const file = await this.#folder.fileSystem.openAppend(path);
        try {
            if (truncatedBytes !== undefined) {
                await file.truncate(truncatedBytes);
            }
            await file.sync();
        }
        finally {
            await file.close();
        }
    }

    async #startSegment(): Promise<void> {
        await this.#currentFile?.close();
        this.#currentFile = undefined;
        const { fileSystem, path } = this.#folder;
        const sequence = (this.#segments.at(-1)?.sequence ?? 0) + 1;
        const file = await fileSystem.openAppend(this.#folder.segmentPath(sequence));
        try {
            await fileSystem.syncFolder(path);
        }
        catch (error) {
            await file.close();
            throw error;
        }
        this.#currentFile = file;
        this.#segments.push({ sequence, highestIndex: 0, sizeBytes: 0, hasHardState: false, isRemoved: false });
        this.#lastWriteNumber = 0;
    }

    #encodeRecords(part: WritePart): FrameRecord[] {
        const records: FrameRecord[] = [];
        if (part.hardState !== undefined) {
            this.#hardState = toBinary(HardStateSchema, part.hardState);
            records.push({ kind: FrameKind.HardState, payload: this.#hardState });
        }
        if (part.truncateFromIndex !== undefined) {
            records.push({ kind: FrameKind.Truncate, payload: encodeDoubles([part.truncateFromIndex]) });
        }
        for (const entry of part.entries) {
            records.push({ kind: FrameKind.Entry, payload: toBinary(LogEntrySchema, entry) });
        }
        return records;
    }

    async #append(records: readonly FrameRecord[], highestIndex: number): Promise<void> {
        const { segment, file } = await this.#writableSegment();
        // Each segment starts with the hard state, so that earlier segments can be deleted.
        const first: FrameRecord[] = segment.sizeBytes === 0
            ? [{ kind: FrameKind.HardState, payload: this.#hardState }]
            : [];
        const data = encodeFrames([...first, ...records], this.#lastWriteNumber + 1);
        segment.highestIndex = Math.max(segment.highestIndex, highestIndex);
        this.#isTorn = true;
        try {
            await file.append(data);
            await file.sync();
        }
        catch (error) {
            await this.#truncateTorn(segment, file).catch(() => undefined);
            throw error;
        }
        this.#isTorn = false;
        this.#lastWriteNumber += 1;
        segment.sizeBytes += data.length;
        segment.hasHardState = true;
    }

    /** Returns the segment to append to, without bytes of an earlier write that has failed; starts a new one if needed. */
    async #writableSegment(): Promise<{ segment: Segment; file: AppendFile }> {
        if (this.#isClosed) {
            throw new Error("the store is closed");
        }
        const last = this.#segments.at(-1);
        if (last !== undefined && this.#currentFile !== undefined) {
            await this.#truncateTorn(last, this.#currentFile);
        }
        if (this.#currentFile === undefined || (last?.sizeBytes ?? 0) >= this.#segmentBytes) {
            await this.#startSegment();
        }
        const segment = this.#segments.at(-1);
        const file = this.#currentFile;
        if (segment === undefined || file === undefined) {
            throw new Error("the store has no segment");
        }
        return { segment, file };
    }

    /**
     * Removes what a failed write has left. The operating system may return such bytes to the next process and report their
     * sync as successful, although the disk doesn't hold them.
     */
    async #truncateTorn(segment: Segment, file: AppendFile): Promise<void> {
        if (this.#isTorn) {
            await file.truncate(segment.sizeBytes);
            this.#isTorn = false;
        }
    }

    async #resetLog(header: SnapshotHeader): Promise<void> {
        const last = this.#segments.at(-1);
        // A repeated reset, as after one on a full disk, uses the empty segment of the former.
        if (this.#currentFile === undefined || (last?.sizeBytes ?? 0) > 0) {
            await this.#startSegment();
        }
        const payload = encodeDoubles([header.lastIndex, header.lastTerm]);
        await this.#append([{ kind: FrameKind.Reset, payload }], 0);
        for (const segment of this.#segments.slice(0, -1)) {
            segment.highestIndex = 0;
        }
    }

    async #replaceSnapshot(header: SnapshotHeader, bytes: Uint8Array): Promise<void> {
        await this.#folder.replaceSnapshot({ header, bytes });
        this.#snapshotIndex = header.lastIndex;
    }

    /** Deletes covered segments, oldest first; syncing each deletion keeps the remaining segments consecutive. */
    async #deleteCoveredSegments(): Promise<void> {
        let oldest = this.#segments[0];
        const { fileSystem, path } = this.#folder;
        while (oldest !== undefined && oldest.highestIndex <= this.#snapshotIndex && this.#hasLaterHardState) {
            if (!oldest.isRemoved) {
                await fileSystem.remove(this.#folder.segmentPath(oldest.sequence));
                oldest.isRemoved = true;
            }
            await fileSystem.syncFolder(path);
            this.#segments.shift();
            oldest = this.#segments[0];
        }
    }

    /** Whether a segment after the oldest one contains a hard state. */
    get #hasLaterHardState(): boolean {
        return this.#segments.slice(1).some(segment => segment.hasHardState);
    }

    /** Runs a snapshot operation after all earlier ones. */
    async #runSnapshotOperation(operation: () => Promise<void>): Promise<void> {
        const result = this.#snapshotOperations.then(() => this.#runUnlessFailed("write the snapshot", operation));
        this.#snapshotOperations = result.catch(() => undefined);
        await result;
    }

    async #runUnlessFailed(step: string, operation: () => Promise<void>): Promise<void> {
        if (this.#failure !== undefined) {
            throw this.#failure;
        }
        try {
            await operation();
        }
        catch (error) {
            const failure = toDiskError(step, this.#folder.path, error);
            if (!isDiskFullError(failure)) {
                this.#failure ??= failure;
            }
            throw this.#failure ?? failure;
        }
    }
}
