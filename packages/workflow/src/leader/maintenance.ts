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

/** Margin on the platform's maintenance time by which a VM is certainly back. */
const RETURN_MARGIN_MS = 500;
/** Delay before a call without a definite outcome is repeated. */
const RETRY_DELAY_MS = 500;
/** Bounds on the time that tasks without checkpoints have to end before their VM goes down. */
const MIN_EMPTYING_TIMEOUT_MS = 1_000;
const MAX_EMPTYING_TIMEOUT_MS = 15_000;

/** Phase of a VM that counts as down. */
enum Phase {
    /** The VM gets no new tasks and its tasks are stopped or awaited. */
    Emptying = "emptying",
    /** The call to the platform is in progress. */
    Asked = "asked",
    /** The platform has begun the maintenance. */
    Down = "down",
}

interface VmProgress {
    /** Id of the order that the VM is maintained for; other orders for the same VM wait. */
    maintenanceId: number;
    phase: Phase;
    /** Start of the emptying. */
    sinceMs: number;
    /** Whether the request is proposed for the log, which must take it before the first call. */
    isRequestProposed: boolean;
    /** Earliest time of the next call. */
    retryAtMs: number;
    /** Latest time at which a VM that is down is back. */
    backAtMs: number;
}

/** Options and dependencies of {@link Maintenance}. */
export interface MaintenanceOptions {
    state: WorkflowState;
    directory: ServerDirectory;
    term: number;
    settings: LeaderSettings;
    propose: (event: WorkflowEvent) => void;
    begin: BeginMaintenance;
}

/**
 * Executes the operators' maintenance orders: empties VMs and has the platform maintain them, within the order's
 * limit on VMs that are down. A VM counts as down from the start of its emptying until it is certainly back.
 */
export class Maintenance {
    readonly #options: MaintenanceOptions;
    /** Keys of the VMs, by order, whose completion is proposed for the log. */
    readonly #completed = new Set<string>();
    /** State of the VMs that count as down, by id. */
    readonly #progress = new Map<string, VmProgress>();
    /** Time until which calls of the former leader may still be in progress. */
    readonly #firstCallAtMs: number;
    #isSuperseded = false;

    constructor(options: MaintenanceOptions, nowMs: number) {
        this.#options = options;
        this.#firstCallAtMs = nowMs + options.settings.orderLeaseMs;
    }

    /** Advances all open orders; called periodically. */
    run(times: Times): void {
        for (const record of this.#options.state.maintenances) {
            if (!record.isCompleted && !this.#isSuperseded) {
                this.#advanceOrder(record, times);
            }
        }
    }

    #advanceOrder(record: MaintenanceRecord, times: Times): void {
        const openVmIds = this.#openVmIds(record);
        for (const vmId of openVmIds) {
            this.#advanceVm(record, vmId, openVmIds.length, times);
        }
        this.#startEmptying(record, this.#openVmIds(record), times.nowMs);
    }

    #openVmIds(record: MaintenanceRecord): string[] {
        const { id, vmIds } = record.order;
        return vmIds.filter(vmId =>
            record.phaseOf(vmId) !== VmMaintenancePhase.Done && !this.#completed.has(vmKeyOf(id, vmId))
        );
    }

    #startEmptying({ order }: MaintenanceRecord, vmIds: readonly string[], nowMs: number): void {
        const downCount = vmIds.filter(vmId => this.#progressFor(order.id, vmId) !== undefined).length;
        if (downCount >= order.maxConcurrent) {
            return;
        }
        const waiting = vmIds
            .filter(vmId => !this.#progress.has(vmId))
            .map(vmId => ({ vmId, load: standingLoadOf(this.#serversOn(vmId)) }))
            .sort((a, b) => a.load - b.load);
        for (const { vmId } of waiting.slice(0, order.maxConcurrent - downCount)) {
            this.#progress.set(vmId, newProgress(order.id, Phase.Emptying, nowMs));
        }
    }

    #progressFor(maintenanceId: number, vmId: string): VmProgress | undefined {
        const progress = this.#progress.get(vmId);
        return progress?.maintenanceId === maintenanceId ? progress : undefined;
    }

    #advanceVm(record: MaintenanceRecord, vmId: string, openVms: number, times: Times): void {
        const { nowMs } = times;
        const progress = this.#progressFor(record.order.id, vmId) ?? this.#adoptProgress(record, vmId, nowMs);
        if (progress?.phase === Phase.Down && nowMs >= progress.backAtMs) {
            this.#completeVm(record, vmId);
        }
        else if (progress?.phase === Phase.Emptying) {
            this.#empty(record, vmId, progress, openVms, times);
        }
    }

    /**
     * Returns the progress of a VM that a former leader has left; undefined if it has not requested the maintenance. What
     * became of a request is known only once it is repeated, so that the VM counts as down until then.
     */
    #adoptProgress(record: MaintenanceRecord, vmId: string, nowMs: number): VmProgress | undefined {
        const recordedPhase = record.phaseOf(vmId);
        if (recordedPhase === undefined) {
            return undefined;
        }
        const phase = recordedPhase === VmMaintenancePhase.Begun ? Phase.Down : Phase.Emptying;
        const progress = { ...newProgress(record.order.id, phase, nowMs), backAtMs: this.#backAtMs(nowMs) };
        this.#progress.set(vmId, progress);
        return progress;
    }

    /** Keeps new tasks off a VM, and requests its maintenance once it may go down. */
    #empty(record: MaintenanceRecord, vmId: string, progress: VmProgress, openVms: number, times: Times): void {
        const { nowMs, timeOfDayMs } = times;
        const servers = this.#serversOn(vmId);
        servers.forEach(server => {
            server.isInMaintenance = true;
            server.maintenanceRequestedAtMs ??= record.phaseOf(vmId) === undefined ? undefined : nowMs;
        });
        const timeoutMs = emptyingTimeoutMs(record, openVms, timeOfDayMs, this.#options.settings.maintenanceMs);
        const isTimedOut = nowMs - progress.sinceMs >= timeoutMs;
        const isReady = this.#isContentKnown(servers) && servers.every(server => canGoDown(server, isTimedOut));
        if (!isReady || nowMs < Math.max(progress.retryAtMs, this.#firstCallAtMs)) {
            return;
        }
        if (record.phaseOf(vmId) !== undefined) {
            this.#requestMaintenance(record, vmId, progress);
        }
        else if (!progress.isRequestProposed) {
            // A leader that was replaced while it was suspended can't have its request committed, so that it makes no call
            // beside its successor's. The platform's fence doesn't prevent that, since it holds for each VM by itself.
            progress.isRequestProposed = true;
            this.#propose(record, vmId, VmMaintenancePhase.Requested);
        }
    }

    /**
     * Whether it is known what runs on a VM with these servers. The VM of a server that only the log names is unknown until
     * the server finds this leader, or until its leases have expired.
     */
    #isContentKnown(servers: readonly ServerView[]): boolean {
        return servers.length > 0 || !this.#options.directory.servers.some(hasRunsOnUnknownVm);
    }

    #requestMaintenance(record: MaintenanceRecord, vmId: string, progress: VmProgress): void {
        const { begin, term } = this.#options;
        const { id: maintenanceId } = record.order;
        progress.phase = Phase.Asked;
        begin({ maintenanceId, vmId, term }, (outcome, nowMs) => {
            if (outcome === MaintenanceOutcome.Begun) {
                progress.phase = Phase.Down;
                progress.backAtMs = this.#backAtMs(nowMs);
                this.#propose(record, vmId, VmMaintenancePhase.Begun);
                this.#serversOn(vmId).forEach(server => this.#options.directory.markLeaving(server.id, nowMs));
            }
            else if (outcome === MaintenanceOutcome.Gone) {
                this.#completeVm(record, vmId);
            }
            else if (outcome === MaintenanceOutcome.Superseded) {
                this.#isSuperseded = true;
            }
            else {
                // The VM may already be down, so it continues to count as down.
                progress.phase = Phase.Emptying;
                progress.retryAtMs = nowMs + RETRY_DELAY_MS;
            }
        });
    }

    #completeVm(record: MaintenanceRecord, vmId: string): void {
        this.#progress.delete(vmId);
        this.#completed.add(vmKeyOf(record.order.id, vmId));
        this.#serversOn(vmId).forEach(server => {
            server.isInMaintenance = false;
            server.maintenanceRequestedAtMs = undefined;
        });
        this.#propose(record, vmId, VmMaintenancePhase.Done);
    }

    #propose({ order }: MaintenanceRecord, vmId: string, phase: VmMaintenancePhase): void {
        this.#options.propose({ kind: EventKind.VmMaintained, maintenanceId: order.id, vmId, phase });
    }

    #backAtMs(nowMs: number): number {
        return nowMs + this.#options.settings.maintenanceMs + RETURN_MARGIN_MS;
    }

    /** Returns the servers on a VM: beside the present one, a former one whose lease has not expired. */
    #serversOn(vmId: string): ServerView[] {
        return this.#options.directory.servers.filter(server => server.vmId === vmId);
    }
}

const vmKeyOf = (maintenanceId: number, vmId: string): string => `${maintenanceId}/${vmId}`;

const hasRunsOnUnknownVm = ({ sequence, runs }: ServerView): boolean => sequence === undefined && runs.size > 0;

const standingLoadOf = (servers: readonly ServerView[]): number =>
    servers.reduce((sum, server) => sum + server.standingCpuMillicores, 0);

const newProgress = (maintenanceId: number, phase: Phase, nowMs: number): VmProgress => ({
    maintenanceId,
    phase,
    sinceMs: nowMs,
    isRequestProposed: false,
    retryAtMs: nowMs,
    backAtMs: 0,
});

/**
 * Whether a VM may go down: it has no runs, or its emptying has timed out and none of its runs is a standing task with
 * a bound on unavailable tasks.
 */
const canGoDown = (server: ServerView, isTimedOut: boolean): boolean =>
    server.runs.size === 0
    || (isTimedOut
        && [...server.runs.values()].every(run =>
            run.kind !== TaskKind.Standing || run.step.maxUnavailable === undefined
        ));

/** Returns the time that tasks have to end so that the remaining VMs are maintained within the order's allowed time. */
const emptyingTimeoutMs = (
    { order, orderedAtMs }: MaintenanceRecord,
    openVms: number,
    timeOfDayMs: number,
    maintenanceMs: number,
): number => {
    const remainingMs = orderedAtMs + order.allowedMs - timeOfDayMs;
    const rounds = Math.ceil(openVms / order.maxConcurrent);
    const perRoundMs = remainingMs / rounds - maintenanceMs - RETURN_MARGIN_MS;
    return Math.min(MAX_EMPTYING_TIMEOUT_MS, Math.max(MIN_EMPTYING_TIMEOUT_MS, perRoundMs));
};
