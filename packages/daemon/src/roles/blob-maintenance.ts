import type { BlobReference, Membership } from "@waxwingspread/protocol";
import { BlobRepair } from "../blob-store/blob-repair.js";
import type { BlobStore } from "../blob-store/blob-store.js";
import { digestKey } from "../blob-store/segment-index.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import type { ProcessContext } from "./process-context.js";

const REPAIR_INTERVAL_MS = 500;
const GARBAGE_COLLECTION_INTERVAL_MS = 60_000;
/** Unreferenced blobs are kept this long, because a submission stores its payload before it is accepted. */
const UNREFERENCED_BLOB_RETENTION_MS = 600_000;
const FETCH_TIMEOUT_MS = 1_000;

/** Replica state that blob maintenance reads. */
export interface BlobMaintenanceSource {
    membership: () => Membership;
    localDiskId: () => string;
    liveBlobs: () => BlobReference[];
}

/** Copies missing blobs from other replicas and deletes unreferenced ones, each at a fixed interval. */
export class BlobMaintenance {
    readonly #context: ProcessContext;
    readonly #store: BlobStore;
    readonly #source: BlobMaintenanceSource;
    readonly #repair: BlobRepair;
    readonly #timers: NodeJS.Timeout[] = [];

    constructor(context: ProcessContext, store: BlobStore, source: BlobMaintenanceSource) {
        this.#context = context;
        this.#store = store;
        this.#source = source;
        this.#repair = new BlobRepair(store, reference => this.#fetch(reference));
    }

    /** Number of blobs that this replica should hold by now but does not. */
    get missingCount(): number {
        return this.#repair.missingCount(monotonicNowMs());
    }

    /** Schedules the repair of referenced blobs that this replica does not hold. */
    enqueueRepairs(references: readonly BlobReference[]): void {
        this.#repair.enqueue(references, monotonicNowMs());
    }

    start(): void {
        const { fail } = this.#context;
        this.#timers.push(
            setInterval(() => void this.#repair.run(monotonicNowMs()).catch(fail), REPAIR_INTERVAL_MS),
            setInterval(() => void this.#collectGarbage().catch(fail), GARBAGE_COLLECTION_INTERVAL_MS),
        );
    }

    stop(): void {
        this.#timers.forEach(timer => clearInterval(timer));
    }

    async #collectGarbage(): Promise<void> {
        const live = new Set(this.#source.liveBlobs().map(reference => digestKey(reference.sha256)));
        const beforeMs = monotonicNowMs() - UNREFERENCED_BLOB_RETENTION_MS;
        await this.#store.collectGarbage(digest => live.has(digestKey(digest)), beforeMs);
        this.#context.metrics.blobBytes.set({}, this.#store.storedBytes);
    }

    async #fetch(reference: BlobReference): Promise<Uint8Array | undefined> {
        for (const member of this.#source.membership().members) {
            const address = member.identity?.address ?? "";
            if (address === "" || member.identity?.diskId === this.#source.localDiskId()) {
                continue;
            }
            const data = await this.#fetchFrom(address, reference);
            if (data !== undefined) {
                return data;
            }
        }
        return undefined;
    }

    async #fetchFrom(address: string, reference: BlobReference): Promise<Uint8Array | undefined> {
        try {
            const client = this.#context.clients.for(address).control;
            const response = await client.getBlob({ reference }, { timeoutMs: FETCH_TIMEOUT_MS });
            return response.error === undefined ? response.data : undefined;
        }
        catch {
            this.#context.clients.replace(address);
            return undefined;
        }
    }
}
