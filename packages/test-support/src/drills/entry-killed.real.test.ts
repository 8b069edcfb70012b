import { describe, expect, it } from "vitest";
import { printFigures, withDrillFleet } from "./drill-fleet.js";
import { epochMs } from "./load.js";
import { verifyJobs } from "./verify.js";

const TIMEOUT_MS = 15_000;

describe("entry killed under load", () => {
    // Guards against the loss of starts, results and answers that only the killed entry knew of.
    it("gives every job exactly one outcome through the other entries", () =>
        withDrillFleet({}, async drillFleet => {
            const { fleet, load } = drillFleet;
            await load.waitForCompletions(40, TIMEOUT_MS);
            const [entry] = fleet.entries;
            expect(entry).toBeDefined();
            const killedAtMs = epochMs();
            await entry?.process.kill();
            const inProgress = load.jobs.filter(job => job.reply === undefined);
            const inProgressCompletions = load.waitForCompletions(inProgress.length, TIMEOUT_MS, job =>
                inProgress.includes(job));
            const startedAtMs = await drillFleet.waitForFirstStartAfter(killedAtMs);
            await inProgressCompletions;
            const recoveredAtMs = epochMs();
            entry?.restart();
            if (entry !== undefined) {
                await fleet.waitForReady(entry);
            }
            await drillFleet.waitForNewCompletions(40, TIMEOUT_MS);
            const { violations, figures } = await verifyJobs(drillFleet);
            printFigures("entry-killed", {
                killToNextStartMs: Math.round(startedAtMs - killedAtMs),
                killToLastAnswerOfJobsInProgressMs: Math.round(recoveredAtMs - killedAtMs),
                jobsInProgress: inProgress.length,
                ...figures,
            });
            expect(violations).toEqual([]);
        }));
});
