import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

const packages = fileURLToPath(new URL("./packages", import.meta.url));

export default defineConfig({
    resolve: {
        alias: [{ find: /^@waxwingspread\/(.+)$/, replacement: `${packages}/$1/src/index.ts` }],
    },
    test: {
        include: ["packages/**/*.test.ts"],
        exclude: ["**/node_modules/**", "**/dist/**"],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        maxWorkers: 6,
    },
});
