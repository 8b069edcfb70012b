import { TaskKind } from "../model/specification.js";
import type { PressureTable } from "../state/events.js";
import { TaskPhase } from "../state/occurrence-records.js";
import { maxTailRatio } from "./pressure-model.js";
import type { PressureModel } from "./pressure-model.js";
import type { ServerView } from "./server-view.js";
import type { WorkQueue } from "./work-queue.js";

/** Utilization of the backend servers at one time. */
export interface Utilization {
    servers: number;
    serversWithStanding: number;
    capacityCores: number;
    standingCores: number;
    finiteCores: number;
    /** CPU need of the assigned fillers. */
    fillerCores: number;
    /** Measured CPU usage of the fillers. */
    fillerUsedCores: number;
    /** CPU need of the fillers on servers with measured standing tasks. */
    fillerBesideStandingCores: number;
    meanFillerPacePercent: number;
    waitingTasks: Record<TaskKind, number>;
    standingTasks: number;
    standingTasksOverTarget: number;
    /** Pressures by standing image, then by filler image. */
    pressures: PressureTable;
}

/** Aggregates the utilization of all servers. */
export const utilizationOf = (
    servers: Iterable<ServerView>,
    queue: WorkQueue,
    pressure: PressureModel,
): Utilization => {
    const total = emptyUtilization();
    let paceSum = 0;
    let fillers = 0;
    for (const server of servers) {
        total.servers += 1;
        total.serversWithStanding += server.standingCpuMillicores > 0 ? 1 : 0;
        total.capacityCores += server.capacity.cpuMillicores / 1000;
        total.standingCores += server.standingCpuMillicores / 1000;
        total.finiteCores += (server.reserved.cpuMillicores - server.standingCpuMillicores) / 1000;
        total.fillerCores += server.fillerCpuMillicores / 1000;
        total.fillerBesideStandingCores += maxTailRatio(server) === undefined
            ? 0
            : server.fillerCpuMillicores / 1000;
        for (const run of server.runs.values()) {
            if (run.kind === TaskKind.Filler) {
                fillers += 1;
                paceSum += run.pacePercent;
                total.fillerUsedCores += (run.measurement ?? 0) / 1000;
            }
            else if (run.kind === TaskKind.Standing && run.measurement !== undefined) {
                total.standingTasks += 1;
                total.standingTasksOverTarget += run.measurement > run.step.targetTailMs ? 1 : 0;
            }
        }
    }
    total.meanFillerPacePercent = fillers === 0 ? 100 : paceSum / fillers;
    for (const waiting of queue.steps) {
        const { tasks } = waiting.record;
        total.waitingTasks[waiting.kind] += tasks.filter(task => task.phase === TaskPhase.Waiting).length;
    }
    total.pressures = pressure.toTable();
    return total;
};

const emptyUtilization = (): Utilization => ({
    servers: 0,
    serversWithStanding: 0,
    capacityCores: 0,
    standingCores: 0,
    finiteCores: 0,
    fillerCores: 0,
    fillerUsedCores: 0,
    fillerBesideStandingCores: 0,
    meanFillerPacePercent: 100,
    waitingTasks: { [TaskKind.Finite]: 0, [TaskKind.Standing]: 0, [TaskKind.Filler]: 0 },
    standingTasks: 0,
    standingTasksOverTarget: 0,
    pressures: {},
});
