import type { SeededRandom } from "@waxwingspread/common";
import type { AppendFile, FileSystem } from "@waxwingspread/consensus";
import { dirname } from "node:path";

const INITIAL_CAPACITY_BYTES = 256;
const GROWTH_FACTOR = 2;
const BYTE_VALUES = 256;
const BYTE_MASK = 0xff;

/** Operations of the fake file system at which a fault can be injected. */
export enum FileOperation {
    List = "list",
    Read = "read",
    Open = "open",
    Append = "append",
    Sync = "sync",
    Truncate = "truncate",
    Rename = "rename",
    Remove = "remove",
    RemoveFolder = "remove-folder",
    SyncFolder = "sync-folder",
}

/** Effect of a crash on data that was appended but not synced. */
export enum TornWrite {
    /** All of it is lost. */
    Lost = "lost",
    /** A prefix of random length is kept. */
    Prefix = "prefix",
    /** The size is kept, but the content after a random byte is zeros. */
    Zeros = "zeros",
    /** The size is kept, but one random byte is wrong. */
    Damaged = "damaged",
}

/** Error with an operating system's error code, such as `ENOSPC`. */
export class FakeFileError extends Error {
    constructor(readonly code: string, operation: FileOperation, path: string) {
        super(`${code}: ${operation} ${path}`);
        this.name = "FakeFileError";
    }
}

/** Content of a file, of which the first `#syncedLength` bytes survive a crash. */
class FakeFile {
    #buffer = new Uint8Array(INITIAL_CAPACITY_BYTES);
    #length = 0;
    #syncedLength = 0;
    /** Synced content from before an unsynced truncation; a crash may restore it. */
    #truncated: Uint8Array | undefined;
    /** Bytes whose sync has failed: they can still be read, but no later sync writes them. */
    #unwritten: { start: number; end: number } | undefined;

    get length(): number {
        return this.#length;
    }

    get unsyncedBytes(): number {
        return Math.max(0, this.#length - this.#syncedLength);
    }

    content(): Uint8Array {
        return this.#buffer.slice(0, this.#length);
    }

    append(data: Uint8Array): void {
        const requiredBytes = this.#length + data.length;
        if (requiredBytes > this.#buffer.length) {
            const larger = new Uint8Array(Math.max(requiredBytes, this.#buffer.length * GROWTH_FACTOR));
            larger.set(this.#buffer.subarray(0, this.#length));
            this.#buffer = larger;
        }
        this.#buffer.set(data, this.#length);
        this.#length = requiredBytes;
    }

    truncate(sizeBytes: number): void {
        if (this.#unwritten !== undefined && sizeBytes < this.#unwritten.end) {
            const { start } = this.#unwritten;
            this.#unwritten = sizeBytes <= start ? undefined : { start, end: sizeBytes };
        }
        if (sizeBytes < this.#syncedLength) {
            this.#truncated ??= this.#buffer.slice(0, this.#syncedLength);
            this.#syncedLength = sizeBytes;
        }
        this.#length = Math.min(this.#length, sizeBytes);
    }

    sync(): void {
        this.#syncedLength = this.#length;
        this.#truncated = undefined;
    }

    failSync(): void {
        if (this.#length > this.#syncedLength) {
            this.#unwritten = { start: this.#unwritten?.start ?? this.#syncedLength, end: this.#length };
        }
    }

    invertByte(offset: number): void {
        this.#buffer[offset] = (this.#buffer[offset] ?? 0) ^ BYTE_MASK;
    }

    crash(torn: TornWrite, random: SeededRandom): void {
        if (this.#unwritten !== undefined) {
            this.#buffer.fill(0, this.#unwritten.start, this.#unwritten.end);
            this.#unwritten = undefined;
        }
        if (this.#truncated !== undefined && random.nextRatio() < 1 / 2) {
            this.#length = 0;
            this.append(this.#truncated);
        }
        else if (this.#length > this.#syncedLength) {
            this.#applyTornWrite(torn, random);
        }
        this.sync();
    }

    #applyTornWrite(torn: TornWrite, random: SeededRandom): void {
        const tearOffset = random.nextInteger(this.#syncedLength, this.#length);
        switch (torn) {
            case TornWrite.Lost:
                this.#length = this.#syncedLength;
                return;
            case TornWrite.Prefix:
                this.#length = tearOffset;
                return;
            case TornWrite.Zeros:
                this.#buffer.fill(0, tearOffset, this.#length);
                return;
            case TornWrite.Damaged:
                this.#buffer[Math.min(tearOffset, this.#length - 1)] = random.nextInteger(0, BYTE_VALUES - 1);
        }
    }
}

const folderPrefix = (path: string): string => path.endsWith("/") ? path : `${path}/`;

type FolderChange = (files: Map<string, FakeFile>) => void;

/**
 * In-memory file system that simulates power failures and the death of processes. After `crash` it contains what a disk
 * may contain: all synced data, and an arbitrary part of the data and of the folder changes that were not synced. After
 * `endProcess` everything is still visible, but what was not synced is lost by a later `crash`.
 */
export class FakeFileSystem implements FileSystem {
    /** Called before each operation; if it returns an error code (such as `EIO`), the operation fails with it. */
    fault: ((operation: FileOperation, path: string) => string | undefined) | undefined;
    /** Called before each operation, which waits for the returned promise; allows a crash in the middle of a write. */
    delay: ((operation: FileOperation, path: string) => Promise<void> | undefined) | undefined;
    /** Limit on the total size of all files. An append that exceeds it writes what fits and fails with ENOSPC. */
    capacityBytes = Infinity;
    /** Whether data whose sync has failed counts as written afterwards, as on Linux, although the disk doesn't hold it. */
    losesDataOfFailedSyncs = false;
    /** Number of syncs of files so far. */
    syncCount = 0;
    readonly #random: SeededRandom;
    #files = new Map<string, FakeFile>();
    #durableFiles = new Map<string, FakeFile>();
    #unsyncedChanges: { folder: string; change: FolderChange }[] = [];
    readonly #appendsInProgress = new Set<{ file: FakeFile; data: Uint8Array }>();
    #generation = 0;

    constructor(random: SeededRandom) {
        this.#random = random;
    }

    get usedBytes(): number {
        return [...this.#files.values()].reduce((sum, file) => sum + file.length, 0);
    }

    /** Paths of all files, sorted. */
    get paths(): string[] {
        return [...this.#files.keys()].sort();
    }

    /** Simulates a power failure: loses or damages unsynced data; open files become unusable. */
    crash(torn: TornWrite = this.#random.pick(Object.values(TornWrite))): void {
        this.#generation += 1;
        const durableChanges = this.#unsyncedChanges.filter(() => this.#random.nextRatio() < 1 / 2);
        durableChanges.forEach(({ change }) => change(this.#durableFiles));
        this.#unsyncedChanges = [];
        this.#files = new Map(this.#durableFiles);
        for (const file of new Set(this.#files.values())) {
            file.crash(torn, this.#random);
        }
    }

    /**
     * Simulates the death of the process: keeps all data in its synced or unsynced state, and a random part of each append
     * in progress; open files become unusable.
     */
    endProcess(): void {
        this.#generation += 1;
        for (const { file, data } of this.#appendsInProgress) {
            file.append(data.subarray(0, this.#random.nextInteger(0, data.length)));
        }
        this.#appendsInProgress.clear();
    }

    /** Replaces the disk with an empty one; open files become unusable. */
    wipe(): void {
        this.#generation += 1;
        this.#files = new Map();
        this.#durableFiles = new Map();
        this.#unsyncedChanges = [];
    }

    /** Inverts a byte of a file. */
    corrupt(path: string, offset: number): void {
        this.#existingFile(FileOperation.Read, path).invertByte(offset);
    }

    /** Sets the content of a file, synced. */
    replaceContent(path: string, data: Uint8Array): void {
        const file = new FakeFile();
        file.append(data);
        file.sync();
        this.#files.set(path, file);
        this.#durableFiles.set(path, file);
    }

    /**
     * Returns a view for one process. After its death, a crash or a wipe, every operation except `makeFolder` fails with
     * EBADF.
     */
    process(): FileSystem {
        const generation = this.#generation;
        return {
            makeFolder: () => this.makeFolder(),
            list: path => this.#list(path, generation),
            read: path => this.#read(path, generation),
            openAppend: path => this.#openAppend(path, generation),
            rename: (from, to) => this.#rename(from, to, generation),
            remove: path => this.#remove(path, generation),
            removeFolder: path => this.#removeFolder(path, generation),
            syncFolder: path => this.#syncFolder(path, generation),
        };
    }

    makeFolder(): Promise<void> {
        return Promise.resolve();
    }

    list(path: string): Promise<string[]> {
        return this.#list(path, this.#generation);
    }

    read(path: string): Promise<Uint8Array> {
        return this.#read(path, this.#generation);
    }

    openAppend(path: string): Promise<AppendFile> {
        return this.#openAppend(path, this.#generation);
    }

    rename(from: string, to: string): Promise<void> {
        return this.#rename(from, to, this.#generation);
    }

    remove(path: string): Promise<void> {
        return this.#remove(path, this.#generation);
    }

    removeFolder(path: string): Promise<void> {
        return this.#removeFolder(path, this.#generation);
    }

    syncFolder(path: string): Promise<void> {
        return this.#syncFolder(path, this.#generation);
    }

    async #list(path: string, generation: number): Promise<string[]> {
        await this.#beginOperation(FileOperation.List, path, generation);
        const prefix = folderPrefix(path);
        const inside = [...this.#files.keys()].filter(file => file.startsWith(prefix));
        return [...new Set(inside.map(file => file.slice(prefix.length).split("/")[0] ?? ""))];
    }

    async #read(path: string, generation: number): Promise<Uint8Array> {
        await this.#beginOperation(FileOperation.Read, path, generation);
        return this.#existingFile(FileOperation.Read, path).content();
    }

    async #openAppend(path: string, generation: number): Promise<AppendFile> {
        await this.#beginOperation(FileOperation.Open, path, generation);
        const file = this.#files.get(path) ?? new FakeFile();
        if (!this.#files.has(path)) {
            this.#applyChange(path, files => files.set(path, file));
        }
        return this.#createAppendFile(path, file, generation);
    }

    async #rename(from: string, to: string, generation: number): Promise<void> {
        await this.#beginOperation(FileOperation.Rename, from, generation);
        if (!this.#files.has(from)) {
            this.#renameFolder(from, to);
            return;
        }
        const file = this.#existingFile(FileOperation.Rename, from);
        this.#applyChange(from, files => {
            files.delete(from);
            files.set(to, file);
        });
    }

    async #remove(path: string, generation: number): Promise<void> {
        await this.#beginOperation(FileOperation.Remove, path, generation);
        this.#existingFile(FileOperation.Remove, path);
        this.#applyChange(path, files => files.delete(path));
    }

    /** Removes one file after the other, so that a crash may keep some of them. */
    async #removeFolder(path: string, generation: number): Promise<void> {
        await this.#beginOperation(FileOperation.RemoveFolder, path, generation);
        for (const file of this.#filesIn(path)) {
            this.#applyChange(path, files => files.delete(file));
        }
    }

    /** Changes in the folder that are not synced before it is renamed never become durable. */
    #renameFolder(from: string, to: string): void {
        const paths = this.#filesIn(from);
        if (paths.length === 0) {
            throw new FakeFileError("ENOENT", FileOperation.Rename, from);
        }
        if (this.#filesIn(to).length > 0) {
            throw new FakeFileError("ENOTEMPTY", FileOperation.Rename, to);
        }
        this.#unsyncedChanges = this.#unsyncedChanges.filter(item => item.folder !== from);
        this.#applyChange(from, files => {
            for (const path of paths) {
                const file = files.get(path);
                if (file !== undefined) {
                    files.delete(path);
                    files.set(to + path.slice(from.length), file);
                }
            }
        });
    }

    #filesIn(folder: string): string[] {
        return [...this.#files.keys()].filter(path => path.startsWith(folderPrefix(folder)));
    }

    async #syncFolder(path: string, generation: number): Promise<void> {
        await this.#beginOperation(FileOperation.SyncFolder, path, generation);
        const synced = this.#unsyncedChanges.filter(item => item.folder === path);
        synced.forEach(({ change }) => change(this.#durableFiles));
        this.#unsyncedChanges = this.#unsyncedChanges.filter(item => item.folder !== path);
    }

    #createAppendFile(path: string, file: FakeFile, generation: number): AppendFile {
        const begin = (operation: FileOperation) => this.#beginOperation(operation, path, generation);
        return {
            append: async data => {
                const append = { file, data };
                this.#appendsInProgress.add(append);
                await begin(FileOperation.Append).finally(() => this.#appendsInProgress.delete(append));
                const freeBytes = this.capacityBytes - this.usedBytes;
                file.append(data.subarray(0, Math.max(0, Math.min(freeBytes, data.length))));
                if (freeBytes < data.length) {
                    throw new FakeFileError("ENOSPC", FileOperation.Append, path);
                }
            },
            sync: async () => {
                try {
                    await begin(FileOperation.Sync);
                }
                catch (error) {
                    if (this.losesDataOfFailedSyncs) {
                        file.failSync();
                    }
                    throw error;
                }
                this.syncCount += 1;
                file.sync();
            },
            truncate: async sizeBytes => {
                await begin(FileOperation.Truncate);
                file.truncate(sizeBytes);
            },
            close: () => Promise.resolve(),
        };
    }

    async #beginOperation(operation: FileOperation, path: string, generation: number): Promise<void> {
        await this.delay?.(operation, path);
        if (generation !== this.#generation) {
            throw new FakeFileError("EBADF", operation, path);
        }
        const code = this.fault?.(operation, path);
        if (code !== undefined) {
            throw new FakeFileError(code, operation, path);
        }
    }

    #existingFile(operation: FileOperation, path: string): FakeFile {
        const file = this.#files.get(path);
        if (file === undefined) {
            throw new FakeFileError("ENOENT", operation, path);
        }
        return file;
    }

    #applyChange(path: string, change: FolderChange): void {
        change(this.#files);
        this.#unsyncedChanges.push({ folder: dirname(path), change });
    }
}
