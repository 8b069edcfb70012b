import type { BlobReference } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";

/** Returns the SHA-256 of the bytes. */
export const sha256Of = (bytes: Uint8Array): Uint8Array => new Uint8Array(createHash("sha256").update(bytes).digest());

/** Returns the SHA-256 of a blob in hexadecimal, used as a map key. */
export const blobKeyOf = (reference: BlobReference): string => Buffer.from(reference.sha256).toString("hex");

/** Returns whether the bytes have the size and the SHA-256 of the reference. */
export const matchesReference = (reference: BlobReference, bytes: Uint8Array): boolean =>
    bytes.length === reference.sizeBytes && Buffer.from(sha256Of(bytes)).equals(Buffer.from(reference.sha256));

/** LRU cache of blobs, bounded by their total size in bytes. */
export class BlobCache {
    readonly #blobs = new Map<string, Uint8Array>();
    #bytes = 0;

    constructor(readonly limitBytes: number) {}

    get bytes(): number {
        return this.#bytes;
    }

    add(reference: BlobReference, bytes: Uint8Array): void {
        const key = blobKeyOf(reference);
        this.#remove(key);
        this.#blobs.set(key, bytes);
        this.#bytes += bytes.length;
        for (const leastRecentKey of this.#blobs.keys()) {
            if (this.#bytes <= this.limitBytes) {
                break;
            }
            this.#remove(leastRecentKey);
        }
    }

    get(reference: BlobReference): Uint8Array | undefined {
        const key = blobKeyOf(reference);
        const bytes = this.#blobs.get(key);
        if (bytes) {
            this.#blobs.delete(key);
            this.#blobs.set(key, bytes);
        }
        return bytes;
    }

    #remove(key: string): void {
        const bytes = this.#blobs.get(key);
        if (bytes) {
            this.#blobs.delete(key);
            this.#bytes -= bytes.length;
        }
    }
}
