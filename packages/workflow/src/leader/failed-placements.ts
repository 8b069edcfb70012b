import type { Amounts } from "../model/specification.js";
import type { WaitingStep } from "./work-queue.js";

/**
 * Remembers the steps for which no server was found. The tasks of another step with the same constraints that need at
 * least as much of everything need not be tried.
 */
export class FailedPlacements {
    /** The smallest amounts that failed, by constraints; none of them exceeds another in everything. */
    readonly #minimaByConstraints = new Map<string, Amounts[]>();
    /** Steps with constraints of their own, whose failure says nothing about others. */
    #steps = new WeakSet<WaitingStep>();

    /** Records that no server was found for a step. */
    record(waiting: WaitingStep, constraints: string): void {
        if (hasOwnConstraints(waiting)) {
            this.#steps.add(waiting);
        }
        else if (!this.#includesAmounts(constraints, waiting.step.amounts)) {
            this.#addMinimum(constraints, waiting.step.amounts);
        }
    }

    /** Whether no server was found for this step or for one that needs less. */
    includes(waiting: WaitingStep, constraints: string): boolean {
        return this.#steps.has(waiting) || this.#includesAmounts(constraints, waiting.step.amounts);
    }

    clear(): void {
        this.#minimaByConstraints.clear();
        this.#steps = new WeakSet();
    }

    #includesAmounts(constraints: string, amounts: Amounts): boolean {
        return this.#minimaByConstraints.get(constraints)?.some(minimum => needsAtLeast(amounts, minimum)) === true;
    }

    #addMinimum(constraints: string, amounts: Amounts): void {
        const minima = this.#minimaByConstraints.get(constraints) ?? [];
        const others = minima.filter(minimum => !needsAtLeast(minimum, amounts));
        this.#minimaByConstraints.set(constraints, [...others, amounts]);
    }
}

const hasOwnConstraints = ({ step, job }: WaitingStep): boolean =>
    step.maxTasksPerServer > 0 || step.isGang || job.queue.eligibility !== undefined;

const needsAtLeast = (amounts: Amounts, minimum: Amounts): boolean =>
    amounts.cpuMillicores >= minimum.cpuMillicores
    && amounts.memoryMebibytes >= minimum.memoryMebibytes
    && amounts.accelerators >= minimum.accelerators;
