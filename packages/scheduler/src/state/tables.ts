import type { AvailabilityZone, BackendServer, CommandCompleted, Contract, Job } from "@waxwingspread/protocol";
import type { Table } from "./table.js";
import type { UsageIndex } from "./usage.js";

/** Single values of the cluster, kept as one record: the revision, the term and the range of retained commands. */
export interface ClusterFacts {
    revision: number;
    term: number;
    /** Number of the oldest retained command result. */
    firstCommand: number;
    /** Number of the next command result. */
    nextCommand: number;
}

/** Result of a command with its sequence number; the oldest results are dropped first. */
export interface NumberedCommand {
    readonly number: number;
    readonly command: CommandCompleted;
}

/** Tables that the event handlers read and change. */
export interface ClusterTables {
    readonly facts: Table<ClusterFacts>;
    readonly contracts: Table<Contract>;
    readonly zones: Table<AvailabilityZone>;
    readonly servers: Table<BackendServer>;
    readonly jobs: Table<Job>;
    readonly commands: Table<NumberedCommand>;
    readonly usage: UsageIndex;
}

/** Key of the single record of the facts table. */
export const FACTS_KEY = "facts";

/** Values of an empty cluster. */
export const NO_FACTS: ClusterFacts = { revision: 0, term: 0, firstCommand: 0, nextCommand: 0 };
