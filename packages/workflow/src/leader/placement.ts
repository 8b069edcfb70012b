import { TaskKind } from "../model/specification.js";
import { HEAVY_PRESSURE } from "./image-pressure.js";
import type { ImagePressure } from "./image-pressure.js";
import type { ServerView } from "./server-view.js";
import type { WaitingStep } from "./work-queue.js";

/** Share of a server's processors that standing tasks may take while others have room. */
const STANDING_SHARE = 0.8;
/** Share of a filler's processor need that must be free, beside other fillers, for it to start. */
const FILLER_START_RATIO = 0.6;
/** Cost of a rack other than the data's or the step's own. */
const OTHER_RACK_COST = 4;
/** Cost of a standing task's company for a filler whose image presses. */
const HEAVY_COMPANY_COST = 20;
const STANDING_COMPANY_COST = 1;

type CostFunction = (waiting: WaitingStep, server: ServerView, pressure: ImagePressure) => number | undefined;

/** Processors that neither reservations nor fillers take. */
const idleCores = (server: ServerView): number => (server.unreservedCpuMillicores - server.fillerCpuMillicores) / 1000;

/** Fillers get what others leave, so finite tasks go where the most would be left over. */
const costOfFinite: CostFunction = (waiting, server) => -idleCores(server);

/** Standing tasks are packed, so that other servers stay free of them for the fillers that press. */
const costOfStanding: CostFunction = (waiting, server) => {
    const after = server.standingCpuMillicores + waiting.step.amounts.cpuMillicores;
    const share = after / Math.max(1, server.capacity.cpuMillicores);
    return share <= STANDING_SHARE ? -share : 1 + share;
};

const costOfFiller: CostFunction = (waiting, server, pressure) => {
    const idle = idleCores(server);
    if (idle * 1000 < waiting.step.amounts.cpuMillicores * FILLER_START_RATIO) {
        return undefined;
    }
    if (server.standingCpuMillicores === 0) {
        return -idle;
    }
    const isHeavy = pressure.of(waiting.step.image) >= HEAVY_PRESSURE;
    return (isHeavy ? HEAVY_COMPANY_COST : STANDING_COMPANY_COST) - idle;
};

const COSTS: { [Kind in TaskKind]: CostFunction } = {
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
}

/** Returns the server on which a task of the step costs least; undefined when none can take it. */
export const chooseServer = (
    waiting: WaitingStep,
    servers: Iterable<ServerView>,
    limits: PlacementLimits,
    pressure: ImagePressure,
    nowMs: number,
): ServerView | undefined => {
    let best: ServerView | undefined;
    let bestCost = Infinity;
    for (const server of servers) {
        if (!isAllowed(waiting, server, limits, nowMs)) {
            continue;
        }
        const cost = COSTS[waiting.kind](waiting, server, pressure);
        if (cost === undefined) {
            continue;
        }
        const total = cost + rackCost(waiting, server, limits);
        if (total < bestCost) {
            best = server;
            bestCost = total;
        }
    }
    return best;
};

const isAllowed = (waiting: WaitingStep, server: ServerView, limits: PlacementLimits, nowMs: number): boolean => {
    const { step } = waiting;
    return server.isUsable
        && server.service === limits.service
        && server.avoidUntilMs <= nowMs
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
