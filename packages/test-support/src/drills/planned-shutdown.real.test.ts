import { describe, expect, it } from "vitest";
import type { FleetMember } from "../local-fleet/local-fleet.js";
import type { DrillFleet } from "./drill-fleet.js";
import { printFigures, withDrillFleet } from "./drill-fleet.js";
import { epochMs } from "./load.js";
import { verifyJobs } from "./verify.js";

const TIMEOUT_MS = 15_000;
const OUTPUT_CHARACTERS = 2_000;

/** Stops a process gracefully, as a deployment does, and starts it again. Returns the duration of the stop in ms. */
const restartGracefully = async (drillFleet: DrillFleet, member: FleetMember): Promise<number> => {
    const signalledAtMs = epochMs();
    member.process.signal("SIGTERM");
    const exit = await member.process.waitForExit();
    expect(exit, `output of ${member.name}: ${member.process.output.slice(-OUTPUT_CHARACTERS)}`)
        .toEqual({ code: 0, signal: undefined });
    const stopDurationMs = Math.round(epochMs() - signalledAtMs);
    member.restart();
    await drillFleet.fleet.waitForReady(member);
    await drillFleet.waitForNewCompletions(20, TIMEOUT_MS);
    return stopDurationMs;
};

describe("planned shutdown of each role under load", () => {
    // Guards against requests that a deployment interrupts: callers must get an answer or a typed refusal.
    it("exits with code 0 and interrupts no request", () =>
        withDrillFleet({}, async drillFleet => {
            const { fleet, load } = drillFleet;
            await load.waitForCompletions(40, TIMEOUT_MS);
            const leader = await fleet.leader();
            const follower = fleet.controls.find(member => member !== leader) ?? leader;
            const [entry] = fleet.entries;
            expect(entry).toBeDefined();
            const followerMs = await restartGracefully(drillFleet, follower);
            const leaderMs = await restartGracefully(drillFleet, leader);
            const entryMs = entry === undefined ? undefined : await restartGracefully(drillFleet, entry);
            const { violations, figures } = await verifyJobs(drillFleet);
            printFigures("planned-shutdown", {
                followerExitMs: followerMs,
                leaderExitMs: leaderMs,
                entryExitMs: entryMs,
                cutOff: drillFleet.interruptedAttempts.length,
                ...figures,
            });
            expect(drillFleet.interruptedAttempts).toEqual([]);
            expect(violations).toEqual([]);
        }));
});
