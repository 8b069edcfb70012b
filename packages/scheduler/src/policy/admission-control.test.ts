import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { JobSpecificationSchema, Reason, WorkKind } from "@waxwingspread/protocol";
import { expect, test } from "vitest";
import { createPolicies } from "./create-policies.js";
import { RetryBackoff } from "./retry-backoff.js";
import { job, limits, resources, server } from "./testing.js";
import type { Admission, PolicySet, QueuedJob } from "./types.js";

const createPoliciesWithQuota = (quota: Parameters<typeof limits>[1]): PolicySet => {
    const policies = createPolicies({ random: new SeededRandom(1) });
    policies.placement.upsertServer(server("s"));
    const customer = limits("customer", quota, { batchShare: 0.5 });
    policies.admission.setCustomer(customer);
    policies.fairShare.setCustomer(customer);
    return policies;
};

const admit = (policies: PolicySet, candidate: QueuedJob, waitMs = 0, nowMs = 0): Admission =>
    policies.admission.admit(create(JobSpecificationSchema, { declaredRunTimeMs: 1_000 }), candidate, waitMs, nowMs);

test("refuses jobs that can never fit on a server or within the customer's quota", () => {
    const policies = createPoliciesWithQuota({ resources: resources(20_000, 100_000) });
    expect(admit(policies, job("a", { reserved: resources(17_000) })).reason)
        .toBe(Reason.LARGER_THAN_ANY_BACKEND_SERVER);
    expect(admit(policies, job("b", { reserved: resources(12_000) })).reason).toBe(Reason.LARGER_THAN_QUOTA);
    expect(admit(policies, job("c", { reserved: resources(12_000), workKind: WorkKind.LATENCY_CRITICAL })).admitted)
        .toBe(true);
    expect(admit(policies, job("d", { customer: "unknown" })).reason).toBe(Reason.CUSTOMER_REMOVED);
});

test("refuses jobs whose expected wait and run time exceed the deadline", () => {
    const policies = createPoliciesWithQuota({});
    expect(admit(policies, job("a", { deadlineMs: 3_000 }), 1_900, 0).admitted).toBe(true);
    expect(admit(policies, job("a", { deadlineMs: 3_000 }), 2_100, 0)).toMatchObject({
        reason: Reason.DEADLINE_UNREACHABLE,
        retryAfterMs: 100,
    });
    expect(admit(policies, job("a", { deadlineMs: 3_000 }), 0, 3_000).reason).toBe(Reason.DEADLINE_PASSED);
});

test("limits the queue and the submission rate; an amended contract grants no second burst", () => {
    const policies = createPoliciesWithQuota({ submissionsPerSecond: 2, submissionBurst: 3, queuedJobs: 2 });
    policies.fairShare.enqueue(job("1"));
    expect([1, 2, 3].map(() => admit(policies, job("x")).admitted)).toEqual([true, true, true]);
    policies.admission.setCustomer(limits("customer", { submissionsPerSecond: 2, submissionBurst: 3, queuedJobs: 2 }));
    expect(admit(policies, job("x"))).toMatchObject({ reason: Reason.RATE_EXCEEDED, retryAfterMs: 500 });
    expect(admit(policies, job("x"), 0, 500).admitted).toBe(true);
    policies.fairShare.enqueue(job("2"));
    expect(admit(policies, job("x"), 9_000, 10_000)).toMatchObject({ reason: Reason.QUEUE_FULL, retryAfterMs: 9_000 });
});

// Guards against a log and a state that one customer fills with jobs that can never run: each such refusal is recorded.
test("limits the rate of jobs that are refused for good, also before any server is known", () => {
    const quota = { submissionsPerSecond: 2, submissionBurst: 2 };
    const withServer = createPoliciesWithQuota(quota);
    const withoutServers = createPolicies({ random: new SeededRandom(1) });
    withoutServers.admission.setCustomer(limits("customer", quota, { batchShare: 0.5 }));
    for (const policies of [withServer, withoutServers]) {
        const reasons = [1, 2, 3].map(id => admit(policies, job(`${id}`, { reserved: resources(17_000) })).reason);
        const tooLarge = Reason.LARGER_THAN_ANY_BACKEND_SERVER;
        expect(reasons).toEqual([tooLarge, tooLarge, Reason.RATE_EXCEEDED]);
    }
});

test("retry delays grow with reproducible jitter, and retries stop when the budget is exhausted", () => {
    const delays = (seed: number): number[] => {
        const backoff = new RetryBackoff(new SeededRandom(seed));
        return [1, 2, 3, 10, 100].map(attempts => backoff.nextDelayMs(attempts));
    };
    expect(delays(1)).toEqual(delays(1));
    expect(delays(1)).not.toEqual(delays(2));
    [250, 500, 1_000, 30_000, 30_000].forEach((maximumMs, index) => {
        expect(delays(3)[index]).toBeLessThanOrEqual(maximumMs);
        expect(delays(3)[index]).toBeGreaterThanOrEqual(maximumMs / 2);
    });
    const backoff = new RetryBackoff(new SeededRandom(1));
    backoff.setCustomer(limits("customer", { retriesPerMinute: 2 }));
    expect([0, 0, 0, 30_000, 30_000].map(nowMs => backoff.tryTakeRetry("customer", nowMs)))
        .toEqual([true, true, false, true, false]);
    expect(backoff.tryTakeRetry("unknown", 0)).toBe(false);
});
