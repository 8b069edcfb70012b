import { VmMaintenancePhase } from "../model/maintenance.js";
import type { MaintenanceOrder } from "../model/maintenance.js";

/** Serializable content of a maintenance's record. */
export interface MaintenanceContent {
    order: MaintenanceOrder;
    /** Wall-clock time of the order. */
    orderedAtMs: number;
    /** Phases of the VMs whose maintenance has begun. */
    phases: Record<string, VmMaintenancePhase>;
}

/** Replicated record of one maintenance order. */
export class MaintenanceRecord {
    readonly #content: MaintenanceContent;

    constructor(content: MaintenanceContent) {
        this.#content = content;
    }

    get order(): MaintenanceOrder {
        return this.#content.order;
    }

    get orderedAtMs(): number {
        return this.#content.orderedAtMs;
    }

    /** Whether the maintenance of every VM is done. */
    get isCompleted(): boolean {
        return this.order.vmIds.every(vmId => this.phaseOf(vmId) === VmMaintenancePhase.Done);
    }

    /** Returns the phase of a VM's maintenance; undefined before it begins. */
    phaseOf(vmId: string): VmMaintenancePhase | undefined {
        return this.#content.phases[vmId];
    }

    /** Records a VM's phase, unless its maintenance is already done: a phase never moves backwards. */
    advance(vmId: string, phase: VmMaintenancePhase): void {
        if (this.phaseOf(vmId) !== VmMaintenancePhase.Done) {
            this.#content.phases[vmId] = phase;
        }
    }

    toContent(): MaintenanceContent {
        return this.#content;
    }
}
