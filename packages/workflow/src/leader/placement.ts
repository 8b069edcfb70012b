import { TaskKind } from "../model/specification.js";
import type { PairPressure } from "./pair-pressure.js";
import type { ServerView } from "./server-view.js";
import type { WaitingStep } from "./work-queue.js";

/** Share of their reserved processors that standing tasks are expected to use. */
const STANDING_USE_RATIO = 0.55;
/** Share of a filler's processor need that must be left over, beside other fillers, for it to start. */
const FILLER_START_RATIO = 0.6;
/** Cost of a rack other than the data's or the step's own, in cores. */
const OTHER_RACK_COST = 4;
/** Cost of a rise of the logarithm of a tail by 1, in cores that are left over. */
const PRESSURE_COST = 15;
/** Cost of a server with standing tasks of other images, beside that of the pressures that are new there. */
const OTHER_IMAGE_COST = 0.4;
/** A server that is kept free of starts takes a standing task only when no other has room. */
const AVOIDED_COST = 100;
/** Preference for a server that is full already, so that others stay free. */
const FILL_VALUE = 0.1;

type CostFunction = (
    waiting: WaitingStep,
    server: ServerView,
    pressure: PairPressure,
    nowMs: number,
) => number | undefined;

/** Processors that are expected to be left over by all tasks. */
const idleCores = (server: ServerView): number => {
    const unusedByStanding = server.standingCpuMillicores * (1 - STANDING_USE_RATIO);
    return (server.unreservedCpuMillicores + unusedByStanding - server.fillerCpuMillicores) / 1000;
};

/** Fillers get what others leave, so finite tasks go where the most would be left over. */
const costOfFinite: CostFunction = (waiting, server) => -idleCores(server);

/** Standing tasks on which the same fillers press are packed together. */
const costOfStanding: CostFunction = (waiting, server, pressure) => {
    const { image } = waiting.step;
    const sameMillicores = server.standingByImage.get(image) ?? 0;
    const isMixed = server.standingCpuMillicores > sameMillicores;
    const otherShare = 1 - sameMillicores / Math.max(1, server.standingCpuMillicores);
    const fill = server.reserved.cpuMillicores / Math.max(1, server.capacity.cpuMillicores);
    const newShare = pressure.newShare(server, image) ?? otherShare;
    return newShare + (isMixed ? OTHER_IMAGE_COST : 0) - fill * FILL_VALUE;
};

const costOfFiller: CostFunction = (waiting, server, pressure, nowMs) => {
    const { amounts, image } = waiting.step;
    const idle = idleCores(server);
    if (idle * 1000 < amounts.cpuMillicores * FILLER_START_RATIO || server.isSaturated) {
        return undefined;
    }
    if (!pressure.bears(server, image, amounts.cpuMillicores, nowMs)) {
        return undefined;
    }
    return PRESSURE_COST * pressure.riseBy(server, image, amounts.cpuMillicores) - idle;
};

const COSTS: Readonly<Record<TaskKind, CostFunction>> = {
    [TaskKind.Finite]: costOfFinite,
    [TaskKind.Standing]: costOfStanding,
    [TaskKind.Filler]: costOfFiller,
};

/** What limits the choice of a server beside its room. */
export interface PlacementLimits {
    service: string;
    zonesOutOfService: ReadonlySet<string>;
    /** Rack of the tasks of the same step that already have a server; empty for none. */
    rackOfStep: string;
    /** Whether the step may run on a server; undefined where any server will do. */
    isEligible: ((server: ServerView) => boolean) | undefined;
}

/** Returns the server on which a task of the step costs least; undefined when none can take it. */
export const chooseServer = (
    waiting: WaitingStep,
    servers: Iterable<ServerView>,
    limits: PlacementLimits,
    pressure: PairPressure,
    nowMs: number,
): ServerView | undefined => {
    let best: ServerView | undefined;
    let bestCost = Infinity;
    for (const server of servers) {
        if (!isAllowed(waiting, server, limits, nowMs) || limits.isEligible?.(server) === false) {
            continue;
        }
        const cost = COSTS[waiting.kind](waiting, server, pressure, nowMs);
        if (cost === undefined) {
            continue;
        }
        const avoidedCost = server.avoidUntilMs > nowMs ? AVOIDED_COST : 0;
        const total = cost + avoidedCost + rackCost(waiting, server, limits);
        if (total < bestCost) {
            best = server;
            bestCost = total;
        }
    }
    return best;
};

/** Returns the servers that could take a task of the step now, whether or not the step may run on them. */
export const serversWithRoom = (
    waiting: WaitingStep,
    servers: Iterable<ServerView>,
    limits: PlacementLimits,
    nowMs: number,
): ServerView[] =>
    [...servers]
        .filter(server => isAllowed(waiting, server, limits, nowMs))
        .sort((a, b) => rackCost(waiting, a, limits) - rackCost(waiting, b, limits) || idleCores(b) - idleCores(a));

const isAllowed = (waiting: WaitingStep, server: ServerView, limits: PlacementLimits, nowMs: number): boolean => {
    const { step } = waiting;
    return server.isUsable
        && server.service === limits.service
        && (server.avoidUntilMs <= nowMs || waiting.kind === TaskKind.Standing)
        && !limits.zonesOutOfService.has(server.availabilityZone)
        && (step.requiredLabel === "" || server.labels.includes(step.requiredLabel))
        && server.fits(step)
        && (step.maxTasksPerServer === 0 || countOnServer(waiting, server) < step.maxTasksPerServer);
};

const countOnServer = (waiting: WaitingStep, server: ServerView): number =>
    server.countOfStep({
        jobId: waiting.job.id,
        occurrence: waiting.occurrence,
        step: waiting.stepIndex,
        index: 0,
    });

const rackCost = (waiting: WaitingStep, server: ServerView, limits: PlacementLimits): number => {
    const { step } = waiting;
    const isFarFromData = step.dataRack !== "" && step.dataRack !== server.rack;
    const isFarFromStep = step.prefersOneRack && limits.rackOfStep !== "" && limits.rackOfStep !== server.rack;
    return (isFarFromData ? OTHER_RACK_COST : 0) + (isFarFromStep ? OTHER_RACK_COST : 0);
};
