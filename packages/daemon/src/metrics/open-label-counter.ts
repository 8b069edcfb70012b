import { Counter } from "prom-client";
import type { Registry } from "prom-client";
import { OTHER_LABEL } from "./bounded.js";

/** Construction parameters of an {@link OpenLabelCounter}. */
export interface OpenLabelCounterOptions {
    registry: Registry;
    name: string;
    help: string;
    /** Label with a closed set of values. */
    closedLabel: string;
    closedValues: readonly string[];
    /** Label whose values are not known in advance. */
    openLabel: string;
    /** Values of the open label that get series of their own; all others share one. */
    maxOpenValues: number;
}

/** Counter with a label whose values come from a configuration. The first ones that occur get series of their own. */
export class OpenLabelCounter {
    readonly #options: OpenLabelCounterOptions;
    readonly #counter: Counter;
    readonly #openValues = new Set<string>();

    constructor(options: OpenLabelCounterOptions) {
        const { registry, name, help, closedLabel, openLabel } = options;
        this.#options = options;
        this.#counter = new Counter({ name, help, labelNames: [closedLabel, openLabel], registers: [registry] });
    }

    add(closedValue: string, openValue: string): void {
        const { closedLabel, closedValues, openLabel } = this.#options;
        this.#counter.inc({
            [closedLabel]: closedValues.includes(closedValue) ? closedValue : OTHER_LABEL,
            [openLabel]: this.#labelOf(openValue),
        });
    }

    #labelOf(openValue: string): string {
        if (this.#openValues.size < this.#options.maxOpenValues) {
            this.#openValues.add(openValue);
        }
        return this.#openValues.has(openValue) ? openValue : OTHER_LABEL;
    }
}
