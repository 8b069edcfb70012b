import type { FileHandle } from "node:fs/promises";
import { decodeHeader, FRAME_HEADER_BYTES } from "./blob-frame.js";

const PREFIX = "blobs-";
const SUFFIX = ".seg";

/** Digest and size of a blob found by scanning a segment. */
export interface ScannedBlob {
    digest: Uint8Array;
    sizeBytes: number;
}

/** Returns the file name of a segment. */
export const segmentName = (number: number): string => `${PREFIX}${number}${SUFFIX}`;

/** Returns the number of a segment from its file name; undefined for other files. */
export const segmentNumberOf = (fileName: string): number | undefined => {
    const match = new RegExp(`^${PREFIX}(\\d+)\\${SUFFIX}$`).exec(fileName);
    return match?.[1] === undefined ? undefined : Number(match[1]);
};

/** Reads the headers of all complete frames and truncates the file after the last one, which removes a torn write. */
export const scanSegment = async (file: FileHandle): Promise<ScannedBlob[]> => {
    const { size } = await file.stat();
    const blobs: ScannedBlob[] = [];
    const buffer = Buffer.alloc(FRAME_HEADER_BYTES);
    let offset = 0;
    while (offset + FRAME_HEADER_BYTES <= size) {
        await file.read(buffer, 0, FRAME_HEADER_BYTES, offset);
        const header = decodeHeader(buffer);
        if (header === undefined || offset + FRAME_HEADER_BYTES + header.sizeBytes > size) {
            break;
        }
        blobs.push(header);
        offset += FRAME_HEADER_BYTES + header.sizeBytes;
    }
    if (offset < size) {
        await file.truncate(offset);
    }
    return blobs;
};
