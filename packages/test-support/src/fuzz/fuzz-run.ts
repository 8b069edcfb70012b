import * as fc from "fast-check";
import { anyCommand } from "./commands.js";
import { Fleet } from "./fleet.js";
import { initialModel } from "./fuzz-command.js";
import { checkLiveness } from "./liveness.js";
import { Violation } from "./oracle.js";

const MAX_COMMANDS = 70;
const SHRINK_TIMEOUT_MS = 60_000;

/** Counters of a run, summed over all traces if it was shrunk, and its failure with the trace. `steps` are commands. */
export interface RunReport {
    steps: number;
    events: number;
    virtualMs: number;
    failure: string | undefined;
}

/** Returns a violation's message; other errors were thrown by the product, so their stack is needed. */
const describeError = (cause: unknown): string => {
    if (cause instanceof Violation) {
        return cause.message;
    }
    return cause instanceof Error ? cause.stack ?? cause.message : String(cause);
};

/** Runs one seed. With `shrink`, a failure is followed by a search for a shorter trace that also fails. */
export const runSeed = async (seed: number, shrink: boolean): Promise<RunReport> => {
    const report: RunReport = { steps: 0, events: 0, virtualMs: 0, failure: undefined };
    let trace: string[] = [];
    const commands = fc.noBias(fc.commands([anyCommand], { maxCommands: MAX_COMMANDS, size: "max" }));
    const property = fc.asyncProperty(commands, async sequence => {
        const fleet = new Fleet(seed);
        const startedAtMs = fleet.simulation.nowMs;
        try {
            await fleet.start();
            await fc.asyncModelRun(() => ({ model: initialModel(), real: fleet }), sequence);
            await checkLiveness(fleet);
        }
        catch (error) {
            trace = fleet.trace;
            throw error;
        }
        finally {
            report.steps += fleet.trace.length;
            report.events += fleet.simulation.events;
            report.virtualMs += fleet.simulation.nowMs - startedAtMs;
        }
    });
    const details = await fc.check(property, {
        seed,
        numRuns: 1,
        endOnFailure: !shrink,
        interruptAfterTimeLimit: SHRINK_TIMEOUT_MS,
        markInterruptAsFailure: false,
    });
    if (details.failed) {
        const cause = details.errorInstance;
        report.failure = [describeError(cause), ...trace].join("\n  ");
    }
    return report;
};
