/** Timeouts and intervals of a leader, set by the deployment. */
export interface LeaderSettings {
    /** Duration of the lease granted with each heartbeat response. */
    leaseMs: number;
    /** Longest lease that a backend server accepts. */
    maxLeaseMs: number;
    /** Time from a response until the next heartbeat of a backend server with runs. */
    busyHeartbeatMs: number;
    /** The same for a server without runs. */
    idleHeartbeatMs: number;
    /** Upper bound on the size of the orders in one answer to a heartbeat, beside one that is larger by itself. */
    maxOrderBytes: number;
    /** Time that the platform takes to maintain a VM. */
    maintenanceMs: number;
    /** Time after an order for a VM during which no other leader may order its maintenance. */
    orderLeaseMs: number;
    /** Retention of jobs after their end. */
    retentionMs: number;
    /** Upper bound on the memory that all jobs take on a replica. */
    maxJobBytes: number;
}
