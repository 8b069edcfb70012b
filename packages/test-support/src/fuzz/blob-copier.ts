import type { BlobReference } from "@waxwingspread/protocol";
import type { MemoryBlobStore } from "./disks.js";

const REPAIR_DELAY_MS = 2_000;

interface Wanted {
    reference: BlobReference;
    sinceMs: number;
}

/** Copies missing blobs from other replicas, as the daemon's blob repair does. */
export class BlobCopier {
    readonly #wanted = new Map<string, Wanted>();

    constructor(
        readonly store: MemoryBlobStore,
        readonly fetch: (reference: BlobReference, done: (data: Uint8Array | undefined) => void) => void,
        readonly save: (reference: BlobReference, data: Uint8Array) => void,
    ) {}

    /** Number of requested blobs that the store still lacks. */
    get missingCount(): number {
        return [...this.#wanted.values()].filter(({ reference }) => !this.store.has(reference)).length;
    }

    /** Enqueues copies of the blobs that the store lacks. */
    want(references: readonly BlobReference[], nowMs: number): void {
        for (const reference of references) {
            if (reference.sizeBytes > 0 && !this.store.has(reference)) {
                this.#wanted.set(Buffer.from(reference.sha256).toString("hex"), { reference, sinceMs: nowMs });
            }
        }
    }

    /** Fetches the blobs that have been missing for the repair delay, and retries after the same delay. */
    run(nowMs: number): void {
        for (const [key, wanted] of this.#wanted) {
            if (this.store.has(wanted.reference)) {
                this.#wanted.delete(key);
            }
            else if (nowMs - wanted.sinceMs >= REPAIR_DELAY_MS) {
                wanted.sinceMs = nowMs;
                this.fetch(wanted.reference, data => {
                    if (data !== undefined) {
                        this.save(wanted.reference, data);
                    }
                });
            }
        }
    }
}
