/** Weight of all earlier observations after a new one. */
const FORGETTING = 0.9995;
/** Strength of the prior, in squared units of the inputs. */
const PRIOR_STRENGTH = 0.02;
const INTERCEPT_STRENGTH = 0.5;

/**
 * Online ridge regression with a growing number of inputs: output = intercept + sum of weight x input. Weights stay
 * near a prior until observations say otherwise.
 */
export class LinearModel {
    readonly #priorIntercept: number;
    readonly #priorWeight: number;
    /** Moments of the inputs, the intercept first. */
    readonly #moments: number[][] = [[0]];
    readonly #outputs: number[] = [0];
    #weights: number[] | undefined;

    constructor(prior: { intercept: number; weight: number }) {
        this.#priorIntercept = prior.intercept;
        this.#priorWeight = prior.weight;
    }

    /** Adds an input; returns its position. */
    addInput(): number {
        this.#moments.forEach(row => row.push(0));
        this.#moments.push(new Array<number>(this.#moments.length + 1).fill(0));
        this.#outputs.push(0);
        this.#weights = undefined;
        return this.#moments.length - 1;
    }

    /** Learns from one observation; inputs that aren't named are 0. */
    observe(inputs: ReadonlyMap<number, number>, output: number): void {
        const named: [number, number][] = [[0, 1], ...inputs];
        const residual = output - this.#priorOutput(inputs);
        this.#moments.forEach(row => row.forEach((value, column) => {
            row[column] = value * FORGETTING;
        }));
        this.#outputs.forEach((value, position) => {
            this.#outputs[position] = value * FORGETTING;
        });
        for (const [position, value] of named) {
            const row = this.#moments[position] ?? [];
            for (const [column, other] of named) {
                row[column] = (row[column] ?? 0) + value * other;
            }
            this.#outputs[position] = (this.#outputs[position] ?? 0) + value * residual;
        }
        this.#weights = undefined;
    }

    get intercept(): number {
        return this.#priorIntercept + (this.#solved()[0] ?? 0);
    }

    weight(position: number): number {
        return this.#priorWeight + (this.#solved()[position] ?? 0);
    }

    #priorOutput(inputs: ReadonlyMap<number, number>): number {
        let sum = this.#priorIntercept;
        inputs.forEach(value => {
            sum += this.#priorWeight * value;
        });
        return sum;
    }

    #solved(): number[] {
        this.#weights ??= solve(this.#moments.map((row, position) => {
            const strengthened = [...row];
            strengthened[position] = (row[position] ?? 0) + (position === 0 ? INTERCEPT_STRENGTH : PRIOR_STRENGTH);
            return strengthened;
        }), this.#outputs);
        return this.#weights;
    }
}

/** Solves a system with a symmetric, positive definite matrix by Gaussian elimination. */
const solve = (matrix: number[][], right: readonly number[]): number[] => {
    const rows = matrix.map((row, position) => [...row, right[position] ?? 0]);
    const size = rows.length;
    rows.forEach((pivot, column) => {
        for (const row of rows.slice(column + 1)) {
            const factor = (row[column] ?? 0) / (pivot[column] ?? 1);
            for (let index = column; factor !== 0 && index <= size; index += 1) {
                row[index] = (row[index] ?? 0) - factor * (pivot[index] ?? 0);
            }
        }
    });
    const solution = new Array<number>(size).fill(0);
    for (let position = size - 1; position >= 0; position -= 1) {
        const row = rows[position] ?? [];
        let sum = row[size] ?? 0;
        for (let column = position + 1; column < size; column += 1) {
            sum -= (row[column] ?? 0) * (solution[column] ?? 0);
        }
        solution[position] = sum / (row[position] ?? 1);
    }
    return solution;
};
