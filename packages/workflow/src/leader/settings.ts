/** Bounds and intervals of a leader, from the deployment. */
export interface LeaderSettings {
    /** Lease granted with each heartbeat. */
    leaseMs: number;
    /** Longest lease that a backend server takes. */
    maxLeaseMs: number;
    /** Wait of a backend server that has runs between an answer and its next heartbeat. */
    busyHeartbeatMs: number;
    /** The same for a server without runs. */
    idleHeartbeatMs: number;
    /** Time that the platform takes to maintain a VM. */
    maintenanceMs: number;
    /** Time after an order for a VM during which no other leader may give one. */
    orderLeaseMs: number;
    /** How long jobs are kept after their end. */
    retentionMs: number;
}
