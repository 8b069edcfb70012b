import { SeededRandom } from "@waxwingspread/common";
import { POLICY_DEFAULTS } from "@waxwingspread/scheduler";
import type { PolicyParameters } from "@waxwingspread/scheduler";
import { isMainThread, parentPort, Worker, workerData } from "node:worker_threads";
import { DECISION_FLEET_SIZES, measureDecisionMicroseconds } from "./decision-cost.js";
import { ARCHIVE_FIRM, FILTER_MAKER } from "./deployments.js";
import type { Deployment } from "./deployments.js";
import { PolicyRun } from "./policy-run.js";
import type { RunResult } from "./recorder.js";
import { formatHeader, formatRow, summarize } from "./summary.js";
import type { VariantSummary } from "./summary.js";
import { TrueSlowdowns } from "./true-slowdowns.js";
import { VARIANTS } from "./variants.js";
import { generateWorkload } from "./workload.js";

const DEFAULT_SEEDS = 10;
const DEPLOYMENTS: readonly Deployment[] = [FILTER_MAKER, ARCHIVE_FIRM];

const readOption = (name: string): string | undefined => {
    const position = process.argv.indexOf(`--${name}`);
    return position < 0 ? undefined : process.argv[position + 1];
};

const printLine = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

/**
 * Parses parameter overrides for experiments, such as
 * `--set placement.batchCostLimit=0.8,cost.urgentWeight=2`.
 */
const parseParameterOverrides = (text: string | undefined): Partial<PolicyParameters> => {
    const parameters = structuredClone(POLICY_DEFAULTS) as unknown as Record<string, unknown>;
    for (const assignment of text?.split(",") ?? []) {
        const [path = "", value] = assignment.split("=");
        const names = path.split(".");
        const last = names.pop() ?? "";
        let target = parameters;
        for (const name of names) {
            target = target[name] as Record<string, unknown>;
        }
        if (typeof target?.[last] !== "number") {
            throw new Error(`unknown policy parameter ${path}`);
        }
        target[last] = Number(value);
    }
    return parameters as Partial<PolicyParameters>;
};

const runVariant = (
    deployment: Deployment,
    variant: string,
    seeds: number,
    parameters: Partial<PolicyParameters>,
): RunResult[] =>
    Array.from({ length: seeds }, (unused, index) => {
        const seed = index + 1;
        // The slowdowns are generated again for each variant, because a run modifies them.
        const random = new SeededRandom(seed);
        const slowdowns = new TrueSlowdowns(deployment, random);
        const workload = generateWorkload(deployment, random);
        const build = VARIANTS[variant];
        if (build === undefined) {
            throw new Error(`unknown variant ${variant}`);
        }
        return new PolicyRun(deployment, workload, slowdowns, build(deployment, slowdowns, seed, parameters), seed)
            .run();
    });

interface DeploymentReport {
    lines: string[];
    summaries: Record<string, VariantSummary>;
}

const readSeedCount = (): number => Number(readOption("seeds") ?? DEFAULT_SEEDS);

const benchmarkDeployment = (deployment: Deployment): DeploymentReport => {
    const parameters = parseParameterOverrides(readOption("set"));
    const seeds = readSeedCount();
    const lines = [
        `${deployment.name}: ${deployment.servers} servers, ${seeds} seeds, mean ± standard deviation over seeds`,
    ];
    lines.push(formatHeader());
    const summaries: Record<string, VariantSummary> = {};
    for (const variant of readOption("variants")?.split(",") ?? Object.keys(VARIANTS)) {
        const summary = summarize(runVariant(deployment, variant, seeds, parameters));
        summaries[variant] = summary;
        lines.push(formatRow(variant, summary));
    }
    return { lines, summaries };
};

/** Runs the simulations of a deployment in a worker thread. */
const benchmarkInWorker = (deployment: Deployment): Promise<DeploymentReport> =>
    new Promise((resolve, reject) => {
        const worker = new Worker(new URL(import.meta.url), {
            workerData: deployment.name,
            argv: process.argv.slice(2),
        });
        worker.once("message", resolve);
        worker.once("error", reject);
    });

const main = async (): Promise<void> => {
    const report: Record<string, unknown> = {};
    const reports = await Promise.all(DEPLOYMENTS.map(benchmarkInWorker));
    DEPLOYMENTS.forEach((deployment, index) => {
        reports[index]?.lines.forEach(printLine);
        report[deployment.name] = reports[index]?.summaries;
    });
    const decisionMicroseconds: Record<string, number> = {};
    if (readOption("variants") === undefined) {
        for (const servers of DECISION_FLEET_SIZES) {
            decisionMicroseconds[String(servers)] = Number(measureDecisionMicroseconds(servers).toFixed(1));
        }
        printLine(`decisionMicroseconds with 10,500 tasks running: ${JSON.stringify(decisionMicroseconds)}`);
    }
    printLine(JSON.stringify({ ...report, decisionMicroseconds }));
};

if (isMainThread) {
    await main();
}
else {
    const deployment = DEPLOYMENTS.find(candidate => candidate.name === workerData);
    if (deployment !== undefined) {
        parentPort?.postMessage(benchmarkDeployment(deployment));
    }
}
