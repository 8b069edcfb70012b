import { create } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import { LogEntrySchema, ReplicaEnvelopeSchema, ReplicaMessageSchema } from "@waxwingspread/protocol";
import type { ReplicaMessage } from "@waxwingspread/protocol";
import { afterEach, expect, it, vi } from "vitest";
import { EnvelopeDecoder } from "./envelope-decoder.js";

const ENTRY_BYTES = 200_000;
const CHUNK_BYTES = 1_448;

const encodedEnvelope = (term: number, entryBytes: number): Uint8Array => {
    const entry = create(LogEntrySchema, { index: 1, body: { case: "data", value: new Uint8Array(entryBytes) } });
    const body = { case: "appendRequest" as const, value: { entries: [entry] } };
    const messages = [create(ReplicaMessageSchema, { term, body })];
    return sizeDelimitedEncode(ReplicaEnvelopeSchema, create(ReplicaEnvelopeSchema, { messages }));
};

/** Passes the bytes on in chunks and returns the terms of the decoded messages. */
const decodeInChunks = (bytes: Buffer, chunkBytes: number): number[] => {
    const terms: number[] = [];
    const decoder = new EnvelopeDecoder((messages: readonly ReplicaMessage[]) =>
        messages.forEach(({ term }) => terms.push(term))
    );
    for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
        expect(decoder.push(bytes.subarray(offset, offset + chunkBytes))).toBe(true);
    }
    return terms;
};

afterEach(() => {
    vi.restoreAllMocks();
});

// Guards against the loss of envelopes whose bytes are split at any place.
it("decodes envelopes that arrive in chunks of any size", () => {
    const bytes = Buffer.concat([1, 2, 3].map(term => encodedEnvelope(term, term * 100)));
    for (let chunkBytes = 1; chunkBytes <= bytes.length; chunkBytes += 1) {
        expect(decodeInChunks(bytes, chunkBytes)).toEqual([1, 2, 3]);
    }
});

// Guards against a replica that copies a large envelope for each of its chunks while it catches up with the log.
it("copies the bytes of a large envelope at most twice", () => {
    const concat = vi.spyOn(Buffer, "concat");
    const bytes = Buffer.from(encodedEnvelope(1, ENTRY_BYTES));
    expect(decodeInChunks(bytes, CHUNK_BYTES)).toEqual([1]);
    const copiedBytes = concat.mock.results.reduce((sum, { value }) => sum + (value as Buffer).length, 0);
    expect(copiedBytes).toBeLessThanOrEqual(2 * bytes.length);
});

// Guards against a process that ends because another program sends bytes that are no envelope.
it.each([
    ["an envelope that is too large", [0xff, 0xff, 0xff, 0xff, 0x0f]],
    ["a size that is no number", new Array<number>(12).fill(0xff)],
    ["an envelope that can't be decoded", [2, 0xff, 0xff]],
])("rejects %s", (_name, bytes) => {
    expect(new EnvelopeDecoder(() => undefined).push(Buffer.from(bytes))).toBe(false);
});
