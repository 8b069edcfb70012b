import { MaintenanceOutcome, VmMaintenancePhase } from "../model/maintenance.js";
import type { BeginMaintenance } from "../model/maintenance.js";
import { TaskKind } from "../model/specification.js";
import { EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import type { MaintenanceRecord } from "../state/maintenance-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { ServerDirectory } from "./server-directory.js";
import type { ServerView } from "./server-view.js";
import type { LeaderSettings } from "./settings.js";
import type { Times } from "./times.js";

/** The VM may come back this much later than the platform says. */
const RETURN_SLACK_MS = 500;
const RETRY_DELAY_MS = 500;
/** Tasks without checkpoints have at least and at most this long to end before their VM goes down. */
const MIN_PATIENCE_MS = 1_000;
const MAX_PATIENCE_MS = 15_000;

enum Phase {
    /** Gets no new work and is being emptied. */
    Emptying = "emptying",
    /** The platform was asked. */
    Asked = "asked",
    Down = "down",
}

interface VmProgress {
    /** The order that the VM is maintained for; another order for the same VM waits. */
    maintenanceId: number;
    phase: Phase;
    sinceMs: number;
    /** No call before this. */
    retryAtMs: number;
    /** When a VM that is down is back at the latest. */
    backAtMs: number;
}

/** What maintenance needs. */
export interface MaintenanceParts {
    state: WorkflowState;
    directory: ServerDirectory;
    term: number;
    settings: LeaderSettings;
    propose: (event: WorkflowEvent) => void;
    begin: BeginMaintenance;
}

/**
 * Carries out the operators' maintenance orders: empties VMs, has the platform maintain them, and never has more of
 * an order down than it allows. A VM counts as down from its emptying until it is certainly back.
 */
export class Maintenance {
    readonly #parts: MaintenanceParts;
    /** VMs of orders whose end is proposed for the log. */
    readonly #ended = new Set<string>();
    /** VMs that count as down, by id. */
    readonly #progress = new Map<string, VmProgress>();
    /** Before this, calls of the former leader may still be under way. */
    readonly #firstCallAtMs: number;
    #isSuperseded = false;

    constructor(parts: MaintenanceParts, nowMs: number) {
        this.#parts = parts;
        this.#firstCallAtMs = nowMs + parts.settings.orderLeaseMs;
    }

    run(times: Times): void {
        for (const record of this.#parts.state.maintenances) {
            if (!record.isCompleted && !this.#isSuperseded) {
                this.#follow(record, times);
            }
        }
    }

    #follow(record: MaintenanceRecord, times: Times): void {
        const openVmIds = this.#openVmIds(record);
        for (const vmId of openVmIds) {
            this.#followVm(record, vmId, openVmIds.length, times);
        }
        this.#startEmptying(record, this.#openVmIds(record), times.nowMs);
    }

    #openVmIds(record: MaintenanceRecord): string[] {
        const { id, vmIds } = record.order;
        return vmIds.filter(vmId =>
            record.phaseOf(vmId) !== VmMaintenancePhase.Done && !this.#ended.has(keyOf(id, vmId))
        );
    }

    #startEmptying({ order }: MaintenanceRecord, vmIds: readonly string[], nowMs: number): void {
        const busy = vmIds.filter(vmId => this.#progressFor(order.id, vmId) !== undefined).length;
        if (busy >= order.maxConcurrent) {
            return;
        }
        const waiting = vmIds
            .filter(vmId => !this.#progress.has(vmId))
            .map(vmId => ({ vmId, load: this.#serverOf(vmId)?.standingCpuMillicores ?? 0 }))
            .sort((a, b) => a.load - b.load);
        for (const { vmId } of waiting.slice(0, order.maxConcurrent - busy)) {
            this.#progress.set(vmId, newProgress(order.id, Phase.Emptying, nowMs));
        }
    }

    #progressFor(maintenanceId: number, vmId: string): VmProgress | undefined {
        const progress = this.#progress.get(vmId);
        return progress?.maintenanceId === maintenanceId ? progress : undefined;
    }

    #followVm(record: MaintenanceRecord, vmId: string, openVms: number, times: Times): void {
        const { nowMs } = times;
        const isBegun = record.phaseOf(vmId) === VmMaintenancePhase.Begun;
        let progress = this.#progressFor(record.order.id, vmId);
        if (progress === undefined && isBegun) {
            // A former leader had it begun.
            progress = { ...newProgress(record.order.id, Phase.Down, nowMs), backAtMs: this.#backAtMs(nowMs) };
            this.#progress.set(vmId, progress);
        }
        if (progress?.phase === Phase.Down && nowMs >= progress.backAtMs) {
            this.#end(record, vmId);
        }
        else if (progress?.phase === Phase.Emptying) {
            const server = this.#serverOf(vmId);
            if (server !== undefined) {
                server.isInMaintenance = true;
            }
            const patienceMs = patienceOf(record, openVms, times.timeOfDayMs, this.#parts.settings.maintenanceMs);
            const isReady = server === undefined || isEmptied(server, nowMs - progress.sinceMs >= patienceMs);
            if (isReady && nowMs >= Math.max(progress.retryAtMs, this.#firstCallAtMs)) {
                this.#ask(record, vmId, progress);
            }
        }
    }

    #ask(record: MaintenanceRecord, vmId: string, progress: VmProgress): void {
        const { begin, term, propose } = this.#parts;
        const { id: maintenanceId } = record.order;
        progress.phase = Phase.Asked;
        begin({ maintenanceId, vmId, term }, (outcome, nowMs) => {
            if (outcome === MaintenanceOutcome.Begun) {
                progress.phase = Phase.Down;
                progress.backAtMs = this.#backAtMs(nowMs);
                propose({ kind: EventKind.VmMaintained, maintenanceId, vmId, phase: VmMaintenancePhase.Begun });
                const server = this.#serverOf(vmId);
                if (server !== undefined) {
                    this.#parts.directory.leave(server.id, nowMs);
                }
            }
            else if (outcome === MaintenanceOutcome.Gone) {
                this.#end(record, vmId);
            }
            else if (outcome === MaintenanceOutcome.Superseded) {
                this.#isSuperseded = true;
            }
            else {
                // The VM may be down already, so that it goes on counting as such.
                progress.phase = Phase.Emptying;
                progress.retryAtMs = nowMs + RETRY_DELAY_MS;
            }
        });
    }

    #end(record: MaintenanceRecord, vmId: string): void {
        this.#progress.delete(vmId);
        this.#ended.add(keyOf(record.order.id, vmId));
        const server = this.#serverOf(vmId);
        if (server !== undefined) {
            server.isInMaintenance = false;
        }
        const { id: maintenanceId } = record.order;
        this.#parts.propose({ kind: EventKind.VmMaintained, maintenanceId, vmId, phase: VmMaintenancePhase.Done });
    }

    #backAtMs(nowMs: number): number {
        return nowMs + this.#parts.settings.maintenanceMs + RETURN_SLACK_MS;
    }

    #serverOf(vmId: string): ServerView | undefined {
        for (const server of this.#parts.directory.servers) {
            if (server.vmId === vmId) {
                return server;
            }
        }
        return undefined;
    }
}

const keyOf = (maintenanceId: number, vmId: string): string => `${maintenanceId}/${vmId}`;

const newProgress = (maintenanceId: number, phase: Phase, nowMs: number): VmProgress => ({
    maintenanceId,
    phase,
    sinceMs: nowMs,
    retryAtMs: nowMs,
    backAtMs: 0,
});

/** Whether a VM may go down: nothing runs there, or nothing that has to be spared once the patience has ended. */
const isEmptied = (server: ServerView, isPatienceOver: boolean): boolean =>
    server.runs.size === 0
    || (isPatienceOver
        && [...server.runs.values()].every(run =>
            run.kind !== TaskKind.Standing || run.step.maxUnavailable === undefined
        ));

/** Returns how long tasks may take to end, so that the VMs that are left are done in time. */
const patienceOf = (
    { order, orderedAtMs }: MaintenanceRecord,
    openVms: number,
    timeOfDayMs: number,
    maintenanceMs: number,
): number => {
    const leftMs = orderedAtMs + order.allowedMs - timeOfDayMs;
    const rounds = Math.ceil(openVms / order.maxConcurrent);
    const perRoundMs = leftMs / rounds - maintenanceMs - RETURN_SLACK_MS;
    return Math.min(MAX_PATIENCE_MS, Math.max(MIN_PATIENCE_MS, perRoundMs));
};
