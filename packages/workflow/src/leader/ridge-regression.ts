/** Factor by which each observation discounts all earlier ones. */
const DISCOUNT_FACTOR = 0.9995;

/** Assumed weight of an input before it is observed. */
export interface Prior {
    weight: number;
    /** Regularization in squared units of the input; equals the effect of that many observations with the input 1. */
    strength: number;
}

/** A learned weight and its standard error; the error is in units of the residuals' standard deviation. */
export interface WeightEstimate {
    weight: number;
    error: number;
}

/**
 * Online ridge regression without an intercept, with a growing number of inputs: output = sum of weight x input.
 * Weights are regularized towards a prior, and earlier observations are discounted exponentially.
 */
export class RidgeRegression {
    readonly #priors: Prior[] = [];
    readonly #moments: number[][] = [];
    readonly #residualMoments: number[] = [];

    /** Adds an input with its prior; returns its position. */
    addInput(prior: Prior): number {
        this.#priors.push(prior);
        this.#moments.forEach(row => row.push(0));
        this.#moments.push(new Array<number>(this.#moments.length + 1).fill(0));
        this.#residualMoments.push(0);
        return this.#moments.length - 1;
    }

    /** Adds one observation; inputs that are not listed are 0. */
    observe(inputs: readonly (readonly [position: number, value: number])[], output: number): void {
        const priorOutput = inputs.reduce((sum, [position, value]) => sum + this.#priorWeight(position) * value, 0);
        this.#discountHistory();
        for (const [position, value] of inputs) {
            const row = this.#moments[position] ?? [];
            for (const [column, other] of inputs) {
                row[column] = (row[column] ?? 0) + value * other;
            }
            this.#residualMoments[position] = (this.#residualMoments[position] ?? 0) + value * (output - priorOutput);
        }
    }

    /** Solves the regression; returns the weights by position. */
    weights(): WeightEstimate[] {
        const inverse = invert(this.#moments.map((row, position) => {
            const regularized = [...row];
            regularized[position] = (row[position] ?? 0) + (this.#priors[position]?.strength ?? 0);
            return regularized;
        }));
        return inverse.map((row, position) => {
            const correction = row.reduce(
                (sum, value, column) => sum + value * (this.#residualMoments[column] ?? 0),
                0,
            );
            return {
                weight: this.#priorWeight(position) + correction,
                error: Math.sqrt(Math.max(0, row[position] ?? 0)),
            };
        });
    }

    #priorWeight(position: number): number {
        return this.#priors[position]?.weight ?? 0;
    }

    #discountHistory(): void {
        for (const row of this.#moments) {
            row.forEach((value, column) => {
                row[column] = value * DISCOUNT_FACTOR;
            });
        }
        this.#residualMoments.forEach((value, position) => {
            this.#residualMoments[position] = value * DISCOUNT_FACTOR;
        });
    }
}

/** Inverts a symmetric, positive definite matrix by Gauss-Jordan elimination. */
const invert = (matrix: readonly (readonly number[])[]): number[][] => {
    const size = matrix.length;
    const rows = matrix.map((row, position) => [...row, ...unitRow(size, position)]);
    rows.forEach((pivotRow, column) => {
        const pivot = pivotRow[column] ?? 1;
        pivotRow.forEach((value, index) => {
            pivotRow[index] = value / pivot;
        });
        for (const row of rows) {
            const factor = row === pivotRow ? 0 : row[column] ?? 0;
            for (let index = 0; factor !== 0 && index < 2 * size; index += 1) {
                row[index] = (row[index] ?? 0) - factor * (pivotRow[index] ?? 0);
            }
        }
    });
    return rows.map(row => row.slice(size));
};

const unitRow = (size: number, position: number): number[] =>
    Array.from({ length: size }, (unused, index) => index === position ? 1 : 0);
