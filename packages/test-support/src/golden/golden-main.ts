import { writeFile } from "node:fs/promises";
import { GOLDEN_SEED, SCRIPTS } from "./scripts.js";
import { Session } from "./session.js";

const FOLDER = new URL("../../src/golden/sessions/", import.meta.url);

for (const [name, script] of Object.entries(SCRIPTS)) {
    await writeFile(new URL(`${name}.txt`, FOLDER), await Session.play(GOLDEN_SEED, script));
    process.stdout.write(`${name}.txt written\n`);
}
