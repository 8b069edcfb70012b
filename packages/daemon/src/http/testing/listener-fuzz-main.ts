import { isSound, runFuzzRound } from "./listener-fuzz.js";

const MS_PER_SECOND = 1_000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

const readOption = (name: string, defaultValue: number): number => {
    const position = process.argv.indexOf(`--${name}`);
    return position < 0 ? defaultValue : Number(process.argv[position + 1]);
};

const firstSeed = readOption("first", 1);
const endMs = performance.now() + readOption("seconds", 60) * MS_PER_SECOND;
let findings = 0;
let seed = firstSeed;
for (; performance.now() < endMs; seed += 1) {
    const round = await runFuzzRound(seed);
    if (!isSound(round)) {
        findings += 1;
        process.stdout.write(`${JSON.stringify({ seed, ...round })}\n`);
    }
}
const residentMib = Math.round(process.memoryUsage.rss() / BYTES_PER_MEBIBYTE);
process.stdout.write(`${JSON.stringify({ firstSeed, rounds: seed - firstSeed, findings, residentMib })}\n`);
process.exit(findings === 0 ? 0 : 1);
