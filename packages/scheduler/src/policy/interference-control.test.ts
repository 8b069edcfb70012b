import { SeededRandom } from "@waxwingspread/common";
import { WorkKind } from "@waxwingspread/protocol";
import { expect, test } from "vitest";
import { createPolicies } from "./create-policies.js";
import { MITIGATOR_DEFAULTS } from "./mitigator.js";
import { query, resources, server, task } from "./testing.js";
import { MitigationKind } from "./types.js";
import type { Mitigation, PolicySet } from "./types.js";

const CHECK = "customer/check";
/** Slowdown at which a run time of 100 ms reaches a latency target of 200 ms. */
const PERMITTED_SLOWDOWN = 2;

/** Sets up one server with a latency-critical task whose target permits a slowdown of 2, and two batch tasks. */
const createScenario = (): PolicySet => {
    const policies = createPolicies({
        random: new SeededRandom(1),
        knownSlowdowns: {
            coefficient: (unusedAffected, interfering) => interfering.endsWith("loud") ? 1 : 0.1,
            variance: () => 0,
        },
    });
    policies.placement.upsertServer(server("s"));
    policies.placement.choose(query({ latencyTargetMs: 200 }), 0);
    policies.reservation.observeRunTime(CHECK, 100);
    const urgent = task("urgent", { classKey: CHECK, workKind: WorkKind.LATENCY_CRITICAL });
    policies.interference.taskPlaced("s", urgent, 0);
    policies.interference.taskPlaced("s", task("loud", { classKey: "customer/loud" }), 0);
    policies.interference.taskPlaced("s", task("quiet"), 0);
    return policies;
};

const observeSlowdown = (policies: PolicySet, slowdown: number, measuredAtMs: number, nowMs: number): void => {
    policies.interference.observe({
        taskKey: "urgent",
        backendServerId: "s",
        measuredAtMs,
        used: resources(500),
        speedRatio: 1 / slowdown,
    }, nowMs);
};

const describeSteps = (steps: Mitigation[]): string[] => steps.map(step => `${step.kind} ${step.taskKey}`);

test("throttles the worst neighbour first and evicts it only if later samples still show the risk", () => {
    const policies = createScenario();
    [1_000, 1_200, 1_400].forEach(atMs => observeSlowdown(policies, 2.5, atMs, 2_000));
    expect(describeSteps(policies.interference.evaluate(2_000))).toEqual(["throttle loud"]);
    [1_500, 1_600, 1_700, 1_800, 2_100].forEach(atMs => observeSlowdown(policies, 2.5, atMs, 11_000));
    expect(policies.interference.evaluate(11_000)).toEqual([]);
    [9_000, 9_500, 10_000].forEach(atMs => observeSlowdown(policies, 2.5, atMs, 11_000));
    expect(describeSteps(policies.interference.evaluate(11_000))).toEqual(["evict loud"]);
    expect(policies.interference.evaluate(11_100)).toEqual([]);
});

test("takes no action on a single slow sample or on samples just below the limit", () => {
    const policies = createScenario();
    observeSlowdown(policies, 5, 1_000, 1_000);
    expect(policies.interference.evaluate(1_000)).toEqual([]);
    const justBelow = 0.95 * MITIGATOR_DEFAULTS.enterRatio * PERMITTED_SLOWDOWN;
    for (let atMs = 8_000; atMs < 60_000; atMs += 500) {
        observeSlowdown(policies, justBelow, atMs, atMs);
        expect(policies.interference.evaluate(atMs)).toEqual([]);
    }
});

test("ends throttling after the hold time, which is longer if the risk returns", () => {
    const policies = createScenario();
    const releasedAfterMs = (startMs: number): number => {
        [0, 200, 400].forEach(offsetMs => observeSlowdown(policies, 2.5, startMs + offsetMs, startMs + 500));
        expect(describeSteps(policies.interference.evaluate(startMs + 500))).toEqual(["throttle loud"]);
        for (let nowMs = startMs + 1_500; nowMs < startMs + 90_000; nowMs += 500) {
            observeSlowdown(policies, 1.2, nowMs, nowMs);
            const steps = describeSteps(policies.interference.evaluate(nowMs));
            if (steps.length > 0) {
                expect(steps).toEqual(["unthrottle loud"]);
                return nowMs - startMs;
            }
        }
        return Number.POSITIVE_INFINITY;
    };
    const first = releasedAfterMs(10_000);
    const second = releasedAfterMs(30_000);
    expect(first).toBeLessThan(11_000);
    expect(second).toBeGreaterThan(1.8 * first);
    expect(second).toBeLessThan(25_000);
});

test("high slowdowns across the whole fleet do not exceed the rate limit for evictions", () => {
    const policies = createScenario();
    for (let index = 0; index < 100; index += 1) {
        const id = `s${index}`;
        policies.interference.taskPlaced(id, task(`u${index}`, { classKey: CHECK, workKind: 1 }), 0);
        policies.interference.taskPlaced(id, task(`l${index}`, { classKey: "customer/loud" }), 0);
    }
    let evictions = 0;
    for (let nowMs = 1_000; nowMs <= 31_000; nowMs += 500) {
        for (let index = 0; index < 100; index += 1) {
            policies.interference.observe({
                taskKey: `u${index}`,
                backendServerId: `s${index}`,
                measuredAtMs: nowMs,
                used: resources(500),
                speedRatio: 0.3,
            }, nowMs);
        }
        for (const step of policies.interference.evaluate(nowMs)) {
            evictions += step.kind === MitigationKind.Evict ? 1 : 0;
        }
    }
    expect(evictions).toBeGreaterThan(0);
    expect(evictions).toBeLessThanOrEqual(2 + 30 * 0.2);
});

test("ignores samples of tasks that had already ended, and evicts for memory overuse once", () => {
    const policies = createScenario();
    const sample = { backendServerId: "s", used: resources(100, 9_000), speedRatio: 0.9 };
    policies.interference.taskReleased("s", "urgent", 500);
    policies.interference.observe({ ...sample, taskKey: "urgent", measuredAtMs: 600 }, 900);
    const steps: string[] = [];
    for (let nowMs = 1_000; nowMs < 10_000; nowMs += 1_000) {
        policies.interference.observe({ ...sample, taskKey: "quiet", measuredAtMs: nowMs }, nowMs);
        steps.push(...describeSteps(policies.interference.evaluate(nowMs)));
    }
    expect(steps).toEqual(["evict quiet"]);
});
