import { expect, it } from "vitest";
import { LineBudget } from "./line-budget.js";

// Guards against a kind of event that uses up the lines of another, and against lines that are dropped uncounted.
it("limits each kind by itself and reports what it dropped when the second has passed", () => {
    const budget = new LineBudget(2);
    budget.advance(0);
    const taken = ["a", "a", "a", "b", "a"].map(kind => budget.tryTake(kind));
    expect(taken).toEqual([true, true, false, true, false]);
    expect([...budget.advance(999)]).toEqual([]);
    expect([...budget.advance(1_000)]).toEqual([["a", 2]]);
    expect(budget.tryTake("a")).toBe(true);
});
