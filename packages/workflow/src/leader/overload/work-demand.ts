import type { QueueContract } from "../../model/configuration.js";
import { TaskKind, taskKindOf } from "../../model/specification.js";
import type { JobSpecification } from "../../model/specification.js";
import { DecayedRate } from "./decayed-rate.js";
import { stepWorkCoreSeconds } from "./job-work.js";

/** Time in which a rate follows halfway to a changed load: some durations of a short job, and well below a burst. */
const HALF_LIFE_MS = 4_000;

/** The part of a queue's contract that tells who competes for the same room. */
export type Competition = Pick<QueueContract, "service" | "priority">;

/** Demand of the queues of one service and one priority. */
interface Demand extends Competition {
    /** Work of accepted finite tasks, in core-seconds. */
    finiteWork: DecayedRate;
    /** Number of those tasks, and the sum of their CPU needs in millicores. */
    finiteTasks: number;
    finiteMillicores: number;
}

/** Need of the finite tasks of some priorities. */
export interface FiniteNeed {
    /** Cores that are busy on average if all of the work is done as it comes. */
    cores: number;
    /** Mean need of one task; 0 if none is known. */
    millicoresPerTask: number;
}

/** Measures the finite work that is accepted, by service and by the priority of its queue. */
export class WorkDemand {
    readonly #demands = new Map<string, Demand>();

    /** Records an accepted job; those that run more than once are left out. */
    record({ steps, schedule }: JobSpecification, { service, priority }: Competition, nowMs: number): void {
        const finite = schedule === undefined ? steps.filter(step => taskKindOf(step) === TaskKind.Finite) : [];
        if (finite.length === 0) {
            return;
        }
        const key = competitionKeyOf({ service, priority });
        const demand = this.#demands.get(key)
            ?? { service, priority, finiteWork: new DecayedRate(HALF_LIFE_MS), finiteTasks: 0, finiteMillicores: 0 };
        this.#demands.set(key, demand);
        for (const step of finite) {
            demand.finiteWork.add(stepWorkCoreSeconds(step), nowMs);
            demand.finiteTasks += step.taskCount;
            demand.finiteMillicores += step.taskCount * step.amounts.cpuMillicores;
        }
    }

    /** Returns the need of the finite work of a service, of a priority and of higher ones. */
    finiteNeed({ service, priority }: Competition, nowMs: number): FiniteNeed {
        let cores = 0;
        let tasks = 0;
        let millicores = 0;
        for (const demand of this.#demands.values()) {
            if (demand.service === service && demand.priority <= priority) {
                cores += demand.finiteWork.perSecond(nowMs);
                tasks += demand.finiteTasks;
                millicores += demand.finiteMillicores;
            }
        }
        return { cores, millicoresPerTask: tasks === 0 ? 0 : millicores / tasks };
    }
}

/** Returns the key of the queues that compete with the same rights for the same room. */
export const competitionKeyOf = ({ service, priority }: Competition): string => `${priority} ${service}`;
