import { describe, expect, it } from "vitest";
import { waitUntil } from "../local-fleet/wait-until.js";
import { printFigures, withDrillFleet } from "./drill-fleet.js";
import { epochMs } from "./load.js";
import { verifyJobs } from "./verify.js";

const TIMEOUT_MS = 15_000;
/** Shorter than the default of 10 s, so that the drill outlasts every lease in a few seconds. */
const TASK_LEASE_MS = 2_500;
const LEASE_MARGIN_MS = 200;
const CLOCK_RATE_BOUND = 1.01;
const PAUSE_MS = TASK_LEASE_MS * CLOCK_RATE_BOUND + LEASE_MARGIN_MS;

describe("leader paused for longer than every lease, then resumed", () => {
    // Guards against a deposed leader that acts on its outdated decisions after it resumes.
    it("gives every job exactly one outcome and follows the new leader", () =>
        withDrillFleet({
            daemonFlags: { "task-lease-ms": String(TASK_LEASE_MS), "lease-margin-ms": String(LEASE_MARGIN_MS) },
        }, async drillFleet => {
            const { fleet, load } = drillFleet;
            await load.waitForCompletions(40, TIMEOUT_MS);
            const leader = await fleet.leader();
            const pausedAtMs = epochMs();
            leader.process.signal("SIGSTOP");
            const others = fleet.controls.filter(member => member !== leader);
            const startedAtMs = await drillFleet.waitForFirstStartAfter(pausedAtMs);
            // The start of a job submitted this late shows that the pause has outlasted the leases.
            await drillFleet.waitForFirstStartAfter(pausedAtMs + PAUSE_MS);
            const resumedAtMs = epochMs();
            leader.process.signal("SIGCONT");
            await waitUntil("the resumed replica no longer serves", TIMEOUT_MS, async () => {
                const response = await fetch(`http://${leader.operatorsAddress}/leaderz`);
                await response.arrayBuffer();
                return response.status === 200 ? undefined : true;
            });
            const deposedAtMs = epochMs();
            await fleet.waitForReady(leader);
            await drillFleet.waitForNewCompletions(40, TIMEOUT_MS);
            expect(others).toContain(await fleet.leader());
            const { violations, figures } = await verifyJobs(drillFleet);
            printFigures("leader-paused", {
                pauseToNextStartMs: Math.round(startedAtMs - pausedAtMs),
                pausedForMs: Math.round(resumedAtMs - pausedAtMs),
                resumeToDeposedMs: Math.round(deposedAtMs - resumedAtMs),
                ...figures,
            });
            expect(violations).toEqual([]);
        }));
});
