#!/usr/bin/env node
import { ExitCode } from "./command-line/cli-failure.js";
import { processIo } from "./command-line/cli-io.js";
import { runCli } from "./command-line/run-cli.js";

// A reader such as head may close the pipe before all output is written.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
    process.exitCode = error.code === "EPIPE" ? ExitCode.Ok : ExitCode.Internal;
});

process.exitCode = await runCli(process.argv.slice(2), processIo());
