import { loadavg } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { readCommit } from "./commit.js";
import { measureConfiguration } from "./configuration.js";
import { DEPLOYMENTS } from "./deployments.js";
import type { Deployment } from "./deployments.js";
import { measureFailover } from "./failover.js";
import { LOAD_STARTS_PER_SECOND, measureLatency } from "./latency.js";
import { measureOverhead } from "./overhead.js";
import { PathFleet } from "./path-fleet.js";
import { measureRestart } from "./restart.js";
import { measureThroughput } from "./throughput.js";

const LIMIT_MS = 240_000;
const EXIT_FAILURE = 1;

const say = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const loadText = (): string => `load average ${loadavg()[0]?.toFixed(1)}`;

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
    commit: readCommit,
    throughput: measureThroughput,
    configuration: measureConfiguration,
    failover: measureFailover,
} as const;

type PhaseName = keyof typeof phases;

const measureDeployment = async (deployment: Deployment): Promise<Record<string, unknown>> => {
    const running = await PathFleet.start(deployment, { entries: flags.entries, profileFolder: flags.profileFolder });
    const results: Record<string, unknown> = {};
    try {
        for (const name of Object.keys(phases) as PhaseName[]) {
            if (flags.phase === undefined || flags.phase.includes(name)) {
                const result = await phases[name](running);
                say(`${deployment.key} ${name}: ${JSON.stringify(result)}; ${loadText()}`);
                if (name === "failover" || name === "commit" || name === "configuration") {
                    results[KEY_BY_PHASE[name]] = result;
                }
                else {
                    Object.assign(results, result);
                }
            }
        }
    }
    finally {
        await running.stop();
    }
    return results;
};

const KEY_BY_PHASE = { failover: "failoverMs", commit: "commitMs", configuration: "configurationInForceMs" } as const;

const main = async (): Promise<void> => {
    const expiry = setTimeout(() => {
        say(`not finished within ${LIMIT_MS} ms; ${loadText()}`);
        process.exit(EXIT_FAILURE);
    }, LIMIT_MS);
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
        say(`restart: ${JSON.stringify(restartMs)}; ${loadText()}`);
        Object.values(results).forEach(deployment => Object.assign(deployment as object, { restartMs }));
        results.restartMs = restartMs;
    }
    results.conditions = {
        loadedAtStartsPerSecond: LOAD_STARTS_PER_SECOND,
        entries: flags.entries,
        loadAverageAtStart,
        loadAverageAtEnd: loadavg()[0],
    };
    say(JSON.stringify(results));
};

// Exiting also ends the processes of the fleet: each process handle has an exit listener that does so.
process.once("SIGTERM", () => process.exit(EXIT_FAILURE));
process.once("SIGINT", () => process.exit(EXIT_FAILURE));
process.setMaxListeners(0);
await main();
process.exit(0);
