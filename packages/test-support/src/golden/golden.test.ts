import { readFile } from "node:fs/promises";
import { describe, expect, it } from "vitest";
import { GOLDEN_SEED, SCRIPTS } from "./scripts.js";
import { Session } from "./session.js";

describe("golden sessions", () => {
    // Guards against unintended changes of what happens, in which order and when, in whole sessions. After an
    // intended change: `npm run golden:update`, and read the difference.
    it.each(Object.entries(SCRIPTS))("%s", async (name, script) => {
        const expected = await readFile(new URL(`./sessions/${name}.txt`, import.meta.url), "utf8");
        expect(await Session.play(GOLDEN_SEED, script)).toBe(expected);
    });
});
