import { create, toBinary } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import { LogEntrySchema, ReplicaEnvelopeSchema, ReplicaMessageSchema } from "@waxwingspread/protocol";
import type { ReplicaMessage } from "@waxwingspread/protocol";
import { deflateRawSync } from "node:zlib";
import { afterEach, expect, it, vi } from "vitest";
import { EnvelopeDecoder } from "./envelope-decoder.js";
import { encodeEnvelope } from "./envelope-encoder.js";

const ENTRY_BYTES = 200_000;
const CHUNK_BYTES = 1_448;

const encodedEnvelope = (term: number, entryBytes: number): Uint8Array => {
    const entry = create(LogEntrySchema, { index: 1, body: { case: "data", value: new Uint8Array(entryBytes) } });
    const body = { case: "appendRequest" as const, value: { entries: [entry] } };
    const messages = [create(ReplicaMessageSchema, { term, body })];
    return sizeDelimitedEncode(ReplicaEnvelopeSchema, create(ReplicaEnvelopeSchema, { messages }));
};

/** Returns an append of entries with text, such as the records of a busy leader. */
const textMessage = (term: number, records: number): ReplicaMessage => {
    const text = JSON.stringify({ kind: "run-ended", task: "475331ccd316fe8f.0.1.7", serverId: "i-accf3f44e3" });
    const entries = Array.from(
        { length: records },
        (_, index) => create(LogEntrySchema, { index, body: { case: "data", value: Buffer.from(`${index} ${text}`) } }),
    );
    return create(ReplicaMessageSchema, { term, body: { case: "appendRequest" as const, value: { entries } } });
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

// Guards against a replica that does not count within its time to catch up, because a single connection transfers only
// about 3 MB/s.
it("receives compressed envelopes of a large part of the log beside small ones", () => {
    const large = textMessage(2, 2_000);
    const messages = [textMessage(1, 1), large, textMessage(3, 1)];
    const bytes = Buffer.concat(messages.map(encodeEnvelope));
    expect(bytes.length).toBeLessThan(toBinary(ReplicaMessageSchema, large).length / 4);
    const received: ReplicaMessage[] = [];
    const decoder = new EnvelopeDecoder(decoded => received.push(...decoded));
    expect(decoder.push(bytes)).toBe(true);
    const encode = (message: ReplicaMessage): Buffer => Buffer.from(toBinary(ReplicaMessageSchema, message));
    expect(received.map(({ term }) => term)).toEqual([1, 2, 3]);
    expect(Buffer.concat(received.map(encode)).equals(Buffer.concat(messages.map(encode)))).toBe(true);
});

// Guards against a process that runs out of memory for a small envelope that inflates to a large one.
it("rejects an envelope that inflates to more than the limit", () => {
    const deflated = deflateRawSync(Buffer.alloc(17 * 1024 * 1024));
    const bytes = sizeDelimitedEncode(ReplicaEnvelopeSchema, create(ReplicaEnvelopeSchema, { deflated }));
    expect(new EnvelopeDecoder(() => undefined).push(Buffer.from(bytes))).toBe(false);
});

// Guards against a process that ends because another program sends bytes that are no envelope.
it.each([
    ["an envelope that is too large", [0xff, 0xff, 0xff, 0xff, 0x0f]],
    ["a size that is no number", new Array<number>(12).fill(0xff)],
    ["an envelope that can't be decoded", [2, 0xff, 0xff]],
])("rejects %s", (_name, bytes) => {
    expect(new EnvelopeDecoder(() => undefined).push(Buffer.from(bytes))).toBe(false);
});
