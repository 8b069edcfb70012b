/** An operator's order to maintain VMs, a few at a time. */
export interface MaintenanceOrder {
    id: number;
    vmIds: string[];
    /** Time from the order within which all of them are to be maintained. */
    allowedMs: number;
    /** VMs that may be down for it at the same time. */
    maxConcurrent: number;
}

/** State of a maintenance as shown to operators. */
export enum MaintenanceState {
    Running = "running",
    Completed = "completed",
}

/** How far the maintenance of one VM is. */
export enum VmMaintenancePhase {
    /** The platform has begun it; the VM is down. */
    Begun = "begun",
    /** The VM is back, or doesn't exist any more. */
    Done = "done",
}

/** A call that asks the platform to maintain one VM. */
export interface MaintenanceCall {
    maintenanceId: number;
    vmId: string;
    /** Term of the leader; the platform refuses a lower one than it has seen for the VM. */
    term: number;
}

/** Outcome of such a call. */
export enum MaintenanceOutcome {
    /** Begun now or by an earlier call. */
    Begun = "begun",
    /** Not possible now, or not known; the same call may be repeated. */
    Retry = "retry",
    /** There is no such VM. */
    Gone = "gone",
    /** A later leader has used a higher term. */
    Superseded = "superseded",
}

/** Makes the call; calls back once. */
export type BeginMaintenance = (
    call: MaintenanceCall,
    respond: (outcome: MaintenanceOutcome, nowMs: number) => void,
) => void;
