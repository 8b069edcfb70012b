import { describe, expect, it } from "vitest";
import { printFigures, withDrillFleet } from "./drill-fleet.js";
import { epochMs } from "./load.js";
import { verifyJobs } from "./verify.js";

const TIMEOUT_MS = 15_000;

describe("leader killed under load", () => {
    // Guards against decisions that are lost after they were acknowledged, made twice, or never made after a failover.
    it("gives every job exactly one outcome", () =>
        withDrillFleet({}, async drillFleet => {
            const { fleet, load } = drillFleet;
            await load.waitForCompletions(40, TIMEOUT_MS);
            const leader = await fleet.leader();
            const killedAtMs = epochMs();
            await leader.process.kill();
            const startedAtMs = await drillFleet.waitForFirstStartAfter(killedAtMs);
            await drillFleet.waitForNewCompletions(40, TIMEOUT_MS);
            leader.restart();
            await fleet.waitForReady(leader);
            await drillFleet.waitForNewCompletions(20, TIMEOUT_MS);
            const { violations, figures } = await verifyJobs(drillFleet);
            printFigures("leader-killed", { killToNextStartMs: Math.round(startedAtMs - killedAtMs), ...figures });
            expect(violations).toEqual([]);
        }));
});
