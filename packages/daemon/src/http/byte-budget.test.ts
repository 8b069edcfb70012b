import { expect, it } from "vitest";
import { ByteBudget } from "./byte-budget.js";

const NOW_MS = 10_000;

// Guards against a crowd whose memory is paid for by clients that send an ordinary request at the same time.
it("selects those that have held most for longest, until the rest fits", () => {
    const budget = new ByteBudget(100_000);
    const [ordinary, large, slow] = [budget.open(), budget.open(), budget.open()];
    ordinary.add(6_000, NOW_MS - 50);
    large.add(60_000, NOW_MS - 2_000);
    slow.add(40_000, NOW_MS - 30_000);
    expect(budget.selectExcess(NOW_MS)).toEqual([slow]);
    ordinary.add(60_000, NOW_MS);
    expect(budget.selectExcess(NOW_MS)).toEqual([slow, large]);
});

// Guards against connections that are closed although there is room.
it("selects none within the limit", () => {
    const budget = new ByteBudget(100_000);
    budget.open().add(100_000, 0);
    expect(budget.selectExcess(NOW_MS)).toEqual([]);
});

// Guards against a budget that fills up with what connections held before they were closed.
it("forgets what a closed connection held and what is recorded for it afterwards", () => {
    const budget = new ByteBudget(100_000);
    const holding = budget.open();
    holding.add(50_000, NOW_MS);
    holding.close();
    holding.add(7_000, NOW_MS);
    expect(budget.usedBytes).toBe(0);
});

// Guards against a connection that counts as old because it held something long ago.
it("counts the age from the time at which a connection began to hold something", () => {
    const holding = new ByteBudget(100_000).open();
    holding.add(5, 1_000);
    holding.add(-5, 2_000);
    holding.add(5, 3_000);
    expect(holding.sinceMs).toBe(3_000);
});
