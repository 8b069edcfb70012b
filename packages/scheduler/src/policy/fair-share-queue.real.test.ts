import { expect, test } from "vitest";
import { FairShareQueue } from "./fair-share-queue.js";
import { job, limits, resources } from "./testing.js";

test("the cost of a selection does not grow with the length of the queue", () => {
    const measureSelectionsMs = (length: number): number => {
        const queue = new FairShareQueue();
        queue.setFleetCapacity(resources(100_000, 400_000));
        [limits("a"), limits("b")].forEach(customer => queue.setCustomer(customer));
        for (let index = 0; index < length; index += 1) {
            queue.enqueue(job(`${index}`, { customer: index % 2 === 0 ? "a" : "b" }));
        }
        const startedMs = performance.now();
        for (let round = 0; round < 2_000; round += 1) {
            queue.next(0, 8);
        }
        return performance.now() - startedMs;
    };
    measureSelectionsMs(100);
    // With a cost proportional to the length, the longer queue would take 500 times as long.
    expect(measureSelectionsMs(50_000)).toBeLessThan(20 * Math.max(5, measureSelectionsMs(100)));
});
