import { rm } from "node:fs/promises";
import { describe, expect, it } from "vitest";
import { runOperatorCli } from "../local-fleet/operator-cli.js";
import type { DrillFleet } from "./drill-fleet.js";
import { printFigures, withDrillFleet } from "./drill-fleet.js";
import { epochMs } from "./load.js";
import { verifyJobs } from "./verify.js";

const TIMEOUT_MS = 15_000;

interface Member {
    name: string;
    diskId: string;
    role: string;
}

const runOperatorCommand = async ({ fleet }: DrillFleet, args: string[]): Promise<string> => {
    const { code, output } = await runOperatorCli(fleet, args);
    if (code !== 0) {
        throw new Error(`waxwingspread ${args.join(" ")} exited with code ${code}: ${output}`);
    }
    return output;
};

const membersOf = async (drillFleet: DrillFleet): Promise<Member[]> =>
    (JSON.parse(await runOperatorCommand(drillFleet, ["vms", "--output", "json"])) as { members: Member[] }).members;

describe("data folder of a control replica lost, then a second replica killed", () => {
    // Guards against a repair that counts as complete before the new disk holds every committed entry.
    it("keeps every outcome and every answer", () =>
        withDrillFleet({}, async drillFleet => {
            const { fleet, load } = drillFleet;
            await load.waitForCompletions(40, TIMEOUT_MS);
            const leader = await fleet.leader();
            const lostReplica = fleet.controls.find(member => member !== leader) ?? leader;
            const lostAtMs = epochMs();
            await lostReplica.process.kill();
            await rm(fleet.dataFolderOf(lostReplica), { recursive: true });
            lostReplica.restart();
            const oldMember = (await membersOf(drillFleet)).find(({ name }) => name === lostReplica.name);
            await runOperatorCommand(drillFleet, ["replica", "remove", oldMember?.diskId ?? ""]);
            await runOperatorCommand(drillFleet, ["replica", "add", lostReplica.controlAddress ?? ""]);
            const learner = (await membersOf(drillFleet)).find(({ name }) => name === lostReplica.name);
            expect(learner?.diskId).not.toBe(oldMember?.diskId);
            await runOperatorCommand(drillFleet, [
                "replica",
                "promote",
                learner?.diskId ?? "",
                "--deadline-ms",
                "15000",
            ]);
            const repairedAtMs = epochMs();
            expect((await membersOf(drillFleet)).map(({ role }) => role)).toEqual(["voter", "voter", "voter"]);
            const secondReplica = await fleet.leader();
            const killedAtMs = epochMs();
            await secondReplica.process.kill();
            const startedAtMs = await drillFleet.waitForFirstStartAfter(killedAtMs);
            await drillFleet.waitForNewCompletions(40, TIMEOUT_MS);
            const { violations, figures } = await verifyJobs(drillFleet);
            printFigures("disk-lost", {
                lossToPromotionMs: Math.round(repairedAtMs - lostAtMs),
                secondKillToNextStartMs: Math.round(startedAtMs - killedAtMs),
                ...figures,
            });
            expect(violations).toEqual([]);
        }));
});
