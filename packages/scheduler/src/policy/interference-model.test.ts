import { SeededRandom } from "@waxwingspread/common";
import { expect, test } from "vitest";
import { InterferenceModel, predictSlowdown } from "./interference-model.js";
import type { NeighbourLoad } from "./interference-model.js";

const TRUE_SLOWDOWNS: Record<string, number> = { quiet: 0.02, middle: 0.15, loud: 0.5 };
const CLASSES = Object.keys(TRUE_SLOWDOWNS);

const learnRandomSample = (
    model: InterferenceModel,
    random: SeededRandom,
    slowdowns: Record<string, number>,
    nowMs: number,
) => {
    const neighbours: NeighbourLoad[] = Array.from({ length: random.nextInteger(0, 7) }, () => ({
        classKey: random.pick(CLASSES),
        load: 1,
    }));
    const slowdown = neighbours.reduce((sum, neighbour) => sum + (slowdowns[neighbour.classKey] ?? 0), 1);
    model.learn("check", neighbours, 1 / (slowdown * (1 + 0.1 * (random.nextRatio() - 0.5))), nowMs);
};

test("estimates the contribution of each neighbour class although only their sums are measured", () => {
    for (const seed of [1, 2, 3, 4, 5]) {
        const model = new InterferenceModel();
        const random = new SeededRandom(seed);
        for (let count = 0; count < 600; count += 1) {
            learnRandomSample(model, random, TRUE_SLOWDOWNS, count * 100);
        }
        for (const neighbour of CLASSES) {
            const expected = TRUE_SLOWDOWNS[neighbour] ?? 0;
            expect(Math.abs(model.coefficient("check", neighbour, 60_000) - expected)).toBeLessThan(0.05);
        }
    }
});

test("a pair without samples has the prior mean and a higher uncertainty than a measured pair", () => {
    const model = new InterferenceModel();
    const neighbour = [{ classKey: "loud", load: 1 }];
    const before = predictSlowdown(model, "check", neighbour, 0);
    for (let count = 0; count < 50; count += 1) {
        model.learn("check", neighbour, 1 / 1.5, count);
    }
    const after = predictSlowdown(model, "check", neighbour, 50);
    expect(before.mean).toBeCloseTo(1.06);
    expect(after.mean).toBeGreaterThan(1.4);
    expect(after.uncertainty).toBeLessThan(before.uncertainty / 3);
    const forgotten = predictSlowdown(model, "check", neighbour, 100 * 600_000);
    expect(forgotten.mean).toBeLessThan(1.08);
    expect(forgotten.uncertainty).toBeCloseTo(before.uncertainty);
});

test("follows a drift of the true slowdowns within a minute of measurements", () => {
    const model = new InterferenceModel();
    const random = new SeededRandom(7);
    for (let count = 0; count < 2_000; count += 1) {
        learnRandomSample(model, random, TRUE_SLOWDOWNS, count * 100);
    }
    const drifted = { ...TRUE_SLOWDOWNS, quiet: 0.4 };
    for (let count = 2_000; count < 2_600; count += 1) {
        learnRandomSample(model, random, drifted, count * 100);
    }
    expect(model.coefficient("check", "quiet", 260_000)).toBeGreaterThan(0.25);
});

test("a sample of a stalled task does not make a coefficient infinite", () => {
    const model = new InterferenceModel();
    model.learn("check", [{ classKey: "loud", load: 1 }], 1e-9, 0);
    expect(model.coefficient("check", "loud", 0)).toBeLessThan(8);
});
