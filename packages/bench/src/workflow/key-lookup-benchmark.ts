import { CallerAccess } from "@waxwingspread/workflow";
import { configurationOf, HOST, organisationWithKeys } from "@waxwingspread/workflow/testing";
import { createHash } from "node:crypto";

/** Size of a configuration with organisations. */
export interface KeyLookupSize {
    organisations: number;
    keysPerOrganisation: number;
}

/** Measured durations. */
export interface KeyLookupFigures {
    /** Time to build the index of a new configuration. */
    indexMs: number;
    /** Time to decide on one call with a valid key, and on one with an unknown key. */
    validKeyMicros: number;
    unknownKeyMicros: number;
}

const LOOKUPS = 200_000;
const MICROS_PER_MS = 1_000;

/** Measures the decision on API keys. */
export const measureKeyLookup = ({ organisations, keysPerOrganisation }: KeyLookupSize): KeyLookupFigures => {
    const digests = Array.from(
        { length: organisations },
        (unusedOrganisation, organisation) =>
            Array.from({ length: keysPerOrganisation }, (unusedKey, key) => digestOf(`${organisation} ${key}`)),
    );
    const contracts = digests.map((keys, index) => organisationWithKeys(`organisation-${index}`, ...keys));
    const configuration = configurationOf(1, { organisations: contracts });
    const startMs = performance.now();
    const access = new CallerAccess(configuration);
    const indexMs = performance.now() - startMs;
    const valid = digests.flat();
    return {
        indexMs,
        validKeyMicros: measureMicros(access, valid),
        unknownKeyMicros: measureMicros(access, valid.map(digestOf)),
    };
};

const digestOf = (text: string): string => createHash("sha256").update(text).digest("hex");

const measureMicros = (access: CallerAccess, keyDigests: readonly string[]): number => {
    const startMs = performance.now();
    for (let count = 0; count < LOOKUPS; count += 1) {
        access.findQueue({ host: HOST, path: "/batch/j", keyDigest: keyDigests[count % keyDigests.length] });
    }
    return (performance.now() - startMs) / LOOKUPS * MICROS_PER_MS;
};
