import { crc32 } from "node:zlib";

const LENGTH_BYTES = 4;
const CHECKSUM_BYTES = 4;

/** Size of a SHA-256 digest. */
export const DIGEST_BYTES = 32;

/** Size of what precedes the data of a frame. */
export const FRAME_HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES + DIGEST_BYTES;

/** Header of one stored blob. */
export interface BlobFrameHeader {
    sizeBytes: number;
    digest: Uint8Array;
}

/** Encodes a blob as length, CRC-32 of the header, digest and data. The digest protects the data itself. */
export const encodeFrame = (digest: Uint8Array, data: Uint8Array): Buffer => {
    const header = Buffer.alloc(FRAME_HEADER_BYTES);
    header.writeUInt32LE(data.length, 0);
    header.set(digest, LENGTH_BYTES + CHECKSUM_BYTES);
    header.writeUInt32LE(headerChecksum(header), LENGTH_BYTES);
    return Buffer.concat([header, data]);
};

/** Decodes a frame's header; undefined where it is damaged. */
export const decodeHeader = (header: Buffer): BlobFrameHeader | undefined => {
    if (header.length < FRAME_HEADER_BYTES || header.readUInt32LE(LENGTH_BYTES) !== headerChecksum(header)) {
        return undefined;
    }
    return {
        sizeBytes: header.readUInt32LE(0),
        digest: Uint8Array.prototype.slice.call(header, LENGTH_BYTES + CHECKSUM_BYTES, FRAME_HEADER_BYTES),
    };
};

const headerChecksum = (header: Buffer): number => {
    const length = header.subarray(0, LENGTH_BYTES);
    return crc32(header.subarray(LENGTH_BYTES + CHECKSUM_BYTES, FRAME_HEADER_BYTES), crc32(length));
};
