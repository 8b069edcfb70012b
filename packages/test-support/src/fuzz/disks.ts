import type { AppendFile, FileSystem } from "@waxwingspread/consensus";
import type { BlobReference } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import type { FakeFileSystem } from "../fake-file-system.js";
import type { Host } from "./simulation.js";

const MIN_SYNC_MS = 1;
const MAX_SYNC_MS = 4;

const syncDelay = (host: Host): Promise<void> =>
    new Promise(resolve => {
        const delayMs = host.simulation.random.nextInteger(MIN_SYNC_MS, MAX_SYNC_MS);
        host.simulation.schedule(delayMs, host.bind(resolve));
    });

/** Wraps a fake file system so that syncs take time and a process can be killed or frozen during one. */
export const addSyncDelays = (files: FakeFileSystem, host: Host): FileSystem => {
    const wrapFile = (file: AppendFile): AppendFile => ({
        append: data => file.append(data),
        sync: async () => {
            await syncDelay(host);
            await file.sync();
        },
        truncate: sizeBytes => file.truncate(sizeBytes),
        close: () => file.close(),
    });
    return {
        makeFolder: () => files.makeFolder(),
        list: path => files.list(path),
        read: path => files.read(path),
        openAppend: async path => wrapFile(await files.openAppend(path)),
        rename: (from, to) => files.rename(from, to),
        remove: path => files.remove(path),
        removeFolder: path => files.removeFolder(path),
        syncFolder: async path => {
            await syncDelay(host);
            await files.syncFolder(path);
        },
    };
};

const blobKey = (reference: BlobReference): string => Buffer.from(reference.sha256).toString("hex");

/** Blob store in memory. A blob becomes visible when its simulated sync ends; a crash before that loses it. */
export class MemoryBlobStore {
    readonly #blobs = new Map<string, Uint8Array>();
    isFull = false;

    has(reference: BlobReference): boolean {
        return this.#blobs.has(blobKey(reference));
    }

    get(reference: BlobReference): Uint8Array | undefined {
        return this.#blobs.get(blobKey(reference));
    }

    /** Stores a blob. `done` receives whether it was stored, and is not called if the process ends before. */
    put(host: Host, reference: BlobReference, data: Uint8Array, done: (stored: boolean) => void): void {
        const digest = createHash("sha256").update(data).digest("hex");
        const canStore = digest === blobKey(reference) && data.length === reference.sizeBytes && !this.isFull;
        const delayMs = host.simulation.random.nextInteger(MIN_SYNC_MS, MAX_SYNC_MS);
        host.simulation.schedule(
            delayMs,
            host.bind(() => {
                if (canStore) {
                    this.#blobs.set(blobKey(reference), data);
                }
                done(canStore);
            }),
        );
    }

    wipe(): void {
        this.#blobs.clear();
    }
}
