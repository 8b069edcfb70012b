import type { BlobReference } from "@waxwingspread/protocol";
import type { BlobStore } from "./blob-store.js";
import { digestKey } from "./segment-index.js";

/** A blob is looked for elsewhere only after this long, since its own copy is usually on the way. */
const REPAIR_DELAY_MS = 2_000;
/** Blobs fetched in one round. */
const BLOBS_PER_ROUND = 512;
/** Fetches at a time, so that a repair doesn't crowd out other work. */
const CONCURRENT_FETCHES = 8;

/** Fetches a blob from another replica; undefined where none has it. */
export type FetchBlob = (reference: BlobReference) => Promise<Uint8Array | undefined>;

interface WantedBlob {
    reference: BlobReference;
    sinceMs: number;
}

/** Copies blobs that the state refers to and this replica doesn't hold, for example after its disk was replaced. */
export class BlobRepair {
    readonly #store: BlobStore;
    readonly #fetch: FetchBlob;
    readonly #wanted = new Map<string, WantedBlob>();
    #running = false;

    constructor(store: BlobStore, fetch: FetchBlob) {
        this.#store = store;
        this.#fetch = fetch;
    }

    /** Number of blobs that this replica should hold by now and doesn't. Those just referred to may be on the way. */
    missingCount(nowMs: number): number {
        return this.#due(nowMs).filter(([, wanted]) => !this.#store.has(wanted.reference)).length;
    }

    /** Takes note of blobs that this replica should hold. */
    want(references: readonly BlobReference[], nowMs: number): void {
        for (const reference of references) {
            if (reference.sizeBytes > 0 && !this.#store.has(reference)) {
                this.#wanted.set(digestKey(reference.sha256), { reference, sinceMs: nowMs });
            }
        }
    }

    /** Fetches a bounded number of missing blobs. */
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
            // Goes to the end of the order, so that one lost blob doesn't hold up the others.
            this.#wanted.set(key, wanted);
            return;
        }
        await this.#store.put(wanted.reference, data, nowMs);
    }
}
