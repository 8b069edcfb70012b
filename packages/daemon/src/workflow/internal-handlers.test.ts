import { Refusal, refused, succeeded } from "@waxwingspread/workflow";
import { expect, it } from "vitest";
import { resultForSender } from "./internal-handlers.js";

// Guards against an entry of the former version that answers 500, since it doesn't know the refusal.
it.each([
    [Refusal.Unauthenticated, undefined, Refusal.NotRun],
    [Refusal.QuotaExceeded, undefined, Refusal.NotRun],
    [Refusal.UnknownJob, undefined, Refusal.UnknownJob],
    [Refusal.Unauthenticated, null, Refusal.Unauthenticated],
    [Refusal.Unauthenticated, "digest", Refusal.Unauthenticated],
])("a refusal %s of a request with the key digest %s is sent as %s", (refusal, keyDigest, sent) => {
    const request = keyDigest === undefined ? {} : { keyDigest };
    expect(resultForSender(refused(refusal), request)).toEqual(refused(sent));
    expect(resultForSender(succeeded(1), request)).toEqual(succeeded(1));
});
