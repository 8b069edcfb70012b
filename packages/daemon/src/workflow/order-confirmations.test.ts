import { describe, expect, it } from "vitest";
import { OrderConfirmations } from "./order-confirmations.js";

const ISSUED_AT_MS = 5_000_000.7;

// Guards against an order that is executed although its sender has given up on it, and perhaps ordered the opposite since.
describe("a confirmation", () => {
    const confirmations = new OrderConfirmations();
    const token = confirmations.issue(ISSUED_AT_MS);

    it("is valid for a second", () => {
        expect(confirmations.isValid(token, ISSUED_AT_MS)).toBe(true);
        expect(confirmations.isValid(token, ISSUED_AT_MS + 999)).toBe(true);
        expect(confirmations.isValid(token, ISSUED_AT_MS + 1_001)).toBe(false);
    });

    it("of another process is not valid", () => {
        expect(new OrderConfirmations().isValid(token, ISSUED_AT_MS)).toBe(false);
    });

    it.each([undefined, "", ".", token.replace(/\..*/, ""), `${token}x`, token.replace(/\..*/, ".")])(
        "is not valid if it is %s",
        text => {
            expect(confirmations.isValid(text, ISSUED_AT_MS)).toBe(false);
        },
    );
});
