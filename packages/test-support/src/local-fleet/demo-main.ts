import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StandInCaller } from "../stand-in-caller.js";
import type { CallerReply } from "../stand-in-caller.js";
import { createExampleContract } from "./example-contract.js";
import { LocalFleet } from "./local-fleet.js";
import { runOperatorCli } from "./operator-cli.js";

const CUSTOMER = "filter-maker";
const CHECKS = 5;
const TRIALS = 3;
const WAIT_MS = 20_000;
const TRIAL_RUN_MS = 1_500;
const CHECK_RUN_MS = 40;

const printLine = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const describeReply = (reply: CallerReply): string =>
    `${reply.status} via ${reply.entry} in ${reply.elapsedMs.toFixed(0)} ms: ${JSON.stringify(reply.json)}`;

const submitJobs = async (caller: StandInCaller): Promise<boolean> => {
    const watch = await caller.submit("watch-1", { workClass: "watch", payload: { runMs: 0 } });
    printLine(`watch-1 accepted: ${describeReply(watch)}`);
    const trials = Array.from({ length: TRIALS }, (unused, number) =>
        caller.submit(
            `trial-${number + 1}`,
            { workClass: "trial", payload: { runMs: TRIAL_RUN_MS, echo: `slurry ${number + 1}` } },
            WAIT_MS,
        ));
    const checks: CallerReply[] = [];
    for (let number = 1; number <= CHECKS; number += 1) {
        const check = await caller.submit(
            `check-${number}`,
            { workClass: "check", payload: { runMs: CHECK_RUN_MS, echo: `cloth ${number}` } },
            WAIT_MS,
        );
        printLine(`check-${number}: ${describeReply(check)}`);
        checks.push(check);
    }
    const finishedTrials = await Promise.all(trials);
    finishedTrials.forEach((trial, number) => printLine(`trial-${number + 1}: ${describeReply(trial)}`));
    const repeatedReply = await caller.submit(
        "trial-1",
        { workClass: "trial", payload: { runMs: TRIAL_RUN_MS, echo: "slurry 1" } },
        WAIT_MS,
    );
    printLine(`trial-1 sent again, same outcome: ${describeReply(repeatedReply)}`);
    const cancelled = await caller.cancel("watch-1");
    printLine(`watch-1 cancelled: ${describeReply(cancelled)}`);
    return [...checks, ...finishedTrials, repeatedReply].every(reply =>
        (reply.json as { outcome?: string } | undefined)?.outcome === "completed"
    );
};

const run = async (): Promise<boolean> => {
    const dataFolder = await mkdtemp(join(tmpdir(), "waxwingspread-demo-"));
    printLine("starting 3 control replicas, 3 entries and 6 stand-in backend servers in 3 availability zones");
    const fleet = await LocalFleet.start({
        dataFolder,
        availabilityZones: ["presov-a", "kosice-b", "poprad-c"],
        controlReplicas: 3,
        entries: 3,
        backendServers: 6,
    });
    try {
        printLine(`ready; the leader is ${(await fleet.leader()).name}`);
        const { contract, token } = createExampleContract(CUSTOMER);
        const contractFile = join(dataFolder, "contract.json");
        await writeFile(contractFile, JSON.stringify(contract));
        const applied = await runOperatorCli(fleet, ["contract", "apply", contractFile]);
        printLine(`contract apply (exit code ${applied.code}): ${applied.output.trim()}`);
        const caller = new StandInCaller({ entries: fleet.entryAddresses, token });
        const succeeded = await submitJobs(caller);
        for (const command of [["backend-servers"], ["quotas"], ["explain", CUSTOMER, "trial-1"]]) {
            const result = await runOperatorCli(fleet, command);
            printLine(`\n$ waxwingspread ${command.join(" ")}\n${result.output.trimEnd()}`);
        }
        await caller.close();
        return succeeded;
    }
    finally {
        await fleet.stop();
        await fleet.removeData();
        printLine("stopped");
    }
};

const succeeded = await run();
printLine(succeeded ? "all jobs completed" : "some jobs did not complete");
process.exitCode = succeeded ? 0 : 1;
