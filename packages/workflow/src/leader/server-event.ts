/** Kinds of changes in the assumed state of a backend server. */
export enum ServerEventKind {
    /** First heartbeat of a server that the leader did not know. */
    Heard = "heard",
    /** All leases have expired without a heartbeat; the server's runs are recorded as lost. */
    LeaseExpired = "lease-expired",
    /** Heartbeat of a later incarnation; the runs of the former one are recorded as lost. */
    Restarted = "restarted",
    /** The server has started to drain. */
    Draining = "draining",
    /** Heartbeat whose numbers can't be those of the server; it was dropped. */
    Implausible = "implausible",
    /** Heartbeat of a service that isn't one of this deployment, so that another program has sent it; it was dropped. */
    UnknownService = "unknown-service",
    /** The planner avoids the server for some time, after failures, starts that failed, or little progress of its tasks. */
    Avoided = "avoided",
}

/** A change in the assumed state of a backend server. */
export interface ServerEvent {
    kind: ServerEventKind;
    serverId: string;
    incarnation: number;
    /** The VM that the server runs on; empty when unknown. */
    vmId: string;
    /** Runs that the server holds or held. */
    runs: number;
}
