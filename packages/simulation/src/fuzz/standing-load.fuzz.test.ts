import { expect, it } from "vitest";
import { LoadScenario } from "./load-scenario.js";

const RUNS = Number(process.env.STANDING_FUZZ_RUNS ?? 12);
const SEED = Number(process.env.STANDING_FUZZ_SEED ?? 22);
const ROUNDS = 110;

// Load: a fleet near or beyond its capacity, for 27 s. Guards against standing tasks that don't run again within 6 s of
// their end although a server has room for them, as the servers themselves see it.
it.each(Array.from({ length: RUNS }, (unused, index) => SEED + index))(
    "runs standing tasks again under load, seed %i",
    seed => {
        expect(new LoadScenario(seed).run(ROUNDS)).toEqual([]);
    },
    300_000,
);
