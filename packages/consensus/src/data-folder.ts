import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { ErrorCode, ReplicaIdentitySchema, SnapshotHeaderSchema } from "@waxwingspread/protocol";
import type { ReplicaIdentity, SnapshotHeader } from "@waxwingspread/protocol";
import { createHash, randomUUID } from "node:crypto";
import { basename, dirname, join } from "node:path";
import type { FileSystem } from "./file-system.js";
import { decodeFrame, encodeFrames, FIRST_WRITE_NUMBER, FrameKind, frameSizeBytes } from "./frames.js";
import { corruptError } from "./store-errors.js";

const IDENTITY_FILE = "identity";
const SNAPSHOT_FILE = "snapshot";
const TEMPORARY_SUFFIX = ".tmp";
const SET_ASIDE_SUFFIX = ".unreadable";
const WRITE_CHUNK_BYTES = 1024 * 1024;
const SEGMENT_PATTERN = /^segment-(\d{12})\.log$/;
const SEGMENT_DIGITS = 12;

/** A snapshot's header and content. */
export interface StoredSnapshot {
    header: SnapshotHeader;
    bytes: Uint8Array;
}

/** Name and address of a replica as configured; the disk id is added when the folder is formatted. */
export interface ReplicaSettings {
    name: string;
    address: string;
    availabilityZone?: string;
    /** Generates the disk id; random by default. */
    newDiskId?: () => string;
}

/** Data folder of one replica, with the files for its identity, its snapshot and the segments of its log. */
export class DataFolder {
    constructor(readonly fileSystem: FileSystem, readonly path: string) {}

    segmentPath(sequence: number): string {
        return join(this.path, `segment-${String(sequence).padStart(SEGMENT_DIGITS, "0")}.log`);
    }

    /** Path under which this folder is kept once it is unreadable. */
    get setAsidePath(): string {
        return this.path + SET_ASIDE_SUFFIX;
    }

    /** Renames this folder durably, so that an empty one takes its place; replaces one that was set aside before. */
    async setAside(): Promise<void> {
        const parent = dirname(this.path);
        await this.fileSystem.removeFolder(this.setAsidePath);
        await this.fileSystem.syncFolder(parent);
        await this.fileSystem.rename(this.path, this.setAsidePath);
        await this.fileSystem.syncFolder(parent);
    }

    /** Returns the sequence numbers of the segments in ascending order. Fails with CORRUPT if there is a gap. */
    async segments(): Promise<number[]> {
        const names = await this.fileSystem.list(this.path);
        const sequences = names
            .flatMap(name => SEGMENT_PATTERN.exec(name)?.slice(1) ?? [])
            .map(Number)
            .sort((a, b) => a - b);
        sequences.forEach((sequence, position) => {
            if (position > 0 && sequence !== (sequences[position - 1] ?? 0) + 1) {
                throw corruptError("load the log", this.segmentPath(sequence - 1), "segment is missing");
            }
        });
        return sequences;
    }

    /** Returns the identity stored in this folder, formatting an empty one first. Fails with CORRUPT or INVALID. */
    async identity(settings: ReplicaSettings): Promise<ReplicaIdentity> {
        const names = await this.#prepare();
        if (!names.includes(IDENTITY_FILE)) {
            if (names.some(name => name === SNAPSHOT_FILE || SEGMENT_PATTERN.test(name))) {
                throw corruptError("open the data folder", join(this.path, IDENTITY_FILE), "file is missing");
            }
            return this.#format(settings);
        }
        const path = join(this.path, IDENTITY_FILE);
        const frame = decodeFrame(Buffer.from(await this.fileSystem.read(path)), 0);
        if (frame?.kind !== FrameKind.Identity) {
            throw corruptError("open the data folder", path, "invalid record");
        }
        const stored = fromBinary(ReplicaIdentitySchema, frame.payload);
        if (stored.name !== settings.name) {
            const message = `the folder belongs to replica ${stored.name}, not to ${settings.name}`;
            throw new StepError(ErrorCode.INVALID, "open the data folder", path, message);
        }
        return configuredIdentity(stored, settings);
    }

    /** Returns the stored snapshot, if any. Fails with CORRUPT if the content does not match the digest. */
    async readSnapshot(): Promise<StoredSnapshot | undefined> {
        const names = await this.fileSystem.list(this.path);
        if (!names.includes(SNAPSHOT_FILE)) {
            return undefined;
        }
        const path = join(this.path, SNAPSHOT_FILE);
        const data = await this.fileSystem.read(path);
        const buffer = Buffer.from(data.buffer, data.byteOffset, data.byteLength);
        const frame = decodeFrame(buffer, 0);
        if (frame?.kind !== FrameKind.SnapshotHeader) {
            throw corruptError("load the snapshot", path, "invalid header");
        }
        const header = fromBinary(SnapshotHeaderSchema, frame.payload);
        const bytes = buffer.subarray(frameSizeBytes(frame));
        const digest = createHash("sha256").update(bytes).digest();
        if (bytes.length !== header.sizeBytes || digest.compare(header.sha256) !== 0) {
            throw corruptError("load the snapshot", path, "content does not match the digest");
        }
        return { header, bytes };
    }

    /** Replaces the stored snapshot atomically: writes and syncs a temporary file, then renames it. */
    async replaceSnapshot(snapshot: StoredSnapshot): Promise<void> {
        const payload = toBinary(SnapshotHeaderSchema, snapshot.header);
        const header = encodeFrames([{ kind: FrameKind.SnapshotHeader, payload }], FIRST_WRITE_NUMBER);
        await this.#replaceFile(SNAPSHOT_FILE, [header, snapshot.bytes]);
    }

    /** Returns the names of the files in this folder, after making durable or removing what a former process left. */
    async #prepare(): Promise<string[]> {
        await this.fileSystem.makeFolder(this.path);
        // The content of the identity and of the snapshot was synced before the file got its name, which may not be.
        await this.fileSystem.syncFolder(this.path);
        const names = await this.fileSystem.list(this.path);
        for (const name of names.filter(item => item.endsWith(TEMPORARY_SUFFIX))) {
            await this.fileSystem.remove(join(this.path, name));
        }
        return names;
    }

    async #format(settings: ReplicaSettings): Promise<ReplicaIdentity> {
        const diskId = settings.newDiskId?.() ?? randomUUID();
        const replacesUnreadableLog = await this.#isSetAside();
        const stored = create(ReplicaIdentitySchema, { name: settings.name, diskId, replacesUnreadableLog });
        const payload = toBinary(ReplicaIdentitySchema, stored);
        await this.#replaceFile(IDENTITY_FILE, [
            encodeFrames([{ kind: FrameKind.Identity, payload }], FIRST_WRITE_NUMBER),
        ]);
        return configuredIdentity(stored, settings);
    }

    async #isSetAside(): Promise<boolean> {
        const names = await this.fileSystem.list(dirname(this.path));
        return names.includes(basename(this.setAsidePath));
    }

    async #replaceFile(name: string, parts: readonly Uint8Array[]): Promise<void> {
        const target = join(this.path, name);
        const temporary = target + TEMPORARY_SUFFIX;
        try {
            await this.#writeFile(temporary, parts);
            await this.fileSystem.rename(temporary, target);
        }
        catch (error) {
            // On a full disk the log needs this room.
            await this.fileSystem.remove(temporary).catch(() => undefined);
            throw error;
        }
        await this.fileSystem.syncFolder(this.path);
    }

    async #writeFile(path: string, parts: readonly Uint8Array[]): Promise<void> {
        const file = await this.fileSystem.openAppend(path);
        try {
            await file.truncate(0);
            for (const part of parts) {
                for (let offset = 0; offset < part.length; offset += WRITE_CHUNK_BYTES) {
                    await file.append(part.subarray(offset, offset + WRITE_CHUNK_BYTES));
                }
            }
            await file.sync();
        }
        finally {
            await file.close();
        }
    }
}

/** Returns the stored identity with the present address and zone, which can change while the disk stays the same. */
const configuredIdentity = (stored: ReplicaIdentity, { address, availabilityZone }: ReplicaSettings): ReplicaIdentity =>
    create(ReplicaIdentitySchema, { ...stored, address, availabilityZone: availabilityZone ?? "" });
