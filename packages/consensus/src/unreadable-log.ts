import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { DataFolder } from "./data-folder.js";
import { ReplicaStore } from "./replica-store.js";
import type { OpenedStore, ReplicaStoreOptions } from "./replica-store.js";
import { toDiskError } from "./store-errors.js";

/** Called before an unreadable data folder is set aside under another path. */
export type ReplaceHandler = (reason: StepError, setAsidePath: string) => void;

/**
 * Opens a data folder as {@link ReplicaStore.open} does, except that a corrupt one is set aside and an empty one formatted
 * in its place. The new disk id makes it another replica, which can't vote as the former one, and which never forms a
 * cluster: a majority of corrupt logs must not become a cluster that has forgotten everything. Fails with DISK_FAILED or
 * INVALID, after which the folder is as it was.
 */
export const openOrReplaceStore = async (
    options: ReplicaStoreOptions,
    onReplace: ReplaceHandler,
): Promise<OpenedStore> => {
    try {
        return await ReplicaStore.open(options);
    }
    catch (error) {
        if (!(error instanceof StepError) || error.code !== ErrorCode.CORRUPT) {
            throw error;
        }
        const folder = new DataFolder(options.fileSystem, options.folder);
        onReplace(error, folder.setAsidePath);
        await setAside(folder);
        return ReplicaStore.open(options);
    }
};

const setAside = async (folder: DataFolder): Promise<void> => {
    try {
        await folder.setAside();
    }
    catch (error) {
        throw toDiskError("set the data folder aside", folder.path, error);
    }
};
