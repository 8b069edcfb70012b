import type { FaultTolerance } from "@waxwingspread/daemon/workflow";
import { planVoters } from "@waxwingspread/daemon/workflow";
import { expect, it } from "vitest";
import { causeRandomLoss } from "./disk-losses.js";
import { RecoverySimulation } from "./recovery-simulation.js";

const SEEDS = Number(process.env.RECOVERY_SEEDS ?? 7);
const FIRST_SEED = Number(process.env.RECOVERY_FIRST_SEED ?? 1);
const LOSSES = Number(process.env.RECOVERY_LOSSES ?? 4);
const MAX_ZONES = 7;
/** Time after which a machine that has started no longer counts as lost; the shortest that deployments have. */
const CATCH_UP_MS = 4_000;
const FORMATION_MS = 6_000;

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Returns the smallest number of machines in each zone whose replicas survive the tolerated losses. */
const machinesPerZone = (zones: number, tolerance: FaultTolerance): number[] => {
    for (let machines = 1;; machines += 1) {
        const perZone = new Array<number>(zones).fill(machines);
        if (planVoters(perZone, tolerance).isSufficient && sumOf(perZone) > 2 * tolerance.machines) {
            return perZone;
        }
    }
};

const runScenario = async (seed: number): Promise<string[]> => {
    const zones = 1 + seed % MAX_ZONES;
    const tolerance = { machines: 1 + seed % 2, zones: zones < 3 ? 0 : 1 };
    const simulation = new RecoverySimulation({
        seed,
        requirements: { tolerance, catchUpMs: CATCH_UP_MS },
        machinesPerZone: machinesPerZone(zones, tolerance),
    });
    const history: string[] = [];
    await simulation.start();
    await simulation.run(FORMATION_MS);
    for (let loss = 0; loss <= LOSSES; loss += 1) {
        const shortfalls = simulation.findShortfalls();
        if (shortfalls.length > 0) {
            return [`${zones} zones, ${JSON.stringify(tolerance)}`, ...history, ...shortfalls];
        }
        const atMs = simulation.cluster.nowMs;
        const { description, outageMs } = await causeRandomLoss(simulation, tolerance.machines);
        history.push(`${atMs}: ${description}`);
        await simulation.run(outageMs + CATCH_UP_MS);
    }
    return [];
};

// Guards against the loss of what was acknowledged, and against a quorum that does not come back, when the tolerated
// number of disks is lost again and again as soon as the machines have had their time to catch up (issue 19).
it.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))(
    "survives a series of lost disks, lost power and replaced machines with seed %i",
    async seed => {
        expect(await runScenario(seed)).toEqual([]);
    },
);
