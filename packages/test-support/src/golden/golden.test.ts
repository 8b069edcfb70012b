import { readFile } from "node:fs/promises";
import { describe, expect, it } from "vitest";
import { GOLDEN_SEED, SCRIPTS } from "./scripts.js";
import { Session } from "./session.js";

describe("golden sessions", () => {
    // Guards against unintended changes in the events of whole sessions, their order and their times. After an
    // intended change, run `npm run golden:update` and review the difference.
    it.each(Object.entries(SCRIPTS))("%s", async (name, script) => {
        const expected = await readFile(new URL(`./sessions/${name}.txt`, import.meta.url), "utf8");
        expect(await Session.play(GOLDEN_SEED, script)).toBe(expected);
    });
});
