import { MaintenanceOutcome } from "@waxwingspread/workflow";
import type { EligibilityQuery } from "@waxwingspread/workflow";
import { pino } from "pino";
import { expect, it } from "vitest";
import { PlatformCalls } from "./platform-calls.js";
import type { PlatformServices } from "./platform-services.js";

const QUERY: EligibilityQuery = {
    step: "j.0.0",
    serverIds: ["a"],
    timing: { decisionMs: 10, perServerMs: 1, validityMs: 1_000 },
    patienceMs: 2_000,
};
const CALL = { maintenanceId: 4, vmId: "m-1", term: 7 };

/** What the calls have reported. */
interface Counts {
    results: number;
    queries: boolean[];
}

const failingRespond = (): never => {
    throw new Error("failed in a test");
};

const createCalls = (services: Partial<PlatformServices>): { calls: PlatformCalls; counts: Counts } => {
    const counts: Counts = { results: 0, queries: [] };
    const calls = new PlatformCalls({
        services: {
            checkEligibility: () => Promise.resolve([]),
            beginMaintenance: () => Promise.resolve(MaintenanceOutcome.Begun),
            ...services,
        },
        onResult: () => {
            counts.results += 1;
        },
        onEligibilityQuery: isAnswered => counts.queries.push(isAnswered),
        logger: pino({ enabled: false }),
    });
    return { calls, counts };
};

// Guards against queries to the eligibility service that fail again and again and show in no metric.
it("reports whether each query to the eligibility service was answered", async () => {
    const respond = (): void => undefined;
    const { calls, counts } = createCalls({});
    await calls.checkEligibility(QUERY, respond);
    const failing = createCalls({ checkEligibility: () => Promise.reject(new Error("failed in a test")) });
    await failing.calls.checkEligibility(QUERY, respond);
    expect([...counts.queries, ...failing.counts.queries]).toEqual([true, false]);
});

// Guards against a process that ends by an unhandled rejection when the session can't handle the platform's answer.
it("goes on after an error while an answer is handled", async () => {
    const { calls, counts } = createCalls({});
    await calls.checkEligibility(QUERY, failingRespond);
    await calls.beginMaintenance(CALL, failingRespond);
    expect(counts.results).toBe(2);
});

// Guards against a VM that counts as asked for ever, and a process that ends, when a call fails unexpectedly.
it("reports a maintenance call that fails unexpectedly as one to be repeated", async () => {
    const { calls } = createCalls({ beginMaintenance: () => Promise.reject(new Error("failed in a test")) });
    const outcomes: MaintenanceOutcome[] = [];
    await calls.beginMaintenance(CALL, outcome => outcomes.push(outcome));
    expect(outcomes).toEqual([MaintenanceOutcome.Retry]);
});
