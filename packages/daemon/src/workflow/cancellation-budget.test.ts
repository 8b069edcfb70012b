import { expect, it } from "vitest";
import { CancellationBudget } from "./cancellation-budget.js";

const countTaken = (budget: CancellationBudget, nowMs: number): number => {
    let taken = 0;
    while (budget.take(nowMs)) {
        taken += 1;
    }
    return taken;
};

// Guards against more cancellations than a server accepts: 1,000 at once, and 33 a second from then on.
it("allows a burst of cancellations, and a few a second after it", () => {
    const budget = new CancellationBudget(0);
    expect(countTaken(budget, 0)).toBe(800);
    expect(countTaken(budget, 2_000)).toBe(50);
    expect(countTaken(budget, 1_000_000)).toBe(800);
});
