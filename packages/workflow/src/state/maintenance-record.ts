import { VmMaintenancePhase } from "../model/maintenance.js";
import type { MaintenanceOrder } from "../model/maintenance.js";

/** Order of the phases; a phase never moves backwards. */
const PHASE_RANKS: Readonly<Record<VmMaintenancePhase, number>> = {
    [VmMaintenancePhase.Requested]: 1,
    [VmMaintenancePhase.Begun]: 2,
    [VmMaintenancePhase.Done]: 3,
};

/** Serializable content of a maintenance's record. */
export interface MaintenanceContent {
    order: MaintenanceOrder;
    /** Wall-clock time of the order. */
    orderedAtMs: number;
    /** Phases of the VMs whose maintenance was requested. */
    phases: Record<string, VmMaintenancePhase>;
}

/** Replicated record of one maintenance order. */
export class MaintenanceRecord {
    readonly #content: Omit<MaintenanceContent, "phases">;
    /** Phases by VM. A plain object would take an id such as `__proto__` for one of its own properties. */
    readonly #phases: Map<string, VmMaintenancePhase>;

    constructor({ phases, ...content }: MaintenanceContent) {
        this.#content = content;
        this.#phases = new Map(Object.entries(phases));
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

    /** Returns the phase of a VM's maintenance; undefined before it is requested. */
    phaseOf(vmId: string): VmMaintenancePhase | undefined {
        return this.#phases.get(vmId);
    }

    /** Records a VM's phase, unless its maintenance has already reached a later one. */
    advance(vmId: string, phase: VmMaintenancePhase): void {
        const current = this.phaseOf(vmId);
        if (current === undefined || PHASE_RANKS[phase] > PHASE_RANKS[current]) {
            this.#phases.set(vmId, phase);
        }
    }

    toContent(): MaintenanceContent {
        return { ...this.#content, phases: Object.fromEntries(this.#phases) };
    }
}
