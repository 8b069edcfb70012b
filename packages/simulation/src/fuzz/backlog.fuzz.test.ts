import { expect, it } from "vitest";
import { BacklogScenario } from "./backlog-scenario.js";

const RUNS = Number(process.env.BACKLOG_FUZZ_RUNS ?? 10);
const SEED = Number(process.env.BACKLOG_FUZZ_SEED ?? 73);
const ROUNDS = 300;

// Load: 20 to 60 jobs arrive at once and all but the first end late. Guards against an accepted job that has nothing at work
// for as long as older or wider ones have tasks left.
it.each(Array.from({ length: RUNS }, (unused, index) => SEED + index))(
    "keeps every accepted job going through a backlog, seed %i",
    seed => {
        expect(new BacklogScenario(seed).run(ROUNDS)).toEqual([]);
    },
    300_000,
);
