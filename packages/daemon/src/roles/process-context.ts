import type { Journal } from "@waxwingspread/common";
import type { Logger } from "pino";
import type { DaemonMetrics } from "../metrics/index.js";
import type { DaemonSettings } from "../settings/index.js";
import type { PeerClients } from "../transport/peer-clients.js";

/** Services shared by all roles of one process. */
export interface ProcessContext {
    settings: DaemonSettings;
    logger: Logger;
    metrics: DaemonMetrics;
    journal: Journal;
    clients: PeerClients;
    authorizeOperator: (token: string) => boolean;
    /** Logs an unrecoverable error, such as a disk failure, and ends the process. */
    fail: (error: Error) => void;
}
