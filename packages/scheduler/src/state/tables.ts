import type { AvailabilityZone, BackendServer, CommandCompleted, Contract, Job } from "@waxwingspread/protocol";
import type { Table } from "./table.js";
import type { UsageIndex } from "./usage.js";

/** Facts that exist once. */
export interface ClusterFacts {
    revision: number;
    term: number;
    /** Numbers of the oldest kept and of the next command outcome. */
    firstCommand: number;
    nextCommand: number;
}

/** Outcome of a command with its place in the order in which outcomes are dropped. */
export interface NumberedCommand {
    readonly number: number;
    readonly command: CommandCompleted;
}

/** Tables on which the event handlers work. */
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

/** Facts of an empty cluster. */
export const NO_FACTS: ClusterFacts = { revision: 0, term: 0, firstCommand: 0, nextCommand: 0 };
