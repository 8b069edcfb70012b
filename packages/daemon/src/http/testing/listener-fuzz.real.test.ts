import { expect, it } from "vitest";
import { isSound, runFuzzRound } from "./listener-fuzz.js";

const FIRST_SEED = 1;
const ROUNDS = 60;

// Guards against input that ends the process, keeps it from answering, or leaves memory or connections counted for ever. Any
// uncaught error fails the run.
it("survives random bytes at random cuts", async () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + ROUNDS; seed += 1) {
        const round = await runFuzzRound(seed);
        expect({ seed, round, isSound: isSound(round) }).toMatchObject({ isSound: true });
    }
});
