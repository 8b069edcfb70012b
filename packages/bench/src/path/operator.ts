import { ExitCode, runCli } from "@waxwingspread/cli";
import type { LocalFleet } from "@waxwingspread/test-support";
import { randomBytes } from "node:crypto";
import { readFile, writeFile } from "node:fs/promises";
import { epochMs, pause } from "./callers.js";

/** Runs a command of the operators' CLI in this process and returns its output; throws if the command fails. */
const runOperatorCommand = async (fleet: LocalFleet, args: string[]): Promise<string> => {
    let output = "";
    const appendOutput = (text: string): void => {
        output += text;
    };
    const environment = {
        WAXWINGSPREAD_CONTROL: fleet.controlAddresses.join(","),
        WAXWINGSPREAD_OPERATOR_TOKEN: fleet.operatorToken,
    };
    const code = await runCli(args, {
        environment,
        writeOut: appendOutput,
        writeError: appendOutput,
        readFile: path => readFile(path, "utf8"),
        writeFile: (path, text) => writeFile(path, text),
        nowMs: epochMs,
        sleep: pause,
        randomBytes,
    });
    if (code !== ExitCode.Ok) {
        throw new Error(`${args.join(" ")} failed with exit code ${code}: ${output}`);
    }
    return output;
};

/** Applies the contract in a file through the operators' CLI. */
export const applyContract = (fleet: LocalFleet, file: string): Promise<string> =>
    runOperatorCommand(fleet, ["contract", "apply", file]);

/** Returns the number of backend servers that the leader has registered. */
export const countBackendServers = async (fleet: LocalFleet): Promise<number> => {
    const output = await runOperatorCommand(fleet, ["backend-servers", "--output", "json"]);
    return (output.match(/"backendServerId"/g) ?? []).length;
};
