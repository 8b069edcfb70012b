import { expect, it } from "vitest";
import { fillerStepOf, jobOf, standingStepOf, stepOf } from "../../testing/fixtures.js";
import { WorkDemand } from "./work-demand.js";

/** 20 core-seconds in tasks of 2 cores. */
const FINITE = jobOf(
    "finite",
    stepOf({ taskCount: 10, amounts: { cpuMillicores: 2_000, memoryMebibytes: 1, accelerators: 0 } }),
);

const recordEachSecond = (demand: WorkDemand, priority: number, fromMs: number, toMs: number): void => {
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 1_000) {
        demand.record(FINITE, { service: "pool", priority }, nowMs);
    }
};

// Guards against room that is kept for less important work or for work of other servers, or not for more important work.
it("counts the finite work of a service, of a priority and of higher ones", () => {
    const demand = new WorkDemand();
    recordEachSecond(demand, 1, 0, 60_000);
    expect(demand.finiteNeed({ service: "pool", priority: 0 }, 60_000)).toEqual({ cores: 0, millicoresPerTask: 0 });
    expect(demand.finiteNeed({ service: "pool", priority: 1 }, 60_000).cores).toBeCloseTo(18.3, 0);
    expect(demand.finiteNeed({ service: "pool", priority: 2 }, 60_000).millicoresPerTask).toBe(2_000);
    expect(demand.finiteNeed({ service: "other", priority: 2 }, 60_000).cores).toBe(0);
});

// Load: a burst of finite work, and its end. Guards against a need that stays high when the burst is over, so that standing
// jobs are refused while servers stand free.
it("follows the load within seconds", () => {
    const demand = new WorkDemand();
    recordEachSecond(demand, 0, 0, 30_000);
    const beforeCores = demand.finiteNeed({ service: "pool", priority: 0 }, 30_000).cores;
    recordEachSecond(demand, 0, 30_000, 34_000);
    recordEachSecond(demand, 0, 30_000, 34_000);
    expect(demand.finiteNeed({ service: "pool", priority: 0 }, 34_000).cores).toBeGreaterThan(1.4 * beforeCores);
    expect(demand.finiteNeed({ service: "pool", priority: 0 }, 54_000).cores).toBeLessThan(0.1 * beforeCores);
});

// Guards against a first job that counts as a flood of them.
it("spreads the first work over some seconds", () => {
    const demand = new WorkDemand();
    demand.record(FINITE, { service: "pool", priority: 0 }, 1_000);
    expect(demand.finiteNeed({ service: "pool", priority: 0 }, 1_000).cores).toBeLessThan(13);
});

// Guards against room that is kept for work that reserves no processors or stays for long.
it("leaves out standing tasks and fillers", () => {
    const demand = new WorkDemand();
    demand.record(jobOf("others", standingStepOf({ taskCount: 50 }), fillerStepOf({ taskCount: 50 })), {
        service: "pool",
        priority: 0,
    }, 0);
    expect(demand.finiteNeed({ service: "pool", priority: 0 }, 0).cores).toBe(0);
});
