import { runSeed } from "./fuzz-run.js";

const FIRST_SEED_LIMIT = 1_000_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

const readNumberOption = (name: string): number | undefined => {
    const position = process.argv.indexOf(`--${name}`);
    const value = position < 0 ? NaN : Number(process.argv[position + 1]);
    return Number.isFinite(value) ? value : undefined;
};

const repeatSeed = async (seed: number): Promise<number> => {
    const { steps, failure } = await runSeed(seed, true);
    process.stdout.write(failure === undefined ? `seed ${seed} passed\n` : `seed ${seed} failed: ${failure}\n`);
    const failures = failure === undefined ? 0 : 1;
    const firstFailingSeed = failures === 0 ? null : seed;
    process.stdout.write(`${JSON.stringify({ runs: 1, steps, failures, firstFailingSeed })}\n`);
    return failures;
};

const exploreSeeds = async (seconds: number, firstSeed: number): Promise<number> => {
    const endMs = performance.now() + seconds * MILLISECONDS_PER_SECOND;
    const totals = { runs: 0, steps: 0, failures: 0, firstFailingSeed: null as number | null };
    for (let seed = firstSeed; performance.now() < endMs; seed += 1) {
        const { steps, failure } = await runSeed(seed, false);
        totals.runs += 1;
        totals.steps += steps;
        if (failure !== undefined) {
            totals.failures += 1;
            totals.firstFailingSeed ??= seed;
            process.stdout.write(`seed ${seed} failed: ${failure}\n`);
        }
    }
    process.stdout.write(`${JSON.stringify(totals)}\n`);
    return totals.failures;
};

const seed = readNumberOption("seed");
const seconds = readNumberOption("seconds");
const failures = seed !== undefined && seconds === undefined
    ? await repeatSeed(seed)
    : await exploreSeeds(seconds ?? 60, seed ?? Math.floor(Math.random() * FIRST_SEED_LIMIT));
process.exitCode = failures === 0 ? 0 : 1;
