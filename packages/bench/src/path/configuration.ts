import { makeExampleContract } from "@waxwingspread/test-support";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { request as httpRequest } from "undici";
import { epochMs } from "./callers.js";
import { rounded } from "./figures.js";
import { applyContract } from "./operator.js";
import type { PathFleet } from "./path-fleet.js";

const CHANGES = 10;
const UNAUTHENTICATED = 401;

/** Polls an entry until it accepts the token of a new customer; returns that time in epoch milliseconds. */
const inForceAt = async (entry: string, token: string): Promise<number> => {
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
 * Measures the time in milliseconds from the operator's command until the last entry applies the new contract, including
 * the network delays in both directions.
 */
export const measureConfiguration = async (running: PathFleet): Promise<{ max: number; all: number[] }> => {
    const all: number[] = [];
    for (let change = 1; change <= CHANGES; change += 1) {
        const { contract, token } = makeExampleContract(`customer-${change}`);
        const file = join(running.dataFolder, `contract-${change}.json`);
        await writeFile(file, JSON.stringify(contract));
        const beganAtMs = epochMs();
        const probes = running.fleet.entryAddresses.map(entry => inForceAt(entry, token));
        await applyContract(running.fleet, file);
        all.push(rounded(Math.max(...await Promise.all(probes)) - beganAtMs));
    }
    return { max: Math.max(...all), all };
};
