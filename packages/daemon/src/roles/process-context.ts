import type { Journal } from "@waxwingspread/common";
import type { Logger } from "pino";
import type { DaemonMetrics } from "../metrics/index.js";
import type { DaemonSettings } from "../settings/index.js";
import type { PeerClients } from "../transport/peer-clients.js";

/** What all roles of one process share. */
export interface ProcessContext {
    settings: DaemonSettings;
    logger: Logger;
    metrics: DaemonMetrics;
    journal: Journal;
    clients: PeerClients;
    authorizeOperator: (token: string) => boolean;
    /** Ends the process because it can't go on, for example after a disk failure. */
    fail: (error: Error) => void;
}
