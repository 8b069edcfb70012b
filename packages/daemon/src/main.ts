#!/usr/bin/env node
import { hideBin } from "yargs/helpers";
import { runDaemon } from "./run-daemon.js";

await runDaemon(hideBin(process.argv), process.env);
