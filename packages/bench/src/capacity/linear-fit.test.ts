import { expect, it } from "vitest";
import { fitLine } from "./linear-fit.js";

it("recovers the line of exact measurements and reports the deviation of others", () => {
    const exact = fitLine([10, 20, 40].map(size => ({ size, value: 3 * size + 5 })));
    expect(exact.perUnit).toBeCloseTo(3);
    expect(exact.offset).toBeCloseTo(5);
    expect(exact.worstErrorRatio).toBeCloseTo(0);
    const inexact = fitLine([{ size: 1, value: 1 }, { size: 2, value: 2 }, { size: 3, value: 9 }]);
    expect(inexact.worstErrorRatio).toBeGreaterThan(0.1);
});
