import type { BlobReference } from "@waxwingspread/protocol";
import type { BlobStore } from "./blob-store.js";
import { digestKey } from "./segment-index.js";

/** Delay before a missing blob is fetched from other replicas, since the original write has usually not arrived yet. */
const REPAIR_DELAY_MS = 2_000;
/** Maximum number of blobs fetched per round. */
const BLOBS_PER_ROUND = 512;
/** Maximum number of concurrent fetches, so that a repair does not starve other work. */
const CONCURRENT_FETCHES = 8;

/** Fetches a blob from another replica. Resolves with undefined if no replica returned it. */
export type FetchBlob = (reference: BlobReference) => Promise<Uint8Array | undefined>;

interface WantedBlob {
    reference: BlobReference;
    sinceMs: number;
}

/** Fetches blobs that the state references but this replica lacks, for example after its disk was replaced. */
export class BlobRepair {
    readonly #store: BlobStore;
    readonly #fetch: FetchBlob;
    readonly #wanted = new Map<string, WantedBlob>();
    #running = false;

    constructor(store: BlobStore, fetch: FetchBlob) {
        this.#store = store;
        this.#fetch = fetch;
    }

    /** Number of missing blobs, without those referenced so recently that their write may not have arrived yet. */
    missingCount(nowMs: number): number {
        return this.#due(nowMs).filter(([, wanted]) => !this.#store.has(wanted.reference)).length;
    }

    /** Schedules the repair of those blobs that are missing. Empty blobs are skipped. */
    want(references: readonly BlobReference[], nowMs: number): void {
        for (const reference of references) {
            if (reference.sizeBytes > 0 && !this.#store.has(reference)) {
                this.#wanted.set(digestKey(reference.sha256), { reference, sinceMs: nowMs });
            }
        }
    }

    /** Runs one round, which fetches a bounded number of missing blobs. Does nothing while another round is running. */
    async run(nowMs: number): Promise<void> {
        if (this.#running) {
            return;
        }
        this.#running = true;
        try {
            const due = this.#due(nowMs).slice(0, BLOBS_PER_ROUND);
            const worker = async (): Promise<void> => {
                for (let next = due.shift(); next !== undefined; next = due.shift()) {
                    await this.#repair(next[0], next[1], nowMs);
                }
            };
            await Promise.all(Array.from({ length: CONCURRENT_FETCHES }, worker));
        }
        finally {
            this.#running = false;
        }
    }

    #due(nowMs: number): [string, WantedBlob][] {
        return [...this.#wanted].filter(([, wanted]) => nowMs - wanted.sinceMs >= REPAIR_DELAY_MS);
    }

    async #repair(key: string, wanted: WantedBlob, nowMs: number): Promise<void> {
        if (this.#store.has(wanted.reference)) {
            this.#wanted.delete(key);
            return;
        }
        const data = await this.#fetch(wanted.reference);
        this.#wanted.delete(key);
        if (data === undefined) {
            // Inserts it at the end again, so that blobs that no replica has do not block the others.
            this.#wanted.set(key, wanted);
            return;
        }
        await this.#store.put(wanted.reference, data, nowMs);
    }
}
