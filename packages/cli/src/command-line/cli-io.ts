import { randomBytes } from "node:crypto";
import { readFile, writeFile } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";

/** Environment, streams, files, clock and random source that commands use. Tests replace it. */
export interface CliIo {
    readonly environment: NodeJS.ProcessEnv;
    writeOut(text: string): void;
    writeError(text: string): void;
    readFile(path: string): Promise<string>;
    writeFile(path: string, text: string): Promise<void>;
    nowMs(): number;
    sleep(durationMs: number): Promise<void>;
    randomBytes(count: number): Uint8Array;
}

/** Returns an implementation that uses the streams, files and clock of this process. */
export const processIo = (): CliIo => ({
    environment: process.env,
    writeOut: text => void process.stdout.write(text),
    writeError: text => void process.stderr.write(text),
    readFile: path => readFile(path, "utf8"),
    writeFile: (path, text) => writeFile(path, text),
    nowMs: () => performance.timeOrigin + performance.now(),
    sleep: async durationMs => void await delay(durationMs),
    randomBytes,
});
