import { writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runExperiment } from "./experiment.js";
import type { ExperimentResult } from "./experiment.js";
import { plotFinishes } from "./plot.js";
import { formatTable, summarize } from "./report.js";
import { Disruption, ScenarioFactory } from "./scenario.js";

const options = await yargs(hideBin(process.argv))
    .scriptName("experiment")
    .usage("$0 [options]\n\nPlays drawn workloads on a simulated deployment and reports finish times and findings.")
    .option("seeds", { type: "number", default: 20, describe: "number of scenarios" })
    .option("first", { type: "number", default: 1, describe: "seed of the first one" })
    .option("disruption", {
        choices: Object.values(Disruption),
        default: Disruption.None,
        describe: "what disrupts each scenario half way",
    })
    .option("json", { type: "string", describe: "file for the results" })
    .option("svg", { type: "string", describe: "file for the plot" })
    .strict()
    .parse();

const results: ExperimentResult[] = [];
for (let seed = options.first; seed < options.first + options.seeds; seed += 1) {
    const result = runExperiment(new ScenarioFactory(seed, options.disruption).create());
    results.push(result);
    const { servers, jobs, spanMs, starts, findingCount, findings, durationMs } = result;
    process.stdout.write(
        `seed ${seed}: ${servers} servers, ${jobs} jobs, ${starts} starts in ${Math.round(spanMs / 1_000)} s, `
            + `${findingCount} findings (${Math.round(durationMs)} ms)\n`,
    );
    findings.forEach(finding => process.stdout.write(`    ${finding}\n`));
}
process.stdout.write(`\n${formatTable(summarize(results))}\n`);
if (options.json !== undefined) {
    writeFileSync(options.json, `${JSON.stringify({ summary: summarize(results), results }, undefined, 1)}\n`);
}
if (options.svg !== undefined) {
    writeFileSync(options.svg, await plotFinishes(results));
}
process.exitCode = results.some(({ findingCount }) => findingCount > 0) ? 1 : 0;
