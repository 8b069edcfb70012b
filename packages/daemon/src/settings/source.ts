import yargs from "yargs";
import { definitionOf, flagOf, SETTING_KEYS, VARIABLE_PREFIX, variableOf } from "./definitions.js";
import type { SettingKey } from "./definitions.js";
import type { InvalidSetting } from "./settings-error.js";

const PRINT_FLAG = "print-settings";
/** Variables of the operators' command-line tool. They are accepted because both programs may share an environment. */
const COMMAND_LINE_TOOL_VARIABLES = new Set([`${VARIABLE_PREFIX}CONTROL`, `${VARIABLE_PREFIX}OPERATOR_TOKEN`]);

/** Unparsed settings from the command line and the environment. */
export interface UnparsedSettings {
    readonly texts: ReadonlyMap<SettingKey, string>;
    readonly printSettings: boolean;
    readonly errors: readonly InvalidSetting[];
}

const createArgumentParser = (argv: readonly string[]): ReturnType<typeof yargs> => {
    const parser = yargs([...argv])
        .scriptName("waxwingspreadd")
        .usage("$0 --role entry|control|both [settings]")
        .parserConfiguration({ "camel-case-expansion": false, "boolean-negation": false, "parse-numbers": false })
        .option(PRINT_FLAG, { type: "boolean", description: "Print the settings, secrets hidden, and exit" })
        .exitProcess(false)
        .version(false)
        .help(false);
    for (const key of SETTING_KEYS) {
        const { description, defaultText, parser: { allowed } } = definitionOf(key);
        const defaultNote = defaultText === undefined ? "" : `; default ${defaultText}`;
        const help = `${description}. ${variableOf(key)}: ${allowed}${defaultNote}`;
        parser.option(flagOf(key), { type: "string", description: help });
    }
    return parser;
};

const findUnknownFlags = (parsed: Record<string, unknown>): InvalidSetting[] => {
    const known = new Set(["_", "$0", PRINT_FLAG, ...SETTING_KEYS.map(flagOf)]);
    const unknown = Object.keys(parsed).filter(flag => !known.has(flag));
    return unknown.map(flag => ({
        flag: `--${flag}`,
        variable: undefined,
        // The value may be a secret whose flag is misspelt.
        given: "(hidden)",
        allowed: "a flag listed by --help",
    }));
};

const findPositionalArguments = (parsed: Record<string, unknown>): InvalidSetting[] => {
    const positional = Array.isArray(parsed["_"]) ? parsed["_"] : [];
    const invalid = { flag: "argument", variable: undefined, given: "(hidden)", allowed: "flags only" };
    return positional.map(() => invalid);
};

const findUnknownVariables = (environment: NodeJS.ProcessEnv): InvalidSetting[] => {
    const known = new Set(SETTING_KEYS.map(variableOf));
    const unknown = Object.keys(environment).filter(variable =>
        variable.startsWith(VARIABLE_PREFIX) && !known.has(variable) && !COMMAND_LINE_TOOL_VARIABLES.has(variable)
    );
    return unknown.map(variable => ({
        flag: undefined,
        variable,
        given: "(hidden)",
        allowed: "a variable listed by --help",
    }));
};

/** Reads flags and environment variables. Flags take precedence. An empty variable counts as absent. */
export const readUnparsedSettings = (argv: readonly string[], environment: NodeJS.ProcessEnv): UnparsedSettings => {
    const parsed = createArgumentParser(argv).parseSync() as Record<string, unknown>;
    const errors = [
        ...findUnknownFlags(parsed),
        ...findPositionalArguments(parsed),
        ...findUnknownVariables(environment),
    ];
    const texts = new Map<SettingKey, string>();
    for (const key of SETTING_KEYS) {
        const flag = flagOf(key);
        const value = parsed[flag] ?? (environment[variableOf(key)] || undefined);
        if (Array.isArray(value)) {
            errors.push({ flag: `--${flag}`, variable: undefined, given: "repeated", allowed: "given once" });
        }
        else if (typeof value === "string") {
            texts.set(key, value);
        }
    }
    return { texts, printSettings: parsed[PRINT_FLAG] === true, errors };
};

/** Returns the help text, which lists all flags and environment variables. */
export const settingsHelp = async (): Promise<string> => createArgumentParser([]).wrap(null).getHelp();
