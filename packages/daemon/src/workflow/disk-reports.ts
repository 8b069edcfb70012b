import type { RunnerHooks } from "@waxwingspread/consensus";
import type { Logger } from "pino";
import type { ControlMetrics } from "./workflow-metrics.js";

/** Hooks of a runner that report a full disk. */
export type DiskReports = Required<Pick<RunnerHooks, "onDiskFull" | "onDiskWritable" | "onSnapshotPostponed">>;

/** Returns hooks that log when a replica's disk becomes full and takes writes again, and set the metric. */
export const createDiskReports = (metrics: ControlMetrics, logger: Logger): DiskReports => ({
    onDiskFull: error => {
        metrics.setDiskFull(true);
        logger.error({ reason: error.message }, "disk is full; the log is written when there is room");
    },
    onDiskWritable: fullForMs => {
        metrics.setDiskFull(false);
        logger.info({ fullForMs: Math.round(fullForMs) }, "disk takes writes again");
    },
    onSnapshotPostponed: error =>
        logger.warn({ reason: error.message }, "disk is full; the snapshot is taken when there is room"),
});
