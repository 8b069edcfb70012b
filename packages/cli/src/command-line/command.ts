import type { Result } from "ts-results-es";
import type { Argv } from "yargs";
import type { ControlClient } from "../connection/control-client.js";
import type { JournalClient } from "../connection/journal-client.js";
import type { CliFailure } from "./cli-failure.js";
import type { CliIo } from "./cli-io.js";

/** Output of a command: a table for people, JSON for programs. */
export interface CommandOutput {
    readonly table: string;
    readonly json: unknown;
}

/** Output of a command that succeeded, or its failure. */
export type CommandResult = Result<CommandOutput, CliFailure>;

/** Input, output and connections for command handlers. */
export interface CommandContext {
    readonly io: CliIo;
    /** Connects on first use; fails without addresses or a token. */
    client(): Promise<Result<ControlClient, CliFailure>>;
    /** Connects to operators' listeners; fails without a token. */
    journalClient(): Promise<Result<JournalClient, CliFailure>>;
    /** Prints intermediate output before the command ends. */
    print(output: CommandOutput): void;
}

/** One command of the command line. */
export interface Command {
    /** Command words and positional arguments in the syntax of yargs. */
    readonly syntax: string;
    readonly description: string;
    readonly examples?: readonly (readonly [command: string, description: string])[];
    readonly options?: (parser: Argv) => Argv;
    readonly handle: (context: CommandContext, values: CommandArguments) => Promise<CommandResult>;
}

/** Commands that share a first word. */
export interface CommandGroup {
    readonly name: string;
    readonly description: string;
    readonly commands: readonly Command[];
}

/** Typed access to arguments that yargs has validated. */
export class CommandArguments {
    readonly #values: Readonly<Record<string, unknown>>;

    constructor(values: Readonly<Record<string, unknown>>) {
        this.#values = values;
    }

    /** Returns a required string; yargs has checked that it is present. */
    text(name: string): string {
        return String(this.#values[name] ?? "");
    }

    optionalText(name: string): string | undefined {
        const value = this.#values[name];
        return value === undefined || value === "" ? undefined : String(value);
    }

    optionalNumber(name: string): number | undefined {
        const value = this.#values[name];
        return typeof value === "number" ? value : undefined;
    }

    isSet(name: string): boolean {
        return this.#values[name] === true;
    }
}

const INTEGER_PATTERN = /^\d{1,15}$/;

/** Returns a yargs `coerce` function for integers of at least the given minimum. */
export const integerOption = (name: string, minimum: number) => (value: unknown): number | undefined => {
    if (value === undefined) {
        return undefined;
    }
    const text = String(value);
    if (!INTEGER_PATTERN.test(text) || Number(text) < minimum) {
        throw new Error(`--${name}: given ${JSON.stringify(text)}; allowed: integer of at least ${minimum}`);
    }
    return Number(text);
};
