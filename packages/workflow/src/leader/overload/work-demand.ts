import { TaskKind, taskKindOf } from "../../model/specification.js";
import type { JobSpecification } from "../../model/specification.js";
import { DecayedRate } from "./decayed-rate.js";
import { stepWorkCoreSeconds } from "./job-work.js";

/** Time in which a rate follows halfway to a changed load: some durations of a short job, and well below a burst. */
const HALF_LIFE_MS = 4_000;

/** Demand of one priority. */
interface PriorityDemand {
    /** Work of finite tasks that was handed in, in core-seconds. */
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

/** Measures the finite work that callers hand in, by the priority of its queue. */
export class WorkDemand {
    readonly #priorities = new Map<number, PriorityDemand>();

    /** Records a job that runs once, whether it is accepted or not. */
    record({ steps, schedule }: JobSpecification, priority: number, nowMs: number): void {
        const finite = schedule === undefined ? steps.filter(step => taskKindOf(step) === TaskKind.Finite) : [];
        if (finite.length === 0) {
            return;
        }
        const demand = this.#priorities.get(priority)
            ?? { finiteWork: new DecayedRate(HALF_LIFE_MS), finiteTasks: 0, finiteMillicores: 0 };
        this.#priorities.set(priority, demand);
        for (const step of finite) {
            demand.finiteWork.add(stepWorkCoreSeconds(step), nowMs);
            demand.finiteTasks += step.taskCount;
            demand.finiteMillicores += step.taskCount * step.amounts.cpuMillicores;
        }
    }

    /** Returns the need of the finite work of a priority and of higher ones. */
    finiteNeed(lowestPriority: number, nowMs: number): FiniteNeed {
        let cores = 0;
        let tasks = 0;
        let millicores = 0;
        for (const [priority, demand] of this.#priorities) {
            if (priority <= lowestPriority) {
                cores += demand.finiteWork.perSecond(nowMs);
                tasks += demand.finiteTasks;
                millicores += demand.finiteMillicores;
            }
        }
        return { cores, millicoresPerTask: tasks === 0 ? 0 : millicores / tasks };
    }
}
