import { expect, it } from "vitest";
import { BodyBuffer } from "./body-buffer.js";

const LARGE_BODY_BYTES = 262_144;

const patternOf = (sizeBytes: number): Buffer =>
    Buffer.from(Array.from({ length: sizeBytes }, (_, index) => index % 251));

// Guards against bodies that are stored with other bytes than were sent, also in segments that were used before.
it.each([1, 7, 4_096, 5_000, 70_000, LARGE_BODY_BYTES])(
    "returns what was appended in chunks of %d bytes",
    chunkBytes => {
        const content = patternOf(LARGE_BODY_BYTES);
        const buffer = new BodyBuffer();
        for (let round = 0; round < 2; round += 1) {
            for (let offset = 0; offset < content.length; offset += chunkBytes) {
                buffer.append(content.subarray(offset, offset + chunkBytes));
            }
            expect(buffer.take().equals(content)).toBe(true);
        }
        expect(buffer.take().length).toBe(0);
    },
);

// Guards against a body in small chunks that takes many times its size.
it("takes little more memory than it has bytes, whatever its chunks", () => {
    const buffer = new BodyBuffer();
    for (let sizeBytes = 0; sizeBytes < LARGE_BODY_BYTES; sizeBytes += 1) {
        buffer.append(Buffer.from("x"));
    }
    expect(buffer.capacityBytes).toBeLessThan(LARGE_BODY_BYTES + 64 * 1024);
    buffer.clear();
    expect(buffer.capacityBytes).toBe(0);
});
