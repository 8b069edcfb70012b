import { Counter, Gauge, Histogram } from "prom-client";
import type { Registry } from "prom-client";

/** Label value that replaces every value outside the closed set of a label. */
export const OTHER_LABEL = "other";

/**
 * Allowed values of each label. All series are created at startup with the value 0, so that rates are right from the
 * first event.
 */
export type LabelSets = Readonly<Record<string, readonly string[]>>;
/** One value for each label of a metric. */
export type LabelsOf<L extends LabelSets> = { readonly [K in keyof L]: string };

interface MetricOptions<L extends LabelSets> {
    readonly registry: Registry;
    readonly name: string;
    readonly help: string;
    readonly labels: L;
}

const labelCombinations = (labels: LabelSets): Record<string, string>[] =>
    Object.entries(labels).reduce<Record<string, string>[]>(
        (rows, [label, values]) => rows.flatMap(row => values.map(value => ({ ...row, [label]: value }))),
        [{}],
    );

const toAllowedValues = (labels: LabelSets, given: Readonly<Record<string, string>>): Record<string, string> =>
    Object.fromEntries(
        Object.entries(labels).map(([label, values]) => {
            const value = given[label] ?? OTHER_LABEL;
            return [label, values.includes(value) ? value : OTHER_LABEL];
        }),
    );

/** Counter whose label values come from closed sets, so that input from callers cannot create new time series. */
export class BoundedCounter<L extends LabelSets> {
    readonly #labels: L;
    readonly #counter: Counter;

    constructor({ registry, name, help, labels }: MetricOptions<L>) {
        this.#labels = labels;
        this.#counter = new Counter({ name, help, labelNames: Object.keys(labels), registers: [registry] });
        labelCombinations(labels).forEach(row => this.#counter.inc(row, 0));
    }

    add(labels: LabelsOf<L>, amount = 1): void {
        this.#counter.inc(toAllowedValues(this.#labels, labels), amount);
    }
}

/** Gauge whose label values come from closed sets. */
export class BoundedGauge<L extends LabelSets> {
    readonly #labels: L;
    readonly #gauge: Gauge;

    constructor({ registry, name, help, labels }: MetricOptions<L>) {
        this.#labels = labels;
        this.#gauge = new Gauge({ name, help, labelNames: Object.keys(labels), registers: [registry] });
        labelCombinations(labels).forEach(row => this.#gauge.set(row, 0));
    }

    set(labels: LabelsOf<L>, value: number): void {
        this.#gauge.set(toAllowedValues(this.#labels, labels), value);
    }
}

interface DurationOptions<L extends LabelSets> extends MetricOptions<L> {
    /** Upper bounds of the buckets, in seconds. */
    readonly bucketsSeconds: readonly number[];
}

/** Duration histogram whose label values come from closed sets. Observed in milliseconds, exposed in seconds. */
export class BoundedDuration<L extends LabelSets> {
    readonly #labels: L;
    readonly #histogram: Histogram;

    constructor({ registry, name, help, labels, bucketsSeconds }: DurationOptions<L>) {
        this.#labels = labels;
        this.#histogram = new Histogram({
            name,
            help,
            labelNames: Object.keys(labels),
            registers: [registry],
            buckets: [...bucketsSeconds],
        });
        labelCombinations(labels).forEach(row => this.#histogram.zero(row));
    }

    observeMs(labels: LabelsOf<L>, durationMs: number): void {
        this.#histogram.observe(toAllowedValues(this.#labels, labels), durationMs / MS_PER_SECOND);
    }
}

const MS_PER_SECOND = 1_000;
