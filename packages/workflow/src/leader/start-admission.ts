import { fitsWithin } from "@waxwingspread/common";
import { countedMillicoresOf } from "../model/specification.js";
import type { Amounts } from "../model/specification.js";
import type { RunView, ServerView } from "./server-view.js";

/**
 * Decides which assigned runs may be started on a server in one answer to a heartbeat. The server's capacity may have
 * shrunk since the runs were assigned, so that not all of them fit any more.
 */
export class StartAdmission {
    readonly #server: ServerView;
    /** Runs that use capacity on the server; undefined if all assigned runs fit. */
    readonly #present: Set<RunView> | undefined;

    /** `mayBePresent` returns whether a run may use capacity on the server, be it at work or being stopped. */
    constructor(server: ServerView, mayBePresent: (run: RunView) => boolean) {
        this.#server = server;
        this.#present = fitsWithin(server.reserved, server.capacity)
            ? undefined
            : new Set([...server.runs.values()].filter(mayBePresent));
    }

    /** Whether a run fits beside those that are or may be present. */
    canAdmit(run: RunView): boolean {
        return this.#present === undefined
            || fitsWithin(totalOf(new Set(this.#present).add(run)), this.#server.capacity);
    }

    /** Counts a run as present. */
    admit(run: RunView): void {
        this.#present?.add(run);
    }
}

const totalOf = (runs: Iterable<RunView>): Amounts => {
    const total = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
    for (const { step } of runs) {
        total.cpuMillicores += countedMillicoresOf(step);
        total.memoryMebibytes += step.amounts.memoryMebibytes;
        total.accelerators += step.amounts.accelerators;
    }
    return total;
};
