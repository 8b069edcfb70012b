import { create, toBinary } from "@bufbuild/protobuf";
import { BinaryWriter } from "@bufbuild/protobuf/wire";
import { ReplicaEnvelopeSchema } from "@waxwingspread/protocol";
import type { ReplicaMessage } from "@waxwingspread/protocol";
import { deflateRawSync } from "node:zlib";

/** Size from which envelopes are compressed: those of replicas that catch up, but not those of single decisions. */
const MIN_COMPRESSED_BYTES = 16 * 1024;
const COMPRESSION_LEVEL = 1;

/** Encodes a message as a size-delimited envelope. */
export const encodeEnvelope = (message: ReplicaMessage): Uint8Array => {
    const plain = toBinary(ReplicaEnvelopeSchema, create(ReplicaEnvelopeSchema, { messages: [message] }));
    const envelope = plain.length < MIN_COMPRESSED_BYTES ? plain : compress(plain);
    return new BinaryWriter().bytes(envelope).finish();
};

const compress = (plain: Uint8Array): Uint8Array => {
    const deflated = deflateRawSync(plain, { level: COMPRESSION_LEVEL });
    return toBinary(ReplicaEnvelopeSchema, create(ReplicaEnvelopeSchema, { deflated }));
};
