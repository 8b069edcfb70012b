import { NodeFileSystem, openOrReplaceStore } from "@waxwingspread/consensus";
import type { OpenedStore } from "@waxwingspread/consensus";
import { join } from "node:path";
import type { Logger } from "pino";
import { createReplaceHandler } from "../roles/create-replace-handler.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";

/** Settings that name a replica's log and the replica itself. */
export interface LogSettings {
    host: string;
    replicaPort: number;
    dataFolder: string;
    availabilityZone: string;
}

/** Opens the log of a control replica, or replaces one that is unreadable. Fails with DISK_FAILED or INVALID. */
export const openLog = async (settings: LogSettings, logger: Logger): Promise<OpenedStore> => {
    const address = `${settings.host}:${settings.replicaPort}`;
    const startMs = monotonicNowMs();
    const opened = await openOrReplaceStore({
        fileSystem: new NodeFileSystem(),
        folder: join(settings.dataFolder, "log"),
        name: address,
        address,
        availabilityZone: settings.availabilityZone,
    }, createReplaceHandler(logger));
    logger.info({
        snapshotIndex: opened.persisted.snapshot?.lastIndex ?? 0,
        snapshotBytes: opened.snapshotBytes?.length ?? 0,
        entries: opened.persisted.entries.length,
        durationMs: Math.round(monotonicNowMs() - startMs),
    }, "log opened");
    return opened;
};
