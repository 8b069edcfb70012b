import { crc32 } from "node:zlib";

const LENGTH_BYTES = 4;
const CHECKSUM_BYTES = 4;

/** Size of a SHA-256 digest in bytes. */
export const DIGEST_BYTES = 32;

/** Size of a frame's header in bytes. */
export const FRAME_HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES + DIGEST_BYTES;

/** Decoded header of a frame: the size of the blob and its SHA-256 digest. */
export interface BlobFrameHeader {
    sizeBytes: number;
    digest: Uint8Array;
}

/** Encodes a blob as length, CRC-32 of length and digest, digest, data. The data itself is protected by the digest. */
export const encodeFrame = (digest: Uint8Array, data: Uint8Array): Buffer => {
    const header = Buffer.alloc(FRAME_HEADER_BYTES);
    header.writeUInt32LE(data.length, 0);
    header.set(digest, LENGTH_BYTES + CHECKSUM_BYTES);
    header.writeUInt32LE(headerChecksum(header), LENGTH_BYTES);
    return Buffer.concat([header, data]);
};

/** Decodes the header of a frame. Returns undefined if it is incomplete or corrupt. */
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
