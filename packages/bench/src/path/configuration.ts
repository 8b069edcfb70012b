import { createExampleContract } from "@waxwingspread/test-support";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { request as httpRequest } from "undici";
import { epochMs } from "./callers.js";
import { applyContract } from "./operator.js";
import { roundToHundredths } from "./statistics.js";
import type { Testbed } from "./testbed.js";

const CONTRACT_CHANGES = 10;
const UNAUTHENTICATED = 401;

/** Polls an entry until it accepts the token of a new customer; returns that time in epoch milliseconds. */
const waitForCredential = async (entry: string, token: string): Promise<number> => {
    for (;;) {
        const response = await httpRequest(`http://${entry}/v1/jobs/none`, {
            headers: { authorization: `Bearer ${token}` },
        });
        await response.body.dump();
        if (response.statusCode !== UNAUTHENTICATED) {
            return epochMs();
        }
    }
};

/**
 * Measures the time in milliseconds from the operator's command until the last entry applies the new contract,
 * including the network delays in both directions.
 */
export const measureConfiguration = async (testbed: Testbed): Promise<{ max: number; all: number[] }> => {
    const all: number[] = [];
    for (let change = 1; change <= CONTRACT_CHANGES; change += 1) {
        const { contract, token } = createExampleContract(`customer-${change}`);
        const file = join(testbed.dataFolder, `contract-${change}.json`);
        await writeFile(file, JSON.stringify(contract));
        const beganAtMs = epochMs();
        const probes = testbed.fleet.entryAddresses.map(entry => waitForCredential(entry, token));
        await applyContract(testbed.fleet, file);
        all.push(roundToHundredths(Math.max(...await Promise.all(probes)) - beganAtMs));
    }
    return { max: Math.max(...all), all };
};
