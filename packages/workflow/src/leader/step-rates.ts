import type { StepSpecification } from "../model/specification.js";

/** Upper bound on a measured rate, as a multiple of the mean so far, that enters the mean of a step. */
const MAX_RATE_RATIO = 3;

/** Sum and count of measured rates. */
interface RateSum {
    sum: number;
    count: number;
}

interface ServerRates {
    total: RateSum;
    byServer: Map<string, RateSum>;
}

/** Mean rates at which the tasks of each step progress, in percent per millisecond at full speed, by server. */
export class StepRates {
    readonly #steps = new WeakMap<StepSpecification, ServerRates>();

    record(step: StepSpecification, serverId: string, rate: number): void {
        const rates = this.#steps.get(step) ?? { total: { sum: 0, count: 0 }, byServer: new Map<string, RateSum>() };
        this.#steps.set(step, rates);
        const { total } = rates;
        const bounded = total.count === 0 ? rate : Math.min(rate, (MAX_RATE_RATIO * total.sum) / total.count);
        const own = rates.byServer.get(serverId) ?? { sum: 0, count: 0 };
        rates.byServer.set(serverId, own);
        for (const rateSum of [total, own]) {
            rateSum.sum += bounded;
            rateSum.count += 1;
        }
    }

    /** Returns the mean rate of a step's tasks on all servers but one; undefined if none was measured. */
    meanElsewhere(step: StepSpecification, serverId: string): number | undefined {
        const rates = this.#steps.get(step);
        if (rates === undefined) {
            return undefined;
        }
        const own = rates.byServer.get(serverId) ?? { sum: 0, count: 0 };
        const count = rates.total.count - own.count;
        return count === 0 ? undefined : (rates.total.sum - own.sum) / count;
    }
}
