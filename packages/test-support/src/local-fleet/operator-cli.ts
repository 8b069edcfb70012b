import { fileURLToPath } from "node:url";
import type { LocalFleet } from "./local-fleet.js";
import { ManagedProcess } from "./managed-process.js";

const CLI_SCRIPT = fileURLToPath(new URL("../../../cli/dist/main.js", import.meta.url));

/** Runs the operators' CLI against a fleet; returns its output and exit code. */
export const runOperatorCli = async (
    fleet: LocalFleet,
    args: readonly string[],
): Promise<{ code: number; output: string }> => {
    const child = new ManagedProcess("cli", CLI_SCRIPT, args, {
        WAXWINGSPREAD_CONTROL: fleet.controlAddresses.join(","),
        WAXWINGSPREAD_OPERATOR_TOKEN: fleet.operatorToken,
    });
    const exit = await child.waitForExit();
    return { code: exit.code ?? -1, output: child.output };
};
