import type { Registry } from "prom-client";
import { BoundedCounter, BoundedDuration, BoundedGauge } from "./bounded.js";
import type { LabelSets } from "./bounded.js";
import { OpenLabelCounter } from "./open-label-counter.js";
import type { OpenLabelCounterOptions } from "./open-label-counter.js";

const PREFIX = "waxwingspread_";

/** Creates metrics in one registry, named by the Prometheus conventions: common prefix, suffix for unit or total. */
export class MetricFactory {
    constructor(readonly registry: Registry) {}

    counter<L extends LabelSets>(name: string, help: string, labels: L): BoundedCounter<L> {
        return new BoundedCounter({ registry: this.registry, name: `${PREFIX}${name}_total`, help, labels });
    }

    openLabelCounter({ name, ...options }: Omit<OpenLabelCounterOptions, "registry">): OpenLabelCounter {
        return new OpenLabelCounter({ ...options, registry: this.registry, name: `${PREFIX}${name}_total` });
    }

    gauge<L extends LabelSets>(name: string, help: string, labels: L): BoundedGauge<L> {
        return new BoundedGauge({ registry: this.registry, name: PREFIX + name, help, labels });
    }

    duration<L extends LabelSets>(
        name: string,
        help: string,
        labels: L,
        bucketsSeconds: readonly number[],
    ): BoundedDuration<L> {
        const metricName = `${PREFIX}${name}_seconds`;
        return new BoundedDuration({ registry: this.registry, name: metricName, help, labels, bucketsSeconds });
    }
}
