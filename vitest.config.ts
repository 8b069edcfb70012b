import { existsSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

const packages = fileURLToPath(new URL("./packages", import.meta.url));

/** Tests listed in KNOWN-RED.txt are passed over and printed, unless RUN_KNOWN_RED is set. */
const knownRedFile = fileURLToPath(new URL("./KNOWN-RED.txt", import.meta.url));
const knownRed = process.env.RUN_KNOWN_RED === undefined && existsSync(knownRedFile)
    ? [...readFileSync(knownRedFile, "utf8").matchAll(/^test: (\S+)$/gm)].map(match => match[1] ?? "")
    : [];
for (const file of knownRed) {
    process.stdout.write(`known red, not run: ${file} (see KNOWN-RED.txt)\n`);
}

const neverTests = ["**/node_modules/**", "**/dist/**", ...knownRed];

export default defineConfig({
    resolve: {
        alias: [{ find: "@waxwingspread/daemon/workflow", replacement: `${packages}/daemon/src/workflow/index.ts` }, {
            find: "@waxwingspread/workflow/testing",
            replacement: `${packages}/workflow/src/testing/fixtures.ts`,
        }, {
            find: /^@waxwingspread\/(.+)$/,
            replacement: `${packages}/$1/src/index.ts`,
        }],
    },
    test: {
        testTimeout: 60_000,
        hookTimeout: 60_000,
        projects: [
            {
                extends: true,
                test: {
                    name: "unit",
                    include: ["packages/**/*.test.ts", "platform/**/*.test.ts"],
                    exclude: [...neverTests, "**/*.real.test.ts"],
                    maxWorkers: 6,
                    sequence: { groupOrder: 0 },
                },
            },
            {
                extends: true,
                test: {
                    name: "drills",
                    include: ["packages/**/*.real.test.ts", "platform/**/*.real.test.ts"],
                    exclude: neverTests,
                    // Each starts many processes; two at a time would disturb each other's timing.
                    fileParallelism: false,
                    maxWorkers: 1,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
