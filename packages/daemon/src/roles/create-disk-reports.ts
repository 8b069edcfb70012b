import type { RunnerHooks } from "@waxwingspread/consensus";
import type { Logger } from "pino";

/** Hooks of a runner that report a full disk. */
export type DiskReports = Required<Pick<RunnerHooks, "onDiskFull" | "onDiskWritable" | "onSnapshotPostponed">>;

/** Returns hooks that log when a replica's disk becomes full and takes writes again, and set the metric of it. */
export const createDiskReports = (setDiskFull: (isFull: boolean) => void, logger: Logger): DiskReports => ({
    onDiskFull: error => {
        setDiskFull(true);
        logger.error({ reason: error.message }, "disk is full; the log is written when there is room");
    },
    onDiskWritable: fullForMs => {
        setDiskFull(false);
        logger.info({ fullForMs: Math.round(fullForMs) }, "disk takes writes again");
    },
    onSnapshotPostponed: error =>
        logger.warn({ reason: error.message }, "disk is full; the snapshot is taken when there is room"),
});
