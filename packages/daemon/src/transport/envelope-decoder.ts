import { fromBinary } from "@bufbuild/protobuf";
import { sizeDelimitedPeek } from "@bufbuild/protobuf/wire";
import { ReplicaEnvelopeSchema } from "@waxwingspread/protocol";
import type { ReplicaMessage } from "@waxwingspread/protocol";
import { inflateRawSync } from "node:zlib";

const MAX_ENVELOPE_BYTES = 16 * 1024 * 1024;

const decodeMessages = (bytes: Uint8Array): readonly ReplicaMessage[] => {
    const { messages, deflated } = fromBinary(ReplicaEnvelopeSchema, bytes);
    if (deflated.length === 0) {
        return messages;
    }
    const inflated = inflateRawSync(deflated, { maxOutputLength: MAX_ENVELOPE_BYTES });
    return fromBinary(ReplicaEnvelopeSchema, inflated).messages;
};

/** Decodes a byte stream into size-delimited envelopes. */
export class EnvelopeDecoder {
    readonly #onMessages: (messages: readonly ReplicaMessage[]) => void;
    /** Chunks are joined only once an envelope is complete, so that a large one is not copied again for each chunk. */
    #chunks: Buffer[] = [];
    #receivedBytes = 0;
    /** Bytes that the next envelope needs, as far as they are known. */
    #neededBytes = 1;

    constructor(onMessages: (messages: readonly ReplicaMessage[]) => void) {
        this.#onMessages = onMessages;
    }

    /** Decodes the next bytes. Returns false if they are not a valid stream of envelopes. */
    push(chunk: Buffer): boolean {
        this.#chunks.push(chunk);
        this.#receivedBytes += chunk.length;
        if (this.#receivedBytes < this.#neededBytes) {
            return true;
        }
        try {
            return this.#decode(this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks));
        }
        catch {
            return false;
        }
    }

    /** Decodes all complete envelopes and keeps the rest. */
    #decode(received: Buffer): boolean {
        let rest = received;
        for (;;) {
            const head = sizeDelimitedPeek(rest);
            if (head.eof) {
                this.#keep(rest, rest.length + 1);
                return true;
            }
            if (head.size > MAX_ENVELOPE_BYTES) {
                return false;
            }
            const end = head.offset + head.size;
            if (rest.length < end) {
                this.#keep(rest, end);
                return true;
            }
            this.#onMessages(decodeMessages(rest.subarray(head.offset, end)));
            rest = rest.subarray(end);
        }
    }

    #keep(rest: Buffer, neededBytes: number): void {
        this.#chunks = rest.length === 0 ? [] : [rest];
        this.#receivedBytes = rest.length;
        this.#neededBytes = neededBytes;
    }
}
