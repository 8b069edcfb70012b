/** Changes of what the leader believes about a backend server. */
export enum ServerEventKind {
    Heard = "heard",
    /** Silent until every lease has expired; its tasks are given up. */
    LeaseExpired = "lease-expired",
    /** Heard with a later incarnation; the tasks of the former one are given up. */
    Restarted = "restarted",
    Draining = "draining",
    /** Kept free of starts for a while, after failures or because tasks stand still. */
    Avoided = "avoided",
}

/** One such change. */
export interface ServerEvent {
    kind: ServerEventKind;
    serverId: string;
    incarnation: number;
    /** Runs that the server holds or held. */
    runs: number;
}
