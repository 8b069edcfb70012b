import * as fc from "fast-check";
import { callerCommands } from "./caller-commands.js";
import type { Fleet } from "./fleet.js";
import type { Model } from "./fuzz-command.js";
import { networkCommands } from "./network-commands.js";
import { serverAndOperatorCommands } from "./operator-commands.js";
import { processCommands } from "./process-commands.js";

/** Arbitrary for all commands of a run. */
export const anyCommand: fc.Arbitrary<fc.AsyncCommand<Model, Fleet>> = fc.oneof(
    ...callerCommands,
    ...processCommands,
    ...networkCommands,
    ...serverAndOperatorCommands,
);
