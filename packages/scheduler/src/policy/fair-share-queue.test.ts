import { Reason, WorkKind } from "@waxwingspread/protocol";
import { expect, test } from "vitest";
import { FairShareQueue } from "./fair-share-queue.js";
import { job, limits, resources } from "./testing.js";

const createQueue = (customers: ReturnType<typeof limits>[], cpuMillicores = 100_000): FairShareQueue => {
    const queue = new FairShareQueue();
    queue.setFleetCapacity(resources(cpuMillicores, 400_000));
    customers.forEach(customer => queue.setCustomer(customer));
    return queue;
};

const startBatchTask = (queue: FairShareQueue, customer: string, taskKey: string, cpuMillicores = 1_000): void =>
    queue.taskStarted(customer, WorkKind.BATCH, taskKey, resources(cpuMillicores));

test("selects latency-critical before standing before batch, regardless of arrival order and customer share", () => {
    const queue = createQueue([limits("a"), limits("b")]);
    startBatchTask(queue, "a", "running", 50_000);
    queue.enqueue(job("batch", { customer: "b" }));
    queue.enqueue(job("watch", { customer: "b", workKind: WorkKind.STANDING }));
    queue.enqueue(job("urgent", { customer: "a", workKind: WorkKind.LATENCY_CRITICAL }));
    expect(queue.next(0, 10).map(next => next.jobKey)).toEqual(["urgent", "watch", "batch"]);
    expect(queue.next(0, 1).map(next => next.jobKey)).toEqual(["urgent"]);
});

test("batch that uses up the quota does not block latency-critical work of the same customer", () => {
    const queue = createQueue([limits("a", { resources: resources(4_000), concurrentTasks: 4 })]);
    ["1", "2", "3", "4"].forEach(key => startBatchTask(queue, "a", key));
    const small = { customer: "a", reserved: resources(1_000) };
    expect(queue.blockingReason(job("urgent", { ...small, workKind: WorkKind.LATENCY_CRITICAL }))).toBeUndefined();
    expect(queue.blockingReason(job("batch", small))).toBe(Reason.QUOTA_IN_USE);
});

test("divides running tasks among customers by weight and dominant resource", () => {
    const queue = createQueue([limits("a", {}, { weight: 3 }), limits("b"), limits("c")]);
    for (let index = 0; index < 200; index += 1) {
        queue.enqueue(job(`a${index}`, { customer: "a", reserved: resources(1_000, 100) }));
        queue.enqueue(job(`b${index}`, { customer: "b", reserved: resources(1_000, 100) }));
        queue.enqueue(job(`c${index}`, { customer: "c", reserved: resources(100, 4_000) }));
    }
    const counts: Record<string, number> = { a: 0, b: 0, c: 0 };
    for (let round = 0; round < 60; round += 1) {
        const [next] = queue.next(0, 1);
        if (next !== undefined) {
            queue.dequeue(next.jobKey);
            queue.taskStarted(next.customer, next.workKind, next.jobKey, next.reserved);
            counts[next.customer] = (counts[next.customer] ?? 0) + 1;
        }
    }
    expect(counts).toEqual({ a: 36, b: 12, c: 12 });
});

test("a hundred customers whose jobs cannot be placed do not starve another customer", () => {
    const others = Array.from({ length: 100 }, (unused, index) => limits(`other${index}`));
    const queue = createQueue([...others, limits("one")]);
    startBatchTask(queue, "one", "running", 50_000);
    for (let index = 0; index < 100; index += 1) {
        for (let count = 0; count < 50; count += 1) {
            queue.enqueue(job(`${index}/${count}`, { customer: `other${index}` }));
        }
    }
    queue.enqueue(job("mine", { customer: "one" }));
    const offered = new Set<string>();
    for (let round = 0; round < 60; round += 1) {
        queue.next(0, 8).forEach(next => offered.add(next.jobKey));
    }
    expect(offered).toContain("mine");
});

test("lends idle capacity and reclaims it from the most recent tasks of the largest borrower first", () => {
    const quota = { resources: resources(4_000, 400_000) };
    const queue = createQueue([limits("large", quota), limits("small", quota), limits("owner", quota)], 14_000);
    for (let index = 0; index < 8; index += 1) {
        startBatchTask(queue, "large", `large${index}`);
    }
    for (let index = 0; index < 5; index += 1) {
        startBatchTask(queue, "small", `small${index}`);
    }
    const borrowing = job("more", { customer: "small", reserved: resources(2_000) });
    expect(queue.blockingReason(borrowing)).toBe(Reason.NO_CAPACITY);
    expect(queue.blockingReason({ ...borrowing, reserved: resources(500) })).toBeUndefined();
    queue.enqueue(job("mine", { customer: "owner", reserved: resources(2_000) }));
    expect(queue.selectReclaimVictims(500, 8)).toEqual([]);
    expect(queue.selectReclaimVictims(1_500, 8).map(victim => victim.taskKey)).toEqual(["large7", "large6"]);
    expect(queue.selectReclaimVictims(1_600, 8)).toEqual([]);
    expect(queue.blockingReason({ ...borrowing, reserved: resources(500) })).toBe(Reason.QUOTA_IN_USE);
    queue.taskEnded("large", "large7");
    queue.taskEnded("large", "large6");
    queue.dequeue("mine");
    queue.taskStarted("owner", WorkKind.BATCH, "mine", resources(2_000));
    expect(queue.blockingReason({ ...borrowing, reserved: resources(500) })).toBeUndefined();
});

test("a reclaim claim that is not used in time expires and no longer blocks borrowers", () => {
    const quota = { resources: resources(1_000) };
    const queue = createQueue([limits("a", quota), limits("b", quota)], 10_000);
    ["1", "2", "3"].forEach(key => startBatchTask(queue, "a", key));
    queue.enqueue(job("waiting", { customer: "b", reserved: resources(500) }));
    expect(queue.selectReclaimVictims(1_500, 8)).toHaveLength(1);
    ["1", "2", "3"].forEach(key => queue.taskEnded("a", key));
    const borrowing = job("more", { customer: "a", reserved: resources(2_000) });
    queue.enqueue(borrowing);
    expect(queue.next(2_000, 8).map(next => next.jobKey)).toEqual(["waiting"]);
    queue.selectReclaimVictims(20_000, 8);
    expect(queue.next(20_000, 8).map(next => next.jobKey).sort()).toEqual(["more", "waiting"]);
});

test("holds back delayed jobs, prefers requeued jobs and omits removed ones", () => {
    const queue = createQueue([limits("customer")]);
    queue.enqueue(job("later", { notBeforeMs: 1_000 }));
    queue.enqueue(job("second", { queuedAtMs: 50 }));
    queue.enqueue(job("evicted", { queuedAtMs: 10 }));
    expect(queue.next(100, 5).map(next => next.jobKey)).toEqual(["evicted", "second"]);
    queue.dequeue("evicted");
    expect(queue.next(1_000, 5).map(next => next.jobKey)).toEqual(["later", "second"]);
    expect(queue.queuedCount("customer")).toBe(2);
    queue.removeCustomer("customer");
    expect(queue.next(1_000, 5)).toEqual([]);
    expect(queue.blockingReason(job("x"))).toBe(Reason.CUSTOMER_REMOVED);
});
