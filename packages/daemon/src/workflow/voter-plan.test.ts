import { expect, it } from "vitest";
import { planVoters } from "./voter-plan.js";

// Guards against a number of voters that ignores how many replicas the zones hold (issue 19, cause A).
it.each([
    ["three zones with one replica, one loss", [1, 1, 1], { machines: 1, zones: 1 }, 3, 1],
    ["four zones with one replica, one loss", [1, 1, 1, 1], { machines: 1, zones: 1 }, 3, 1],
    ["five zones with one replica, two losses", [1, 1, 1, 1, 1], { machines: 2, zones: 1 }, 5, 1],
    ["three zones with two replicas, two losses", [2, 2, 2], { machines: 2, zones: 1 }, 5, 2],
    ["three zones with three replicas, three losses", [3, 3, 3], { machines: 3, zones: 1 }, 7, 3],
    ["an uneven distribution", [4, 1, 1], { machines: 1, zones: 1 }, 3, 1],
    ["five zones of which two may be lost", [2, 2, 2, 2, 2], { machines: 1, zones: 2 }, 5, 1],
    ["no tolerated loss", [1, 1, 1], { machines: 0, zones: 0 }, 1, 1],
])("requires the voters that survive the worst loss: %s", (_case, replicas, tolerance, voters, maxVotersPerZone) => {
    expect(planVoters(replicas, tolerance))
        .toEqual({ voters, requiredVoters: voters, maxVotersPerZone, isSufficient: true });
});

// Guards against a shortfall that can't be reported because the plan demands only what exists.
it.each([
    ["one replica in each of three zones, two losses", [1, 1, 1], { machines: 2, zones: 1 }, 3, 5],
    ["four replicas, two losses", [2, 1, 1], { machines: 2, zones: 1 }, 4, 5],
    ["two zones of which one may be lost", [2, 2], { machines: 1, zones: 1 }, 3, 3],
    ["a zone that holds most of the replicas", [4, 1], { machines: 1, zones: 1 }, 3, 3],
    ["no replica", [], { machines: 1, zones: 1 }, 0, 3],
])("plans what the replicas allow and names what is required: %s", (_case, replicas, tolerance, voters, required) => {
    expect(planVoters(replicas, tolerance)).toMatchObject({ voters, requiredVoters: required, isSufficient: false });
});

// Guards against a plan that is called sufficient but loses its majority to a tolerated loss.
it("leaves a majority after each tolerated loss whenever it is sufficient", () => {
    const tolerances = [[1, 0], [1, 1], [2, 1], [3, 1]].map(([machines = 0, zones = 0]) => ({ machines, zones }));
    const fleets = [[1, 1, 1], [2, 2, 2], [3, 1, 1], [3, 3, 3], [2, 2, 1, 1], [2, 2, 2, 2, 2], [4, 4, 1, 1, 1], [5, 2]];
    for (const tolerance of tolerances) {
        for (const replicas of fleets) {
            const { voters, maxVotersPerZone, isSufficient } = planVoters(replicas, tolerance);
            const worstLoss = Math.max(tolerance.machines, tolerance.zones * maxVotersPerZone);
            expect(voters - worstLoss > voters / 2, `${replicas.join()}, ${tolerance.machines}`).toBe(isSufficient);
        }
    }
});
