import type { Amounts } from "../model/specification.js";
import type { WaitingStep } from "./work-queue.js";

/** The smallest amounts for which no server was found, and a step that needs them. */
interface FailedAmounts {
    amounts: Amounts;
    waiting: WaitingStep;
}

/**
 * Remembers the steps for which no server was found. The tasks of another step with the same constraints that need at
 * least as much of everything need not be tried.
 */
export class FailedPlacements {
    /** The smallest amounts that failed, by constraints; none of them exceeds another in everything. */
    readonly #minimaByConstraints = new Map<string, FailedAmounts[]>();
    /** Steps with constraints of their own, whose failure says nothing about others. */
    #steps = new WeakSet<WaitingStep>();

    /** Records that no server was found for a step. */
    record(waiting: WaitingStep, constraints: string): void {
        if (hasOwnConstraints(waiting)) {
            this.#steps.add(waiting);
        }
        else if (!this.#includesAmounts(constraints, waiting.step.amounts)) {
            this.#addMinimum(constraints, waiting);
        }
    }

    /** Whether no server was found for this step or for one that needs less. */
    includes(waiting: WaitingStep, constraints: string): boolean {
        return this.#steps.has(waiting) || this.#includesAmounts(constraints, waiting.step.amounts);
    }

    /** Forgets the failure of a step with constraints of its own. */
    forget(waiting: WaitingStep): void {
        this.#steps.delete(waiting);
    }

    /** Forgets the amounts for which a server is found now, given one of the steps that need them. */
    recheck(isFound: (waiting: WaitingStep, constraints: string) => boolean): void {
        for (const [constraints, minima] of this.#minimaByConstraints) {
            const remaining = minima.filter(({ waiting }) => !isFound(waiting, constraints));
            if (remaining.length > 0) {
                this.#minimaByConstraints.set(constraints, remaining);
            }
            else {
                this.#minimaByConstraints.delete(constraints);
            }
        }
    }

    clear(): void {
        this.#minimaByConstraints.clear();
        this.#steps = new WeakSet();
    }

    #includesAmounts(constraints: string, needed: Amounts): boolean {
        const minima = this.#minimaByConstraints.get(constraints) ?? [];
        return minima.some(({ amounts }) => needsAtLeast(needed, amounts));
    }

    #addMinimum(constraints: string, waiting: WaitingStep): void {
        const { amounts } = waiting.step;
        const minima = this.#minimaByConstraints.get(constraints) ?? [];
        const others = minima.filter(minimum => !needsAtLeast(minimum.amounts, amounts));
        this.#minimaByConstraints.set(constraints, [...others, { amounts, waiting }]);
    }
}

const hasOwnConstraints = ({ step }: WaitingStep): boolean => step.maxTasksPerServer > 0 || step.isGang;

const needsAtLeast = (amounts: Amounts, minimum: Amounts): boolean =>
    amounts.cpuMillicores >= minimum.cpuMillicores
    && amounts.memoryMebibytes >= minimum.memoryMebibytes
    && amounts.accelerators >= minimum.accelerators;
