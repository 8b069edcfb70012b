import { MaintenanceOutcome } from "@waxwingspread/workflow";
import type { BeginMaintenance, MaintenanceCall, MaintenanceOrder } from "@waxwingspread/workflow";
import type { EventQueue } from "./event-queue.js";
import type { SimulatedServer } from "./simulated-server.js";

/** Time for which a caller waits for the platform's answer. */
const CALL_TIMEOUT_MS = 3_000;
const MAX_DELAY_MS = 300;
/** Of so many calls, one is executed late, and another one's answer is lost. */
const CALLS_PER_FAULT = 6;
const MAX_LATE_DELAY_MS = 4_000;

interface Vm {
    server: SimulatedServer;
    /** Highest term that a call for this VM has had. */
    fence: number;
    /** Orders that this VM was maintained for. */
    doneFor: Set<number>;
    /** Order that the VM is down for; undefined while it is up. */
    downFor: number | undefined;
}

/** Dependencies of a {@link VmPlatform}. */
export interface VmPlatformOptions {
    events: EventQueue;
    servers: readonly SimulatedServer[];
    /** Returns a number between two bounds, both included. */
    pick: (minimum: number, maximum: number) => number;
    maintenanceMs: number;
}

/** The platform's interface to its VMs: maintains each VM of an order once, with a fence for each VM by itself. */
export class VmPlatform {
    readonly violations: string[] = [];
    readonly #options: VmPlatformOptions;
    readonly #vms: ReadonlyMap<string, Vm>;
    readonly #orders = new Map<number, MaintenanceOrder>();

    constructor(options: VmPlatformOptions) {
        this.#options = options;
        this.#vms = new Map(options.servers.map(server => [
            `vm-${server.id}`,
            { server, fence: 0, doneFor: new Set<number>(), downFor: undefined },
        ]));
    }

    /** Makes an order of the operators known. */
    recordOrder(order: MaintenanceOrder): void {
        this.#orders.set(order.id, order);
    }

    /** Whether a VM was maintained for an order. */
    isDone(orderId: number, vmId: string): boolean {
        return this.#vms.get(vmId)?.doneFor.has(orderId) === true;
    }

    /** Executes a call after a delay; a call without an answer may have been executed, or may be executed late. */
    readonly begin: BeginMaintenance = (call, respond) => {
        const { events, pick } = this.#options;
        const isFaulty = pick(1, CALLS_PER_FAULT) === 1;
        const isLate = isFaulty && pick(0, 1) === 1;
        const delayMs = pick(1, isLate ? MAX_LATE_DELAY_MS : MAX_DELAY_MS);
        let isAnswered = false;
        const answer = (outcome: MaintenanceOutcome): void => {
            if (!isAnswered) {
                isAnswered = true;
                respond(outcome, events.nowMs);
            }
        };
        events.after(delayMs, () => {
            const outcome = this.#execute(call);
            if (!isFaulty || isLate) {
                answer(outcome);
            }
        });
        events.after(CALL_TIMEOUT_MS, () => answer(MaintenanceOutcome.Retry));
    };

    #execute({ maintenanceId, vmId, term }: MaintenanceCall): MaintenanceOutcome {
        const vm = this.#vms.get(vmId);
        if (vm === undefined) {
            return MaintenanceOutcome.Gone;
        }
        if (term < vm.fence) {
            return MaintenanceOutcome.Superseded;
        }
        vm.fence = term;
        if (vm.doneFor.has(maintenanceId)) {
            return MaintenanceOutcome.Begun;
        }
        if (vm.downFor !== undefined || !vm.server.isUp) {
            return MaintenanceOutcome.Retry;
        }
        this.#begin(vm, vmId, maintenanceId);
        return MaintenanceOutcome.Begun;
    }

    #begin(vm: Vm, vmId: string, orderId: number): void {
        const { events, maintenanceMs } = this.#options;
        const downCount = [...this.#vms.values()].filter(({ downFor }) => downFor === orderId).length;
        if (downCount >= (this.#orders.get(orderId)?.maxConcurrent ?? 0)) {
            this.violations.push(
                `violated: no more VMs down than an order allows: ${vmId} for ${orderId} at ${events.nowMs} ms`,
            );
        }
        vm.downFor = orderId;
        vm.doneFor.add(orderId);
        vm.server.goDown(maintenanceMs);
        events.after(maintenanceMs, () => {
            vm.downFor = undefined;
        });
    }
}
