import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createExampleContract } from "../local-fleet/example-contract.js";
import { LocalFleet } from "../local-fleet/local-fleet.js";
import type { FleetRoute } from "../local-fleet/local-fleet.js";
import { runOperatorCli } from "../local-fleet/operator-cli.js";
import { waitUntil } from "../local-fleet/wait-until.js";
import { StandInCaller } from "../stand-in-caller.js";
import type { CallerAttempt } from "../stand-in-caller.js";
import type { Observations } from "../stand-in/observations.js";
import { DrillLoad, epochMs } from "./load.js";
import type { DrillJob } from "./load.js";

const CUSTOMER = "filter-maker";
const ZONES = ["presov-a", "kosice-b", "poprad-c"];
const CALLERS = 12;
const RETRY_DELAY_MS = 20;
const START_TIMEOUT_MS = 15_000;

/** Settings in which a drill deviates from the default fleet. */
export interface DrillFleetOptions {
    daemonFlags?: Record<string, string>;
    route?: FleetRoute;
}

/** Three control replicas, three entries and three backend servers under load. */
export class DrillFleet {
    /** Attempts of callers that got no complete reply, except those whose connection was refused. */
    readonly interruptedAttempts: CallerAttempt[] = [];
    readonly load: DrillLoad;
    readonly caller: StandInCaller;

    private constructor(readonly fleet: LocalFleet, token: string) {
        this.caller = new StandInCaller({
            entries: fleet.entryAddresses,
            token,
            retryDelayMs: RETRY_DELAY_MS,
            onAttempt: attempt => {
                if (attempt.failure !== undefined && attempt.failure !== "ECONNREFUSED") {
                    this.interruptedAttempts.push(attempt);
                }
            },
        });
        this.load = new DrillLoad(this.caller, CALLERS);
    }

    /** Starts the processes, applies a contract and starts the load. */
    static async start(options: DrillFleetOptions = {}): Promise<DrillFleet> {
        const dataFolder = await mkdtemp(join(tmpdir(), "waxwingspread-drill-"));
        const fleet = await LocalFleet.start({
            dataFolder,
            availabilityZones: ZONES,
            controlReplicas: 3,
            entries: 3,
            backendServers: 3,
            ...options,
        });
        const { contract, token } = createExampleContract(CUSTOMER);
        const contractFile = join(dataFolder, "contract.json");
        await writeFile(contractFile, JSON.stringify(contract));
        const applied = await runOperatorCli(fleet, ["contract", "apply", contractFile]);
        if (applied.code !== 0) {
            await fleet.kill();
            throw new Error(`failed to apply the contract: ${applied.output}`);
        }
        return new DrillFleet(fleet, token);
    }

    /** Returns the observations of all stand-ins. */
    async observations(): Promise<Observations[]> {
        return Promise.all(this.fleet.backendServers.map(async ({ backendServerAddress }) => {
            const response = await fetch(`http://${backendServerAddress}/stand-in/observations`);
            return await response.json() as Observations;
        }));
    }

    /** Waits until a job first submitted after the given time has started; returns the time of the first such start. */
    async waitForFirstStartAfter(sinceMs: number): Promise<number> {
        return waitUntil("a newly submitted job starts", START_TIMEOUT_MS, async () => {
            const requestIds = new Set(this.#submittedSince(sinceMs).map(job => job.requestId));
            const starts = (await this.observations())
                .flatMap(({ segments }) => segments)
                .filter(segment => requestIds.has(segment.requestId))
                .map(segment => segment.startedAtMs);
            return starts.length === 0 ? undefined : Math.min(...starts);
        });
    }

    /** Waits for `count` completions of jobs that are first submitted from now on. */
    async waitForNewCompletions(count: number, timeoutMs: number): Promise<void> {
        const nowMs = epochMs();
        await this.load.waitForCompletions(count, timeoutMs, job => job.submittedAtMs >= nowMs);
    }

    /** Stops the load, kills the processes and removes their data. */
    async end(): Promise<void> {
        await this.load.stop();
        await this.caller.close();
        await this.fleet.kill();
        await this.fleet.removeData();
    }

    #submittedSince(sinceMs: number): DrillJob[] {
        return this.load.jobs.filter(job => job.submittedAtMs >= sinceMs);
    }
}

/** Runs a drill and ends the fleet, whether the drill passes or fails. */
export const withDrillFleet = async (
    options: DrillFleetOptions,
    drill: (drillFleet: DrillFleet) => Promise<void>,
): Promise<void> => {
    const drillFleet = await DrillFleet.start(options);
    try {
        await drill(drillFleet);
    }
    finally {
        await drillFleet.end();
    }
};

/** Prints the figures of a drill as one line. */
export const printFigures = (drill: string, figures: Record<string, unknown>): void => {
    process.stdout.write(`drill ${drill}: ${JSON.stringify(figures)}\n`);
};
