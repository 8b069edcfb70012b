import type { RunResult } from "./recorder.js";

/** Columns of the table, in order; also keys of the JSON output. */
export const COLUMNS = [
    "urgentP50Ms",
    "urgentP99Ms",
    "urgentP999Ms",
    "onTargetRatio",
    "batchWork",
    "evictions",
    "zoneWork",
] as const;

/** Name of a column. */
export type Column = typeof COLUMNS[number];

/** Means over the seeds, with the standard deviation of each column. */
export type VariantSummary = Record<Column, number> & {
    spread: Record<Column, number>;
    throttlings: number;
    evictionsByCause: Record<string, number>;
};

const COLUMN_WIDTH = 16;
const NAME_WIDTH = 14;
const DIGITS: Record<Column, number> = {
    urgentP50Ms: 0,
    urgentP99Ms: 0,
    urgentP999Ms: 0,
    onTargetRatio: 4,
    batchWork: 0,
    evictions: 1,
    zoneWork: 0,
};

const quantile = (sorted: Float64Array, ratio: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(ratio * sorted.length))] ?? 0;

const columnValues = (run: RunResult): Record<Column, number> => {
    const sorted = Float64Array.from(run.latenciesMs).sort();
    return {
        urgentP50Ms: quantile(sorted, 0.5),
        urgentP99Ms: quantile(sorted, 0.99),
        urgentP999Ms: quantile(sorted, 0.999),
        onTargetRatio: run.onTargetRatio,
        batchWork: run.batchWork,
        evictions: run.evictions,
        zoneWork: run.zoneWork,
    };
};

const meanOf = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const standardDeviation = (values: readonly number[]): number => {
    const mean = meanOf(values);
    return Math.sqrt(meanOf(values.map(value => (value - mean) ** 2)));
};

/** Summarizes the runs of one variant over the seeds. */
export const summarize = (runs: readonly RunResult[]): VariantSummary => {
    const rows = runs.map(columnValues);
    const means: Partial<Record<Column, number>> = {};
    const spread: Partial<Record<Column, number>> = {};
    for (const column of COLUMNS) {
        const values = rows.map(row => row[column]);
        means[column] = Number(meanOf(values).toFixed(DIGITS[column]));
        spread[column] = Number(standardDeviation(values).toFixed(DIGITS[column]));
    }
    const evictionsByCause: Record<string, number> = {};
    for (const run of runs) {
        for (const [cause, count] of Object.entries(run.evictionsByCause)) {
            evictionsByCause[cause] = (evictionsByCause[cause] ?? 0) + count / runs.length;
        }
    }
    return {
        ...means as Record<Column, number>,
        spread: spread as Record<Column, number>,
        throttlings: meanOf(runs.map(run => run.throttlings)),
        evictionsByCause,
    };
};

/** Returns the header line of the table. */
export const formatHeader = (): string =>
    "variant".padEnd(NAME_WIDTH) + COLUMNS.map(column => column.padStart(COLUMN_WIDTH)).join("")
    + "  throttlings, evictions by cause";

/** Formats the line of a variant: mean ± standard deviation in each column. */
export const formatRow = (variant: string, summary: VariantSummary): string => {
    const cells = COLUMNS.map(column => {
        const digits = DIGITS[column];
        return `${summary[column].toFixed(digits)} ±${summary.spread[column].toFixed(digits)}`.padStart(COLUMN_WIDTH);
    });
    const causes = Object.entries(summary.evictionsByCause).map(([cause, count]) => `${cause} ${count.toFixed(1)}`);
    return `${variant.padEnd(NAME_WIDTH)}${cells.join("")}  ${summary.throttlings.toFixed(1)}, ${causes.join(", ")}`;
};
