import type { BlobReference } from "@waxwingspread/protocol";
import type { BlobStore } from "./blob-store.js";
import { digestKey } from "./segment-index.js";

/** Delay before a missing blob is fetched from other replicas, since the regular copy is usually still in transit. */
const REPAIR_DELAY_MS = 2_000;
/** Maximum number of blobs fetched per round. */
const BLOBS_PER_ROUND = 512;
/** Maximum number of concurrent fetches, so that a repair does not starve other work. */
const CONCURRENT_FETCHES = 8;

/** Fetches a blob from another replica. Resolves with undefined if no replica returned it. */
export type FetchBlob = (reference: BlobReference) => Promise<Uint8Array | undefined>;

interface PendingBlob {
    reference: BlobReference;
    sinceMs: number;
}

/** Fetches blobs that the state references but this replica lacks, for example after its disk was replaced. */
export class BlobRepair {
    readonly #store: BlobStore;
    readonly #fetch: FetchBlob;
    readonly #pending = new Map<string, PendingBlob>();
    #isRunning = false;

    constructor(store: BlobStore, fetch: FetchBlob) {
        this.#store = store;
        this.#fetch = fetch;
    }

    /** Number of missing blobs, without those referenced so recently that their copy may still be in transit. */
    missingCount(nowMs: number): number {
        return this.#dueBlobs(nowMs).filter(([, blob]) => !this.#store.has(blob.reference)).length;
    }

    /** Schedules the repair of those blobs that are missing. Empty blobs are skipped. */
    enqueue(references: readonly BlobReference[], nowMs: number): void {
        for (const reference of references) {
            if (reference.sizeBytes > 0 && !this.#store.has(reference)) {
                this.#pending.set(digestKey(reference.sha256), { reference, sinceMs: nowMs });
            }
        }
    }

    /** Runs one round, which fetches a bounded number of missing blobs. Does nothing while another round is running. */
    async run(nowMs: number): Promise<void> {
        if (this.#isRunning) {
            return;
        }
        this.#isRunning = true;
        try {
            const dueBlobs = this.#dueBlobs(nowMs).slice(0, BLOBS_PER_ROUND);
            const worker = async (): Promise<void> => {
                for (let next = dueBlobs.shift(); next !== undefined; next = dueBlobs.shift()) {
                    await this.#repair(next[0], next[1], nowMs);
                }
            };
            await Promise.all(Array.from({ length: CONCURRENT_FETCHES }, worker));
        }
        finally {
            this.#isRunning = false;
        }
    }

    #dueBlobs(nowMs: number): [string, PendingBlob][] {
        return [...this.#pending].filter(([, blob]) => nowMs - blob.sinceMs >= REPAIR_DELAY_MS);
    }

    async #repair(key: string, pending: PendingBlob, nowMs: number): Promise<void> {
        if (this.#store.has(pending.reference)) {
            this.#pending.delete(key);
            return;
        }
        const data = await this.#fetch(pending.reference);
        this.#pending.delete(key);
        if (data === undefined) {
            // Inserts it at the end again, so that blobs that no replica has do not block the others.
            this.#pending.set(key, pending);
            return;
        }
        await this.#store.put(pending.reference, data, nowMs);
    }
}
