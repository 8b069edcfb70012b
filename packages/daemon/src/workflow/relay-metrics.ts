import { Registry } from "prom-client";
import { MetricFactory } from "../metrics/metric-factory.js";

/** Outcomes of a request to a control relay. */
export enum RelayOutcome {
    Redirected = "redirected",
    NoLeader = "no-leader",
}

/** Metrics of a control relay. */
export class RelayMetrics {
    readonly registry = new Registry();
    readonly #factory = new MetricFactory(this.registry);
    readonly #requests = this.#factory.counter("relay_requests", "Requests to a control relay, by outcome", {
        outcome: Object.values(RelayOutcome),
    });

    /** Counts a request by its outcome. */
    recordRequest(outcome: RelayOutcome): void {
        this.#requests.add({ outcome });
    }
}
