import { readFileSync } from "node:fs";
import { expect, it } from "vitest";
import { parseCommandLine } from "./parse-command-line.js";

const COMMAND_PATTERN = /^\s*waxwingspread ([a-z][^\n]*)$/gm;

it("keeps every command of the operators' page valid", async () => {
    const page = readFileSync(new URL("../../../../docs/operators.md", import.meta.url), "utf8");
    const lines = [...page.matchAll(COMMAND_PATTERN)].map(match => match[1] ?? "");
    expect(lines.length).toBeGreaterThan(15);
    const parsed = await Promise.all(lines.map(line => parseCommandLine(line.split(" "))));
    expect(lines.filter((unusedLine, index) => parsed[index]?.kind !== "run")).toEqual([]);
});
