import { execFile } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { expect, it } from "vitest";
import { createExampleContract } from "./example-contract.js";
import { LocalFleet } from "./local-fleet.js";
import { runOperatorCli } from "./operator-cli.js";

const run = promisify(execFile);
const DOCUMENT = new URL("../../../../docs/api.md", import.meta.url);
/** Nothing listens on the discard port, and the traffic stays on this machine. */
const UNUSED_ADDRESS = "127.0.0.1:9";
const EXAMPLE_ADDRESS = "10.0.9.7:8000";

const commandsOf = (markdown: string): string[] =>
    [...markdown.matchAll(/```sh\n(.*?)```/gs)]
        .map(match => (match[1] ?? "").replaceAll(EXAMPLE_ADDRESS, UNUSED_ADDRESS))
        .filter(command => !command.startsWith("ENTRY="));

// Guards against a documented command that the deployed interface refuses.
it("docs/api.md: every command is accepted by a running fleet", async () => {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspread-api-"));
    const fleet = await LocalFleet.start({
        dataFolder: folder,
        availabilityZones: ["zone-a", "zone-b", "zone-c"],
        controlReplicas: 3,
        entries: 1,
        backendServers: 2,
    });
    try {
        const { contract, token } = createExampleContract("filter-maker");
        await writeFile(join(folder, "contract.json"), JSON.stringify(contract));
        const applied = await runOperatorCli(fleet, ["contract", "apply", join(folder, "contract.json")]);
        expect(applied.code).toBe(0);
        const environment = { ...process.env, ENTRY: `http://${fleet.entryAddresses[0]}`, TOKEN: token };
        const commands = commandsOf(await readFile(DOCUMENT, "utf8"));
        expect(commands.length).toBeGreaterThanOrEqual(7);
        for (const command of commands) {
            const { stdout } = await run("bash", ["-c", `set -e\n${command}`], { cwd: folder, env: environment });
            expect(stdout, command).not.toContain("\"error\":{");
        }
    }
    finally {
        await fleet.kill();
        await rm(folder, { recursive: true, force: true });
    }
});
