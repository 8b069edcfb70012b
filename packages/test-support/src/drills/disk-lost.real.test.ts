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

const operate = async ({ fleet }: DrillFleet, args: string[]): Promise<string> => {
    const { code, output } = await runOperatorCli(fleet, args);
    if (code !== 0) {
        throw new Error(`waxwingspread ${args.join(" ")} exited with code ${code}: ${output}`);
    }
    return output;
};

const membersOf = async (drillFleet: DrillFleet): Promise<Member[]> =>
    (JSON.parse(await operate(drillFleet, ["vms", "--output", "json"])) as { members: Member[] }).members;

describe("data folder of a control replica lost, then a second replica killed", () => {
    // Guards against a repair that counts as complete before the new disk holds every committed entry.
    it("keeps every outcome and every answer", () =>
        withDrillFleet({}, async drillFleet => {
            const { fleet, load } = drillFleet;
            await load.completions(40, TIMEOUT_MS);
            const leader = await fleet.leader();
            const lost = fleet.controls.find(member => member !== leader) ?? leader;
            const lostAtMs = epochMs();
            await lost.process.kill();
            await rm(fleet.dataFolderOf(lost), { recursive: true });
            lost.restart();
            const old = (await membersOf(drillFleet)).find(({ name }) => name === lost.name);
            await operate(drillFleet, ["replica", "remove", old?.diskId ?? ""]);
            await operate(drillFleet, ["replica", "add", lost.controlAddress ?? ""]);
            const learner = (await membersOf(drillFleet)).find(({ name }) => name === lost.name);
            expect(learner?.diskId).not.toBe(old?.diskId);
            await operate(drillFleet, ["replica", "promote", learner?.diskId ?? "", "--deadline-ms", "15000"]);
            const repairedAtMs = epochMs();
            expect((await membersOf(drillFleet)).map(({ role }) => role)).toEqual(["voter", "voter", "voter"]);
            const second = await fleet.leader();
            const killedAtMs = epochMs();
            await second.process.kill();
            const startedAtMs = await drillFleet.firstStartAfter(killedAtMs);
            await drillFleet.newCompletions(40, TIMEOUT_MS);
            const { violations, figures } = await verifyJobs(drillFleet);
            printFigures("disk-lost", {
                lossToPromotionMs: Math.round(repairedAtMs - lostAtMs),
                secondKillToNextStartMs: Math.round(startedAtMs - killedAtMs),
                ...figures,
            });
            expect(violations).toEqual([]);
        }));
});
