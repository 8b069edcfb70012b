import { create } from "@bufbuild/protobuf";
import { ConfigurationSchema, ErrorCode } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { ConfigurationCopy } from "./configuration-copy.js";
import { bearerTokenOf, checkCredential, createCredential, generateSecret } from "./credentials.js";

const configurationOf = (revision: number) => create(ConfigurationSchema, { revision });

describe("checkCredential", () => {
    const secret = generateSecret();
    const configuration = create(ConfigurationSchema, {
        revision: 1,
        contracts: [
            { customer: "a.b", credentials: [createCredential("one", secret)] },
            { customer: "other", credentials: [{ credentialId: "broken", sha256: new Uint8Array(3) }] },
        ],
    });

    it("accepts only the secret of that customer and credential (guards against access to another customer's jobs)", () => {
        const check = (customer: string, id: string, text: string) =>
            checkCredential(configuration, `Bearer ${bearerTokenOf(customer, id, text)}`);
        expect(check("a.b", "one", secret).unwrap()).toBe("a.b");
        const refused = [
            check("other", "one", secret),
            check("a.b", "two", secret),
            check("a.b", "one", generateSecret()),
            check("other", "broken", secret),
            check("unknown", "one", ""),
            checkCredential(configuration, undefined),
            checkCredential(configuration, "Basic abc"),
            checkCredential(undefined, `Bearer ${bearerTokenOf("a.b", "one", secret)}`),
        ];
        for (const result of refused) {
            expect(result.isErr() && result.error.code).toBe(ErrorCode.UNAUTHENTICATED);
        }
    });
});

describe("ConfigurationCopy", () => {
    it("never goes back to an older revision (guards against reverting an accepted configuration)", () => {
        const copy = new ConfigurationCopy();
        copy.adopt(configurationOf(5));
        expect([copy.adopt(configurationOf(4)), copy.revision]).toEqual([false, 5]);
    });

    it("counts the lease from the poll's sending, for the current revision only (guards against stale leases)", () => {
        const copy = new ConfigurationCopy();
        copy.adopt(configurationOf(5));
        copy.extendLease(1_000, 1_200, 6);
        expect(copy.hasLease(1_000)).toBe(false);
        copy.extendLease(1_000, 1_200, 5);
        copy.extendLease(900, 1_200, 5);
        expect([copy.hasLease(2_199), copy.hasLease(2_200)]).toEqual([true, false]);
    });
});
