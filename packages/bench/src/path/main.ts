import { loadavg } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { readCommitLatency } from "./commit.js";
import { measureConfiguration } from "./configuration.js";
import { DEPLOYMENTS } from "./deployments.js";
import type { Deployment } from "./deployments.js";
import { measureFailover } from "./failover.js";
import { measureLatency, PEAK_STARTS_PER_SECOND } from "./latency.js";
import { measureOverhead } from "./overhead.js";
import { measureRestart } from "./restart.js";
import { Testbed } from "./testbed.js";
import { measureThroughput } from "./throughput.js";

const TIME_LIMIT_MS = 240_000;
const EXIT_FAILURE = 1;

const printLine = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const formatLoadAverage = (): string => `load average ${loadavg()[0]?.toFixed(1)}`;

const flags = yargs(hideBin(process.argv))
    .usage("Measures requests through real processes, with the network delays of each deployment.")
    .option("firm", { type: "string", array: true, describe: "measures only these deployments" })
    .option("phase", { type: "string", array: true, describe: "measures only these phases" })
    .option("entries", { type: "number", default: 3, describe: "number of entry processes" })
    .option("profile-folder", { type: "string", describe: "folder for a CPU profile of each daemon" })
    .strict()
    .parseSync();

const phases = {
    overhead: measureOverhead,
    latency: measureLatency,
    commit: readCommitLatency,
    throughput: measureThroughput,
    configuration: measureConfiguration,
    failover: measureFailover,
} as const;

type PhaseName = keyof typeof phases;

const measureDeployment = async (deployment: Deployment): Promise<Record<string, unknown>> => {
    const testbed = await Testbed.start(deployment, { entries: flags.entries, profileFolder: flags.profileFolder });
    const results: Record<string, unknown> = {};
    try {
        for (const name of Object.keys(phases) as PhaseName[]) {
            if (flags.phase === undefined || flags.phase.includes(name)) {
                const result = await phases[name](testbed);
                printLine(`${deployment.key} ${name}: ${JSON.stringify(result)}; ${formatLoadAverage()}`);
                if (name === "failover" || name === "commit" || name === "configuration") {
                    results[RESULT_KEYS[name]] = result;
                }
                else {
                    Object.assign(results, result);
                }
            }
        }
    }
    finally {
        await testbed.stop();
    }
    return results;
};

const RESULT_KEYS = { failover: "failoverMs", commit: "commitMs", configuration: "configurationInForceMs" } as const;

const main = async (): Promise<void> => {
    const expiry = setTimeout(() => {
        printLine(`not finished within ${TIME_LIMIT_MS} ms; ${formatLoadAverage()}`);
        process.exit(EXIT_FAILURE);
    }, TIME_LIMIT_MS);
    expiry.unref();
    const loadAverageAtStart = loadavg()[0];
    const results: Record<string, unknown> = {};
    for (const deployment of DEPLOYMENTS) {
        if (flags.firm === undefined || flags.firm.includes(deployment.key)) {
            results[deployment.key] = await measureDeployment(deployment);
        }
    }
    if (flags.phase === undefined || flags.phase.includes("restart")) {
        const restartMs = await measureRestart();
        printLine(`restart: ${JSON.stringify(restartMs)}; ${formatLoadAverage()}`);
        Object.values(results).forEach(deployment => Object.assign(deployment as object, { restartMs }));
        results.restartMs = restartMs;
    }
    results.conditions = {
        loadedAtStartsPerSecond: PEAK_STARTS_PER_SECOND,
        entries: flags.entries,
        loadAverageAtStart,
        loadAverageAtEnd: loadavg()[0],
    };
    printLine(JSON.stringify(results));
};

// Exiting also ends the processes of the fleet: each process handle has an exit listener that does so.
process.once("SIGTERM", () => process.exit(EXIT_FAILURE));
process.once("SIGINT", () => process.exit(EXIT_FAILURE));
process.setMaxListeners(0);
await main();
process.exit(0);
