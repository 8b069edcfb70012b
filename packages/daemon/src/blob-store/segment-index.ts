import { FRAME_HEADER_BYTES } from "./blob-frame.js";
import type { ScannedBlob } from "./segment-file.js";

/** Position of a blob's data in a segment. */
export interface BlobLocation {
    segment: number;
    dataOffsetBytes: number;
    sizeBytes: number;
}

interface Segment {
    sizeBytes: number;
    digests: Set<string>;
}

/** Encodes a digest as a map key. */
export const digestKey = (digest: Uint8Array): string => Buffer.from(digest).toString("base64");

/** In-memory index of the locations of all blobs and of the contents of each segment. */
export class SegmentIndex {
    readonly #locations = new Map<string, BlobLocation>();
    readonly #segments = new Map<number, Segment>();

    get size(): number {
        return this.#locations.size;
    }

    get totalBytes(): number {
        return [...this.#segments.values()].reduce((sum, segment) => sum + segment.sizeBytes, 0);
    }

    get newestSegment(): number {
        return Math.max(0, ...this.#segments.keys());
    }

    locate(digest: Uint8Array): BlobLocation | undefined {
        return this.#locations.get(digestKey(digest));
    }

    segmentBytes(segment: number): number {
        return this.#segments.get(segment)?.sizeBytes ?? 0;
    }

    /** Returns all segments but one. */
    segmentsExcept(excluded: number): number[] {
        return [...this.#segments.keys()].filter(segment => segment !== excluded);
    }

    /** Returns the live blobs whose indexed copy is in this segment, and the sum of their sizes. */
    liveBlobs(
        segment: number,
        isLive: (digest: Uint8Array) => boolean,
    ): { live: { digest: Uint8Array; location: BlobLocation }[]; liveBytes: number } {
        const live: { digest: Uint8Array; location: BlobLocation }[] = [];
        for (const key of this.#segments.get(segment)?.digests ?? []) {
            const location = this.#locations.get(key);
            const digest = Buffer.from(key, "base64");
            if (location?.segment === segment && isLive(digest)) {
                live.push({ digest, location });
            }
        }
        const liveBytes = live.reduce((sum, blob) => sum + blob.location.sizeBytes, 0);
        return { live, liveBytes };
    }

    addSegment(segment: number, blobs: readonly ScannedBlob[]): void {
        this.#segments.set(segment, { sizeBytes: 0, digests: new Set() });
        for (const blob of blobs) {
            this.add(segment, blob.digest, blob.sizeBytes);
        }
    }

    /** Adds a blob that was appended to a segment. Ignores an unknown segment. */
    add(segment: number, digest: Uint8Array, sizeBytes: number): void {
        const target = this.#segments.get(segment);
        if (target === undefined) {
            return;
        }
        const key = digestKey(digest);
        this.#locations.set(key, { segment, dataOffsetBytes: target.sizeBytes + FRAME_HEADER_BYTES, sizeBytes });
        target.digests.add(key);
        target.sizeBytes += FRAME_HEADER_BYTES + sizeBytes;
    }

    remove(digest: Uint8Array): void {
        this.#locations.delete(digestKey(digest));
    }

    removeSegment(segment: number): void {
        for (const key of this.#segments.get(segment)?.digests ?? []) {
            if (this.#locations.get(key)?.segment === segment) {
                this.#locations.delete(key);
            }
        }
        this.#segments.delete(segment);
    }
}
