/** Size of the segments at the beginning of a body. */
const SMALL_SEGMENT_BYTES = 4 * 1024;
/** Size of a body from which on its segments are large. */
const LARGE_BODY_BYTES = 16 * 1024;
const LARGE_SEGMENT_BYTES = 64 * 1024;
/** Large segments that are kept for further bodies. */
const MAX_FREE_SEGMENTS = 128;

/** Unused buffers that wait for garbage collection would add up to more than the bodies in progress. */
const freeSegments: Buffer[] = [];

/**
 * Collects the chunks of a body in buffers of fixed sizes. A list of chunks would take over a hundred bytes for each,
 * however short it is. A single chunk is kept without a copy.
 */
export class BodyBuffer {
    #segments: Buffer[] = [];
    #lastSegmentBytes = 0;
    #sizeBytes = 0;
    #capacityBytes = 0;

    /** Memory that the buffer takes. */
    get capacityBytes(): number {
        return this.#capacityBytes;
    }

    append(chunk: Buffer): void {
        if (this.#sizeBytes === 0) {
            this.#addSegment(chunk);
            this.#lastSegmentBytes = chunk.length;
        }
        else {
            this.#copyFrom(chunk);
        }
        this.#sizeBytes += chunk.length;
    }

    /** Returns the collected bytes and empties the buffer. */
    take(): Buffer {
        const [first] = this.#segments;
        const content = this.#segments.length === 1 && first !== undefined
            ? first.subarray(0, this.#sizeBytes)
            : Buffer.concat(this.#segments, this.#sizeBytes);
        this.clear();
        return content;
    }

    clear(): void {
        for (const segment of this.#segments.slice(1)) {
            if (segment.length === LARGE_SEGMENT_BYTES && freeSegments.length < MAX_FREE_SEGMENTS) {
                freeSegments.push(segment);
            }
        }
        this.#segments = [];
        this.#lastSegmentBytes = 0;
        this.#sizeBytes = 0;
        this.#capacityBytes = 0;
    }

    #copyFrom(chunk: Buffer): void {
        let offset = 0;
        while (offset < chunk.length) {
            let segment = this.#segments.at(-1);
            if (segment === undefined || this.#lastSegmentBytes === segment.length) {
                segment = this.#capacityBytes < LARGE_BODY_BYTES
                    ? Buffer.allocUnsafeSlow(SMALL_SEGMENT_BYTES)
                    : freeSegments.pop() ?? Buffer.allocUnsafeSlow(LARGE_SEGMENT_BYTES);
                this.#addSegment(segment);
                this.#lastSegmentBytes = 0;
            }
            const copiedBytes = chunk.copy(segment, this.#lastSegmentBytes, offset);
            this.#lastSegmentBytes += copiedBytes;
            offset += copiedBytes;
        }
    }

    #addSegment(segment: Buffer): void {
        this.#segments.push(segment);
        this.#capacityBytes += segment.length;
    }
}
