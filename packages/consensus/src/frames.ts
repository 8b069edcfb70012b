import { crc32 } from "node:zlib";

/** Kinds of records in a replica's files. */
export enum FrameKind {
    HardState = 1,
    Entry = 2,
    /** Payload: first index that is removed, as a double. */
    Truncate = 3,
    /** Payload: index and term of the snapshot after which the log restarts, as doubles. */
    Reset = 4,
    SnapshotHeader = 5,
    Identity = 6,
}

/** One record of a file. */
export interface Frame {
    kind: FrameKind;
    /** Number of the record's write within the file; a write starts only after the previous one was synced. */
    write: number;
    /** Set on the last record of a write. */
    isLastOfWrite: boolean;
    payload: Uint8Array;
}

/** Result of reading the frames of a file. */
export interface FrameScan {
    frames: Frame[];
    /** Size of the valid part at the start of the file. */
    validBytes: number;
    /** Whether a record of a later write follows the first invalid one, which proves that the latter was synced. */
    isSyncedRecordInvalid: boolean;
}

/** Number of a file's first write. */
export const FIRST_WRITE_NUMBER = 1;

const MAGIC = 0x5752;
const OFFSET_KIND = 2;
const OFFSET_FLAGS = 3;
const OFFSET_WRITE = 4;
const OFFSET_LENGTH = 8;
const OFFSET_CRC = 12;
const HEADER_BYTES = 16;
const FLAG_LAST_OF_WRITE = 1;

/** Encodes records as one buffer: magic, kind, flags, write number, length, CRC-32, payload. */
export const encodeFrames = (
    frames: readonly Omit<Frame, "isLastOfWrite" | "write">[],
    writeNumber: number,
): Buffer => {
    const sizeBytes = frames.reduce((sum, frame) => sum + HEADER_BYTES + frame.payload.length, 0);
    const buffer = Buffer.allocUnsafe(sizeBytes);
    let offset = 0;
    for (const [position, frame] of frames.entries()) {
        const isLast = position === frames.length - 1;
        buffer.writeUInt16LE(MAGIC, offset);
        buffer.writeUInt8(frame.kind, offset + OFFSET_KIND);
        buffer.writeUInt8(isLast ? FLAG_LAST_OF_WRITE : 0, offset + OFFSET_FLAGS);
        buffer.writeUInt32LE(writeNumber, offset + OFFSET_WRITE);
        buffer.writeUInt32LE(frame.payload.length, offset + OFFSET_LENGTH);
        buffer.set(frame.payload, offset + HEADER_BYTES);
        const headerCrc = crc32(buffer.subarray(offset, offset + OFFSET_CRC));
        buffer.writeUInt32LE(crc32(frame.payload, headerCrc), offset + OFFSET_CRC);
        offset += HEADER_BYTES + frame.payload.length;
    }
    return buffer;
};

/** Decodes the record at an offset; undefined when there is no valid one. */
export const decodeFrame = (buffer: Buffer, offset: number): Frame | undefined => {
    if (offset + HEADER_BYTES > buffer.length || buffer.readUInt16LE(offset) !== MAGIC) {
        return undefined;
    }
    const start = offset + HEADER_BYTES;
    const end = start + buffer.readUInt32LE(offset + OFFSET_LENGTH);
    if (end > buffer.length) {
        return undefined;
    }
    const payload = buffer.subarray(start, end);
    const headerCrc = crc32(buffer.subarray(offset, offset + OFFSET_CRC));
    if (crc32(payload, headerCrc) !== buffer.readUInt32LE(offset + OFFSET_CRC)) {
        return undefined;
    }
    return {
        kind: buffer.readUInt8(offset + OFFSET_KIND),
        write: buffer.readUInt32LE(offset + OFFSET_WRITE),
        isLastOfWrite: (buffer.readUInt8(offset + OFFSET_FLAGS) & FLAG_LAST_OF_WRITE) !== 0,
        payload,
    };
};

/** Returns the size of a record in a file. */
export const frameSizeBytes = (frame: Frame): number => HEADER_BYTES + frame.payload.length;

/**
 * Returns whether a record of a later write follows the invalid record at `offset`, which proves that the invalid
 * record had been synced. It belongs to the same write as the last valid record, or to the next write if that record
 * is the last of its write.
 */
const hasLaterWrite = (buffer: Buffer, offset: number, last: Frame | undefined): boolean => {
    const invalidWriteNumber = last === undefined ? FIRST_WRITE_NUMBER : last.write + Number(last.isLastOfWrite);
    const magic = Buffer.alloc(OFFSET_KIND);
    magic.writeUInt16LE(MAGIC);
    for (let position = buffer.indexOf(magic, offset); position >= 0; position = buffer.indexOf(magic, position + 1)) {
        const frame = decodeFrame(buffer, position);
        if (frame !== undefined && frame.write > invalidWriteNumber) {
            return true;
        }
    }
    return false;
};

/** Reads all records up to the first invalid one. */
export const scanFrames = (data: Uint8Array): FrameScan => {
    const buffer = Buffer.from(data.buffer, data.byteOffset, data.byteLength);
    const frames: Frame[] = [];
    let offset = 0;
    while (offset < buffer.length) {
        const frame = decodeFrame(buffer, offset);
        if (frame === undefined) {
            return {
                frames,
                validBytes: offset,
                isSyncedRecordInvalid: hasLaterWrite(buffer, offset, frames.at(-1)),
            };
        }
        frames.push(frame);
        offset += frameSizeBytes(frame);
    }
    return { frames, validBytes: offset, isSyncedRecordInvalid: false };
};
