import { messageOf } from "@waxwingspread/common";
import { isDiskFullError, NodeFileSystem, openOrReplaceStore } from "@waxwingspread/consensus";
import type { OpenedStore } from "@waxwingspread/consensus";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "pino";
import { createReplaceHandler } from "../roles/create-replace-handler.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";

/** Delay until a log that couldn't be opened on a full disk is opened again. */
const OPEN_RETRY_INTERVAL_MS = 500;

/** Settings that name a replica's log and the replica itself. */
export interface LogSettings {
    host: string;
    replicaPort: number;
    dataFolder: string;
    availabilityZone: string;
}

/** Dependencies of {@link openLog}. */
export interface LogDependencies {
    logger: Logger;
    /** Ends the wait for room on the disk. */
    stopSignal?: AbortSignal;
}

/**
 * Opens the log of a control replica, or replaces one that is unreadable. Waits while the disk is full and the log can't
 * be opened without a write. Fails with DISK_FAILED or INVALID, or with an AbortError when it is to stop.
 */
export const openLog = async (settings: LogSettings, dependencies: LogDependencies): Promise<OpenedStore> => {
    const { logger } = dependencies;
    const startMs = monotonicNowMs();
    const opened = await openWhenDiskHasRoom(settings, dependencies);
    logger.info({
        snapshotIndex: opened.persisted.snapshot?.lastIndex ?? 0,
        snapshotBytes: opened.snapshotBytes?.length ?? 0,
        entries: opened.persisted.entries.length,
        durationMs: Math.round(monotonicNowMs() - startMs),
    }, "log opened");
    return opened;
};

const openWhenDiskHasRoom = async (settings: LogSettings, dependencies: LogDependencies): Promise<OpenedStore> => {
    const { logger, stopSignal } = dependencies;
    const address = `${settings.host}:${settings.replicaPort}`;
    const options = {
        fileSystem: new NodeFileSystem(),
        folder: join(settings.dataFolder, "log"),
        name: address,
        address,
        availabilityZone: settings.availabilityZone,
    };
    for (let attempt = 1;; attempt += 1) {
        try {
            return await openOrReplaceStore(options, createReplaceHandler(logger));
        }
        catch (error) {
            if (!isDiskFullError(error)) {
                throw error;
            }
            if (attempt === 1) {
                logger.error({ reason: messageOf(error) }, "disk is full; the log is opened when there is room");
            }
        }
        await sleep(OPEN_RETRY_INTERVAL_MS, undefined, { signal: stopSignal });
    }
};
