import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, resolve } from "node:path";

/** A file open for appending. */
export interface AppendFile {
    /** Appends all of the data; it is durable only after `sync`. */
    append(data: Uint8Array): Promise<void>;
    /** Makes data and size durable. After a failure the content is unknown. */
    sync(): Promise<void>;
    truncate(sizeBytes: number): Promise<void>;
    close(): Promise<void>;
}

/** File operations that a store needs. Creation, renaming and removal are durable only after `syncFolder`. */
export interface FileSystem {
    /** Creates a folder with its missing parents unless it exists; the folder is durable afterwards. */
    makeFolder(path: string): Promise<void>;
    /** Returns the names of the files in a folder, in no particular order. */
    list(path: string): Promise<string[]>;
    read(path: string): Promise<Uint8Array>;
    /** Opens a file for appending and creates it if it is missing. */
    openAppend(path: string): Promise<AppendFile>;
    /** Renames a file or a folder. Replaces the target if it is a file. */
    rename(from: string, to: string): Promise<void>;
    remove(path: string): Promise<void>;
    /** Removes a folder with all files in it, if it exists. */
    removeFolder(path: string): Promise<void>;
    syncFolder(path: string): Promise<void>;
}

class NodeAppendFile implements AppendFile {
    readonly #handle: FileHandle;

    constructor(handle: FileHandle) {
        this.#handle = handle;
    }

    async append(data: Uint8Array): Promise<void> {
        let written = 0;
        while (written < data.length) {
            const result = await this.#handle.write(data, written, data.length - written);
            written += result.bytesWritten;
        }
    }

    sync(): Promise<void> {
        return this.#handle.datasync();
    }

    truncate(sizeBytes: number): Promise<void> {
        return this.#handle.truncate(sizeBytes);
    }

    close(): Promise<void> {
        return this.#handle.close();
    }
}

/** File system of the operating system. */
export class NodeFileSystem implements FileSystem {
    async makeFolder(path: string): Promise<void> {
        const firstCreated = await mkdir(path, { recursive: true });
        const topmost = firstCreated === undefined ? resolve(path) : resolve(firstCreated);
        // Syncs the parent even of a folder that exists, since the process that created it may have died before its sync.
        for (let folder = resolve(path);; folder = dirname(folder)) {
            await this.syncFolder(dirname(folder));
            if (folder === topmost) {
                return;
            }
        }
    }

    list(path: string): Promise<string[]> {
        return readdir(path);
    }

    read(path: string): Promise<Uint8Array> {
        return readFile(path);
    }

    async openAppend(path: string): Promise<AppendFile> {
        return new NodeAppendFile(await open(path, "a"));
    }

    rename(from: string, to: string): Promise<void> {
        return rename(from, to);
    }

    remove(path: string): Promise<void> {
        return rm(path);
    }

    removeFolder(path: string): Promise<void> {
        return rm(path, { recursive: true, force: true });
    }

    async syncFolder(path: string): Promise<void> {
        const handle = await open(path, "r");
        try {
            await handle.sync();
        }
        finally {
            await handle.close();
        }
    }
}
