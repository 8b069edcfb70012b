import { countedMillicoresOf, TaskKind } from "../model/specification.js";
import { hasCrashedOn } from "../state/crash-history.js";
import type { CrashRecord } from "../state/crash-history.js";
import type { PressureModel } from "./pressure-model.js";
import type { RunView, ServerView } from "./server-view.js";
import type { WaitingStep } from "./work-queue.js";

/** Share of their reserved CPU that standing tasks are expected to use. */
const STANDING_UTILIZATION_RATIO = 0.55;
/** Share of a filler's CPU need that must be idle, after the needs of other fillers, for it to start. */
const MIN_FILLER_IDLE_RATIO = 0.6;
/** Cost of a rack other than that of the data or of the step's other tasks, in idle cores. */
const REMOTE_RACK_COST = 4;
/** Cost of an increase of the log tail latency by 1, in idle cores. */
const LATENCY_INCREASE_COST = 15;
/** Cost of a server with standing tasks of other images, in addition to that of the pressures that are new there. */
const MIXED_IMAGES_COST = 0.4;
/** Cost of an avoided server; high enough that it gets a standing task only when no other server has capacity. */
const AVOIDED_SERVER_COST = 100;
/** Cost of each run beside a task that may crash its server; high enough that the emptiest server is chosen. */
const NEIGHBOUR_COST = 20;
/** Weight of a server's CPU utilization as a preference: standing tasks are packed so that other servers stay free. */
const PACKING_WEIGHT = 0.1;

/** Cost of a place for a finite task that a standing task takes while such places are scarce; above that of other images. */
const LOST_PLACE_COST = 2;

/** Reasons why a server cannot run a task of a step at present. */
export enum Exclusion {
    /** The server has sent no heartbeat in this term. */
    NotHeardOf = "not-heard-of",
    Draining = "draining",
    Maintenance = "maintenance",
    UntrackedRuns = "untracked-runs",
    OtherService = "other-service",
    Avoided = "avoided",
    /** The server has not started runs that it was ordered to start. */
    FailedStarts = "failed-starts",
    ZoneOutOfService = "zone-out-of-service",
    Label = "label",
    /** Other tasks reserve the CPU capacity or the accelerators. */
    NoRoom = "no-room",
    /** Other tasks, of any kind, take the memory. */
    NoMemory = "no-memory",
    /** The task, or one that has just started on the server, may have crashed another server. */
    CrashSuspect = "crash-suspect",
    TasksPerServer = "tasks-per-server",
    /** The eligibility service has refused the server for the step. */
    NotEligible = "not-eligible",
    /** The eligibility service has not answered yet whether the step may run on the server. */
    ApprovalPending = "approval-pending",
    /** The approval of the server is too old to be used. */
    ApprovalExpired = "approval-expired",
    /** All tasks together are expected to leave too little CPU time idle for a filler. */
    LittleIdleCpu = "little-idle-cpu",
    /** The fillers on the server get clearly less CPU time than their paces allow. */
    Saturated = "saturated",
    /** A filler would raise the tail latency of a standing task on the server above the placement limit. */
    TailLatency = "tail-latency",
}

/** Returns the cost of a task on a server, lower is better; undefined if the task must not start there. */
type CostFunction = (
    waiting: WaitingStep,
    server: ServerView,
    pressure: PressureModel,
    constraints: PlacementConstraints,
    nowMs: number,
) => number | undefined;

/** Returns the CPU cores that all tasks together are expected to leave idle. */
const expectedIdleCores = (server: ServerView): number => {
    const unusedByStanding = server.standingCpuMillicores * (1 - STANDING_UTILIZATION_RATIO);
    return (server.unreservedCpuMillicores + unusedByStanding - server.fillerCpuMillicores) / 1000;
};

/** Whether some task of a kind may fit on a server; false if none does, whatever it needs. */
export const mayRunAny = (kind: TaskKind, server: ServerView): boolean => {
    const { reserved, capacity } = server;
    if (!server.isUsable || reserved.memoryMebibytes > capacity.memoryMebibytes) {
        return false;
    }
    return kind === TaskKind.Filler
        ? expectedIdleCores(server) >= 0 && !server.isSaturated
        : reserved.cpuMillicores <= capacity.cpuMillicores;
};

/** Prefers servers with the most idle cores, since a finite task's reservation leaves less for fillers. */
const costOfFinite: CostFunction = (waiting, server) => -expectedIdleCores(server);

/** Returns how many finite tasks of a size lose their place if a standing task takes its own on a server. */
const lostFinitePlaces = ({ step }: WaitingStep, server: ServerView, scarceTaskMillicores: number): number => {
    const freeMillicores = server.capacity.cpuMillicores - server.reservedByStandingMillicores;
    const placesAt = (millicores: number): number => Math.floor(Math.max(0, millicores) / scarceTaskMillicores);
    return placesAt(freeMillicores) - placesAt(freeMillicores - countedMillicoresOf(step));
};

/**
 * Packs standing tasks together that are sensitive to the same fillers. Where room for finite tasks is scarce, the remainder
 * that a standing task leaves must be of use to them.
 */
const costOfStanding: CostFunction = (waiting, server, pressure, { scarceTaskMillicores }) => {
    const { image } = waiting.step;
    const sameMillicores = server.standingByImage.get(image) ?? 0;
    const isMixed = server.standingCpuMillicores > sameMillicores;
    const otherShare = 1 - sameMillicores / Math.max(1, server.standingCpuMillicores);
    const utilization = server.reserved.cpuMillicores / Math.max(1, server.capacity.cpuMillicores);
    const newShare = pressure.newPressureShare(server, image) ?? otherShare;
    const lostPlaces = scarceTaskMillicores > 0 ? lostFinitePlaces(waiting, server, scarceTaskMillicores) : 0;
    return newShare + (isMixed ? MIXED_IMAGES_COST : 0) - utilization * PACKING_WEIGHT + lostPlaces * LOST_PLACE_COST;
};

/** Returns why a server with room for a filler cannot run it at present; undefined if it can. */
const fillerExclusionOf = (
    { step }: WaitingStep,
    server: ServerView,
    pressure: PressureModel,
    nowMs: number,
): Exclusion | undefined => {
    const { cpuMillicores } = step.amounts;
    if (expectedIdleCores(server) * 1000 < cpuMillicores * MIN_FILLER_IDLE_RATIO) {
        return Exclusion.LittleIdleCpu;
    }
    if (server.isSaturated) {
        return Exclusion.Saturated;
    }
    return pressure.canAddFiller(server, step.image, cpuMillicores, nowMs) ? undefined : Exclusion.TailLatency;
};

/** Prefers servers with many idle cores and with standing tasks that the filler affects little. */
const costOfFiller: CostFunction = (waiting, server, pressure, unused, nowMs) => {
    if (fillerExclusionOf(waiting, server, pressure, nowMs) !== undefined) {
        return undefined;
    }
    const { amounts, image } = waiting.step;
    const increase = pressure.logIncreaseBy(server, image, amounts.cpuMillicores);
    return LATENCY_INCREASE_COST * increase - expectedIdleCores(server);
};

const COST_FUNCTIONS: Readonly<Record<TaskKind, CostFunction>> = {
    [TaskKind.Finite]: costOfFinite,
    [TaskKind.Standing]: costOfStanding,
    [TaskKind.Filler]: costOfFiller,
};

/** Constraints on the choice of a server in addition to its capacity. */
export interface PlacementConstraints {
    service: string;
    zonesOutOfService: ReadonlySet<string>;
    /** Rack of the tasks of the same step that are already placed; empty for none or if the step prefers no rack. */
    rackOfStep: string;
    /** Returns why a server may not be used without a valid approval; undefined itself if no approval is needed. */
    eligibilityExclusionOf: ((server: ServerView) => Exclusion | undefined) | undefined;
    /** Whether the task must not start beside fresh runs, because it may crash its server. */
    isIsolated: boolean;
    /** Size of the finite tasks for which room is scarce; 0 if there is enough. */
    scarceTaskMillicores: number;
    /** Crashes that the task was involved in. Other servers are preferred, as two of them together tell more. */
    crashes: readonly CrashRecord[];
}

/** Returns the server with the lowest cost for a task of the step; undefined if none can run it. */
export const chooseServer = (
    waiting: WaitingStep,
    servers: Iterable<ServerView>,
    constraints: PlacementConstraints,
    pressure: PressureModel,
    nowMs: number,
): ServerView | undefined => {
    let best: ServerView | undefined;
    let bestCost = Infinity;
    for (const server of servers) {
        const isUsable = canRunOn(waiting, server, constraints, nowMs)
            && constraints.eligibilityExclusionOf?.(server) === undefined;
        if (!isUsable) {
            continue;
        }
        const cost = COST_FUNCTIONS[waiting.kind](waiting, server, pressure, constraints, nowMs);
        if (cost === undefined) {
            continue;
        }
        const avoidedCost = server.avoidUntilMs > nowMs ? AVOIDED_SERVER_COST : 0;
        const repeatedCost = hasCrashedOn(constraints.crashes, server.id, server.vmId) ? AVOIDED_SERVER_COST : 0;
        const neighbourCost = constraints.isIsolated ? NEIGHBOUR_COST * server.runs.size : 0;
        const total = cost + avoidedCost + repeatedCost + neighbourCost + rackCost(waiting, server, constraints);
        if (total < bestCost) {
            best = server;
            bestCost = total;
        }
    }
    return best;
};

/** Returns the servers with capacity for a task of the step, regardless of approvals; the most suitable ones first. */
export const serversWithCapacity = (
    waiting: WaitingStep,
    servers: Iterable<ServerView>,
    constraints: PlacementConstraints,
    nowMs: number,
): ServerView[] =>
    [...servers]
        .filter(server => canRunOn(waiting, server, constraints, nowMs))
        .sort((a, b) =>
            rackCost(waiting, a, constraints) - rackCost(waiting, b, constraints)
            || expectedIdleCores(b) - expectedIdleCores(a)
        );

/** Servers that can run a task of a step, and the others by the first reason that excludes them. */
export interface ServerCounts {
    serversWithRoom: number;
    excludedServers: Partial<Record<Exclusion, number>>;
}

/** Counts the servers that can run a task of the step, and the others by reason. */
export const countServers = (
    waiting: WaitingStep,
    servers: Iterable<ServerView>,
    constraints: PlacementConstraints,
    pressure: PressureModel,
    nowMs: number,
): ServerCounts => {
    const counts: ServerCounts = { serversWithRoom: 0, excludedServers: {} };
    for (const server of servers) {
        const exclusion = exclusionOf(waiting, server, constraints, nowMs)
            ?? constraints.eligibilityExclusionOf?.(server)
            ?? (waiting.kind === TaskKind.Filler ? fillerExclusionOf(waiting, server, pressure, nowMs) : undefined);
        if (exclusion === undefined) {
            counts.serversWithRoom += 1;
        }
        else {
            counts.excludedServers[exclusion] = (counts.excludedServers[exclusion] ?? 0) + 1;
        }
    }
    return counts;
};

const canRunOn = (
    waiting: WaitingStep,
    server: ServerView,
    constraints: PlacementConstraints,
    nowMs: number,
): boolean => exclusionOf(waiting, server, constraints, nowMs) === undefined;

/** Returns why a server cannot run a task of the step, regardless of approvals; undefined if it can. */
const exclusionOf = (
    waiting: WaitingStep,
    server: ServerView,
    constraints: PlacementConstraints,
    nowMs: number,
): Exclusion | undefined => {
    const { step } = waiting;
    if (!server.isUsable) {
        return unusableReasonOf(server);
    }
    if (server.service !== constraints.service) {
        return Exclusion.OtherService;
    }
    if (server.excludedUntilMs > nowMs) {
        return Exclusion.FailedStarts;
    }
    if (server.avoidUntilMs > nowMs && waiting.kind !== TaskKind.Standing) {
        return Exclusion.Avoided;
    }
    if (constraints.zonesOutOfService.has(server.availabilityZone)) {
        return Exclusion.ZoneOutOfService;
    }
    if (step.requiredLabel !== "" && !server.labels.includes(step.requiredLabel)) {
        return Exclusion.Label;
    }
    if (!server.fits(step)) {
        return server.fitsBesideMemory(step) ? Exclusion.NoMemory : Exclusion.NoRoom;
    }
    if (!isApart(waiting, server, constraints)) {
        return Exclusion.CrashSuspect;
    }
    if (step.maxTasksPerServer > 0 && countOnServer(waiting, server) >= step.maxTasksPerServer) {
        return Exclusion.TasksPerServer;
    }
    return undefined;
};

const unusableReasonOf = (server: ServerView): Exclusion => {
    if (!server.isConfirmed) {
        return Exclusion.NotHeardOf;
    }
    if (server.isDraining) {
        return Exclusion.Draining;
    }
    return server.isInMaintenance ? Exclusion.Maintenance : Exclusion.UntrackedRuns;
};

/** Whether the task and the fresh runs on a server may be there together; members of one gang may. */
const isApart = (waiting: WaitingStep, server: ServerView, { isIsolated }: PlacementConstraints): boolean =>
    server.freshRuns.every(run => (!isIsolated && !run.isSuspect) || isOfSameGang(waiting, run));

const isOfSameGang = ({ job, occurrence, stepIndex, step }: WaitingStep, { position }: RunView): boolean =>
    step.isGang
    && position.jobId === job.id
    && position.occurrence === occurrence
    && position.step === stepIndex;

const countOnServer = (waiting: WaitingStep, server: ServerView): number =>
    server.countOfStep({
        jobId: waiting.job.id,
        occurrence: waiting.occurrence,
        step: waiting.stepIndex,
        index: 0,
    });

const rackCost = (waiting: WaitingStep, server: ServerView, constraints: PlacementConstraints): number => {
    const { step } = waiting;
    const isFarFromData = step.dataRack !== "" && step.dataRack !== server.rack;
    const isFarFromStep = step.prefersOneRack && constraints.rackOfStep !== ""
        && constraints.rackOfStep !== server.rack;
    return (isFarFromData ? REMOTE_RACK_COST : 0) + (isFarFromStep ? REMOTE_RACK_COST : 0);
};
