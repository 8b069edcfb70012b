import { expect, test } from "vitest";
import { ReservationEstimator } from "./reservation-estimator.js";
import { resources } from "./testing.js";

test("reserves the quantile of the observed usage, with a floor and at most a backend server's capacity", () => {
    const estimator = new ReservationEstimator(() => resources(16_000, 60_000));
    const declared = resources(8_000, 8_000, 1);
    expect(estimator.reserve("class", declared)).toEqual(declared);
    for (let count = 0; count < 200; count += 1) {
        estimator.observe("class", resources(count % 10 === 0 ? 4_000 : 2_000, 500));
    }
    const reserved = estimator.reserve("class", declared);
    expect(reserved.cpuMillicores).toBeGreaterThanOrEqual(4_000);
    expect(reserved.cpuMillicores).toBeLessThan(5_000);
    expect(reserved.memoryMebibytes).toBe(2_000);
    expect(reserved.accelerators).toBe(1);
    for (let count = 0; count < 600; count += 1) {
        estimator.observe("class", resources(40_000, 500));
    }
    expect(estimator.reserve("class", declared).cpuMillicores).toBe(16_000);
    expect(estimator.reserve("class", resources(90_000)).cpuMillicores).toBe(16_000);
    expect(estimator.reserve("other", resources(90_000)).cpuMillicores).toBe(90_000);
});

test("observed run times gradually replace a wrong declared run time", () => {
    const estimator = new ReservationEstimator(() => undefined);
    expect(estimator.expectedRunTimeMs("class", 9_000)).toBe(9_000);
    for (let count = 0; count < 60; count += 1) {
        estimator.observeRunTime("class", 1_000);
    }
    expect(estimator.expectedRunTimeMs("class", 9_000)).toBeLessThan(1_500);
    expect(estimator.expectedRunTimeMs("class", 0)).toBe(1_000);
});
