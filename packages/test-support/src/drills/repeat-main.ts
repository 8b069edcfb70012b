import { spawn } from "node:child_process";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { loadavg, tmpdir } from "node:os";
import { basename, join } from "node:path";
import { fileURLToPath } from "node:url";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const VITEST = join(ROOT, "node_modules/vitest/vitest.mjs");
const DRILL_SUFFIX = ".real.test.ts";

interface TestFileResult {
    name: string;
    status: string;
    message: string;
    assertionResults: { failureMessages: string[] }[];
}

interface Tally {
    passes: number;
    failures: number;
}

const printLine = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

/** Runs the drills once, prints the lines with their figures, and returns Vitest's results. */
const runOnce = async (fileNamePrefix: string, reportFile: string): Promise<TestFileResult[]> => {
    const folder = join("packages/test-support/src/drills", fileNamePrefix);
    const args = [VITEST, "run", "--project", "drills", folder, "--reporter=default", "--reporter=json"];
    const child = spawn(process.execPath, [...args, `--outputFile.json=${reportFile}`], {
        cwd: ROOT,
        stdio: ["ignore", "pipe", "inherit"],
    });
    child.stdout.on("data", chunk => {
        String(chunk).split("\n").filter(line => line.startsWith("drill ")).forEach(printLine);
    });
    await new Promise(resolve => child.once("exit", resolve));
    const report = JSON.parse(await readFile(reportFile, "utf8")) as { testResults: TestFileResult[] };
    return report.testResults;
};

const failureOf = ({ message, assertionResults }: TestFileResult): string =>
    [message, ...assertionResults.flatMap(result => result.failureMessages)].filter(text => text !== "").join("\n");

const main = async (): Promise<void> => {
    const flags = yargs(hideBin(process.argv))
        .usage("Repeats the drills and counts passes and failures of each.")
        .option("repeat", { type: "number", default: 1, describe: "number of times to run the drills" })
        .option("only", { type: "string", default: "", describe: "prefix of the file names of the drills to run" })
        .strict()
        .parseSync();
    const folder = await mkdtemp(join(tmpdir(), "waxwingspread-drills-"));
    const tallies = new Map<string, Tally>();
    for (let round = 1; round <= flags.repeat; round += 1) {
        const startedAtMs = performance.now();
        const results = await runOnce(flags.only, join(folder, "report.json"));
        for (const result of results) {
            const drill = basename(result.name, DRILL_SUFFIX);
            const tally = tallies.get(drill) ?? { passes: 0, failures: 0 };
            const hasPassed = result.status === "passed";
            tallies.set(drill, {
                passes: tally.passes + (hasPassed ? 1 : 0),
                failures: tally.failures + (hasPassed ? 0 : 1),
            });
            if (!hasPassed) {
                printLine(`${drill} failed: ${failureOf(result)}`);
            }
        }
        const seconds = Math.round((performance.now() - startedAtMs) / 1_000);
        printLine(`round ${round} of ${flags.repeat} took ${seconds} s; load average ${loadavg()[0]?.toFixed(1)}`);
    }
    await rm(folder, { recursive: true });
    printLine(JSON.stringify(Object.fromEntries(tallies)));
    process.exitCode = [...tallies.values()].some(({ failures }) => failures > 0) ? 1 : 0;
};

await main();
