import type { BlobReference } from "@waxwingspread/protocol";
import type { MemoryBlobStore } from "./disks.js";

const REPAIR_DELAY_MS = 2_000;

interface MissingBlob {
    reference: BlobReference;
    sinceMs: number;
}

/** Copies missing blobs from other replicas, as the daemon's blob repair does. */
export class BlobCopier {
    readonly #missing = new Map<string, MissingBlob>();

    constructor(
        readonly store: MemoryBlobStore,
        readonly fetch: (reference: BlobReference, done: (data: Uint8Array | undefined) => void) => void,
        readonly save: (reference: BlobReference, data: Uint8Array) => void,
    ) {}

    /** Number of requested blobs that the store still lacks. */
    get missingCount(): number {
        return [...this.#missing.values()].filter(({ reference }) => !this.store.has(reference)).length;
    }

    /** Enqueues copies of the blobs that the store lacks. */
    enqueue(references: readonly BlobReference[], nowMs: number): void {
        for (const reference of references) {
            if (reference.sizeBytes > 0 && !this.store.has(reference)) {
                this.#missing.set(Buffer.from(reference.sha256).toString("hex"), { reference, sinceMs: nowMs });
            }
        }
    }

    /** Fetches the blobs that have been missing for the repair delay, and retries after the same delay. */
    run(nowMs: number): void {
        for (const [key, missing] of this.#missing) {
            if (this.store.has(missing.reference)) {
                this.#missing.delete(key);
            }
            else if (nowMs - missing.sinceMs >= REPAIR_DELAY_MS) {
                missing.sinceMs = nowMs;
                this.fetch(missing.reference, data => {
                    if (data !== undefined) {
                        this.save(missing.reference, data);
                    }
                });
            }
        }
    }
}
