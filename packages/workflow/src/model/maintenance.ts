/** An operator's order to maintain VMs, with a bound on those that are down at the same time. */
export interface MaintenanceOrder {
    id: number;
    vmIds: string[];
    /** Time after the order within which all of its VMs are to be maintained. */
    allowedMs: number;
    /** Maximum number of VMs that may be down for this order at the same time. */
    maxConcurrent: number;
}

/** State of a maintenance as shown to operators. */
export enum MaintenanceState {
    Running = "running",
    Completed = "completed",
}

/** Progress of the maintenance of one VM. */
export enum VmMaintenancePhase {
    /** A leader asks the platform for the maintenance, or is about to; the VM may be down. */
    Requested = "requested",
    /** The platform has begun the maintenance; the VM is down. */
    Begun = "begun",
    /** The VM is running again or no longer exists. */
    Done = "done",
}

/** A call that asks the platform to maintain one VM. */
export interface MaintenanceCall {
    maintenanceId: number;
    vmId: string;
    /** Term of the leader; the platform rejects a term lower than the highest that it has received for the VM. */
    term: number;
}

/** Outcome of a `MaintenanceCall`. */
export enum MaintenanceOutcome {
    /** Begun now or by an earlier call. */
    Begun = "begun",
    /** Not possible at present, or the outcome is unknown; the same call may be repeated. */
    Retry = "retry",
    /** There is no such VM. */
    Gone = "gone",
    /** A later leader has used a higher term. */
    Superseded = "superseded",
}

/** Asks the platform to maintain a VM; calls `respond` once with the outcome. */
export type BeginMaintenance = (
    call: MaintenanceCall,
    respond: (outcome: MaintenanceOutcome, nowMs: number) => void,
) => void;
