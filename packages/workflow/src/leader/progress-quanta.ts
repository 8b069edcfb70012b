import type { StepSpecification } from "../model/specification.js";

/** Images whose quanta are kept; beyond it, the one that was added first is evicted. */
const MAX_IMAGES = 1_000;
/** Quantum of progress that is reported in fractions of a percent. */
const FRACTIONAL_QUANTUM_PERCENT = 1;

/**
 * Learns the quanta in which tasks report their progress, as the greatest common divisor of what they have reported. Tasks
 * with the same image behave alike; those without an image are alike only within their step.
 */
export class ProgressQuanta {
    readonly #byImage = new Map<string, number>();
    readonly #byStep = new WeakMap<StepSpecification, number>();

    /** Takes a reported progress into account. */
    observe(step: StepSpecification, progressPercent: number): void {
        const quantumPercent = this.of(step);
        const isKnown = quantumPercent !== undefined && progressPercent % quantumPercent === 0;
        if (progressPercent <= 0 || isKnown) {
            return;
        }
        const updatedPercent = Number.isInteger(progressPercent)
            ? greatestCommonDivisor(progressPercent, quantumPercent ?? 0)
            : FRACTIONAL_QUANTUM_PERCENT;
        this.#set(step, updatedPercent);
    }

    /** Returns the quantum in percent; undefined if no such task has reported progress. */
    of(step: StepSpecification): number | undefined {
        return step.image === "" ? this.#byStep.get(step) : this.#byImage.get(step.image);
    }

    #set(step: StepSpecification, quantumPercent: number): void {
        if (step.image === "") {
            this.#byStep.set(step, quantumPercent);
            return;
        }
        this.#byImage.set(step.image, quantumPercent);
        const [oldest = ""] = this.#byImage.keys();
        if (this.#byImage.size > MAX_IMAGES) {
            this.#byImage.delete(oldest);
        }
    }
}

const greatestCommonDivisor = (a: number, b: number): number => b === 0 ? a : greatestCommonDivisor(b, a % b);
