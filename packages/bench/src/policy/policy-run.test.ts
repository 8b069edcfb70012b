import { SeededRandom } from "@waxwingspread/common";
import { WorkKind } from "@waxwingspread/protocol";
import { expect, test } from "vitest";
import { ARCHIVE_FIRM, FILTER_MAKER } from "./deployments.js";
import { EventQueue } from "./event-queue.js";
import { Machine } from "./machines.js";
import type { MachineTask } from "./machines.js";
import { PolicyRun } from "./policy-run.js";
import type { RunResult } from "./recorder.js";
import { summarize } from "./summary.js";
import { TrueSlowdowns } from "./true-slowdowns.js";
import { VARIANTS } from "./variants.js";
import { generateWorkload } from "./workload.js";

const runOnce = (variant: string, seed: number): RunResult => {
    const random = new SeededRandom(seed);
    const slowdowns = new TrueSlowdowns(ARCHIVE_FIRM, random);
    const workload = generateWorkload(ARCHIVE_FIRM, random);
    const policies = VARIANTS[variant]?.(ARCHIVE_FIRM, slowdowns, seed, {});
    if (policies === undefined) {
        throw new Error(`unknown variant ${variant}`);
    }
    return new PolicyRun(ARCHIVE_FIRM, workload, slowdowns, policies, seed).run();
};

test("runs with the same seed are identical, and every counted request completes", () => {
    const first = runOnce("current", 3);
    expect(runOnce("current", 3)).toEqual(first);
    const random = new SeededRandom(3);
    const slowdowns = new TrueSlowdowns(ARCHIVE_FIRM, random);
    const arrivals = generateWorkload(ARCHIVE_FIRM, random).latencyCriticalArrivals.filter(arrival =>
        arrival.atMs >= 20_000
    );
    expect(slowdowns.variance()).toBe(0);
    expect(first.latenciesMs).toHaveLength(arrivals.length);
    expect(first.batchWork).toBeGreaterThan(0);
});

test("events run in order of time, and events of the same time in order of addition", () => {
    const events = new EventQueue();
    const random = new SeededRandom(1);
    const ran: number[] = [];
    const times = Array.from({ length: 300 }, () => random.nextInteger(0, 40));
    times.forEach((atMs, index) => events.add(atMs, () => ran.push(index)));
    for (let next = events.take(100); next !== undefined; next = events.take(100)) {
        next.action();
    }
    const expected = times.map((unused, index) => index).sort((left, right) =>
        (times[left] ?? 0) - (times[right] ?? 0) || left - right
    );
    expect(ran).toEqual(expected);
});

test("work is counted as run time on an idle VM, slowed down by other tasks, and excludes repeated run time", () => {
    const slowdowns = new TrueSlowdowns(FILTER_MAKER, new SeededRandom(1));
    const machine = new Machine(FILTER_MAKER, slowdowns, new Float64Array(FILTER_MAKER.classes.length).fill(1));
    const classIndex = FILTER_MAKER.classes.findIndex(profile => profile.workKind === WorkKind.BATCH);
    const profile = FILTER_MAKER.classes[classIndex];
    const add = (key: string, repeatedRunMs: number): MachineTask => {
        const added = {
            key,
            classIndex,
            profile: profile ?? FILTER_MAKER.classes[0],
            remainingRunMs: 10_000,
            repeatedRunMs,
            cpuFactor: 1,
            throttled: false,
            frozen: false,
            speed: 1,
            updatedAtMs: 0,
        } as MachineTask;
        machine.tasks.set(key, added);
        return added;
    };
    const resumed = add("a", 1_000);
    machine.updateSpeeds();
    expect(machine.advance(1_500)).toBeCloseTo(500);
    expect(resumed.remainingRunMs).toBeCloseTo(9_500);
    add("b", 0).updatedAtMs = 1_500;
    machine.updateSpeeds();
    expect(resumed.speed).toBeLessThan(1);
    resumed.frozen = true;
    machine.updateSpeeds();
    expect(machine.advance(2_500)).toBeCloseTo(1_000);
});

test("the summary contains means and standard deviations over the seeds", () => {
    const run = (batchWork: number): RunResult => ({
        latenciesMs: [5, 1, 3],
        onTargetRatio: 1,
        batchWork,
        evictions: 2,
        evictionsByCause: { preempted: 2, interference: 0, reclaimed: 0, zone: 0 },
        throttlings: 0,
        zoneWork: 1,
        completedBatchJobs: 1,
    });
    const summary = summarize([run(10), run(30)]);
    expect(summary).toMatchObject({ batchWork: 20, urgentP50Ms: 3, urgentP99Ms: 5, spread: { batchWork: 10 } });
});
