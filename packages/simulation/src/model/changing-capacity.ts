import type { Amounts } from "@waxwingspread/workflow";
import type { ServerRun } from "./server-run.js";

interface CapacityChange {
    amounts: Amounts;
    atMs: number;
}

/** Capacity of a simulated server, which shrinks and grows. */
export class ChangingCapacity {
    /** All changes so far, the latest one last. */
    readonly #changes: CapacityChange[];

    constructor(initial: Amounts) {
        this.#changes = [{ amounts: initial, atMs: -Infinity }];
    }

    get current(): Amounts {
        return this.#changes.at(-1)?.amounts ?? { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
    }

    change(amounts: Amounts, nowMs: number): void {
        this.#changes.push({ amounts, atMs: nowMs });
    }

    /** Returns the largest amounts that have been in effect at or after the given time. */
    largestSince(sinceMs: number): Amounts {
        const inEffect = this.#changes.filter((unused, index) =>
            (this.#changes[index + 1]?.atMs ?? Infinity) >= sinceMs
        );
        const largestOf = (select: (amounts: Amounts) => number): number =>
            Math.max(...inEffect.map(({ amounts }) => select(amounts)));
        return {
            cpuMillicores: largestOf(({ cpuMillicores }) => cpuMillicores),
            memoryMebibytes: largestOf(({ memoryMebibytes }) => memoryMebibytes),
            accelerators: largestOf(({ accelerators }) => accelerators),
        };
    }
}

/** Whether the runs, including those that are being stopped, fit together into a server's capacity. */
export const isWithinCapacity = (runs: Iterable<ServerRun>, capacity: Amounts): boolean => {
    let cpuMillicores = 0;
    let memoryMebibytes = 0;
    for (const { step } of runs) {
        cpuMillicores += step.isFiller ? 0 : step.amounts.cpuMillicores;
        memoryMebibytes += step.amounts.memoryMebibytes;
    }
    return cpuMillicores <= capacity.cpuMillicores && memoryMebibytes <= capacity.memoryMebibytes;
};
