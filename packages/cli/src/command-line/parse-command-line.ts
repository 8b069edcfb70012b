import yargs from "yargs";
import type { Argv } from "yargs";
import {
    CONTROL_VARIABLE,
    DEFAULT_CALL_TIMEOUT_MS,
    DEFAULT_DEADLINE_MS,
    TOKEN_VARIABLE,
} from "../connection/connection-settings.js";
import { contractCommands } from "../contract/commands.js";
import { listingCommands } from "../listing/commands.js";
import { replicaCommands } from "../replica/commands.js";
import { timelineCommand } from "../timeline/commands.js";
import { zoneCommands } from "../zone/commands.js";
import { CommandArguments, integerOption } from "./command.js";
import type { Command, CommandGroup } from "./command.js";
import { operatorTokenCommand } from "./operator-token.js";
import { OutputFormat } from "./session.js";

const PROGRAM = "waxwingspread";
const GROUPS: readonly CommandGroup[] = [contractCommands, zoneCommands, replicaCommands];
const COMMANDS: readonly Command[] = [...listingCommands, timelineCommand, operatorTokenCommand];

const NO_NUMBER_PARSING = { "parse-numbers": false, "parse-positional-numbers": false };

const EPILOGUE = [
    `Environment: ${CONTROL_VARIABLE} (control addresses), ${TOKEN_VARIABLE} (operator token).`,
    "Exit codes: 0 done, 1 internal error, 2 wrong usage or invalid file, 3 refused, 4 unavailable, 5 outcome unknown.",
].join("\n");

/** Result of parsing: a command to run, a text to print (such as help), or the message of a usage error. */
export type ParsedCommandLine =
    | { readonly kind: "run"; readonly command: Command; readonly values: CommandArguments }
    | { readonly kind: "text"; readonly text: string }
    | { readonly kind: "fault"; readonly message: string };

type OnCommand = (command: Command, values: Record<string, unknown>) => void;

const addCommand = (parser: Argv, command: Command, prefix: string, onCommand: OnCommand): Argv =>
    parser.command(
        command.syntax,
        command.description,
        subparser => {
            (command.examples ?? []).forEach(([text, description]) =>
                subparser.example(`${PROGRAM} ${text}`, description)
            );
            subparser.usage(`$0 ${prefix}${command.syntax}\n\n${command.description}`);
            return command.options === undefined ? subparser : command.options(subparser);
        },
        values => onCommand(command, values),
    );

const addGroup = (parser: Argv, group: CommandGroup, onCommand: OnCommand): Argv =>
    parser.command(group.name, group.description, subparser => {
        group.commands.forEach(command => addCommand(subparser, command, `${group.name} `, onCommand));
        return subparser.demandCommand(1, `${group.name}: a command is required`);
    });

const createParser = (onCommand: OnCommand): Argv => {
    const parser = yargs([])
        .scriptName(PROGRAM)
        .usage("$0 <command> [options]\n\nOperators' command line of waxwingspread")
        .option("control", {
            type: "string",
            requiresArg: true,
            description: "Control listeners host:port,...",
        })
        .option("token-file", {
            type: "string",
            requiresArg: true,
            description: "File with the operator token",
        })
        .option("output", {
            choices: Object.values(OutputFormat),
            default: OutputFormat.Table,
            description: "Output format",
        })
        .option("deadline-ms", {
            type: "string",
            description: `Time within which calls are retried; default ${DEFAULT_DEADLINE_MS}`,
            coerce: integerOption("deadline-ms", 1),
        })
        .option("call-timeout-ms", {
            type: "string",
            description: `Timeout of one attempt; default ${DEFAULT_CALL_TIMEOUT_MS}`,
            coerce: integerOption("call-timeout-ms", 1),
        })
        .example(`${PROGRAM} contract apply a.yaml --control 10.0.0.1:7001,10.0.1.1:7001`, "put a contract into force")
        .example(`${PROGRAM} zone out kosice-b`, "take an availability zone out of service")
        .example(`${PROGRAM} timeline --customer a --request-id r1 --html t.html`, "follow one request")
        // Ids such as 007 and 1e3 must stay strings, also as positional arguments.
        .parserConfiguration({
            ...NO_NUMBER_PARSING,
            "camel-case-expansion": false,
            "duplicate-arguments-array": false,
        })
        .completion("completion", "Print a completion script for bash or zsh")
        .demandCommand(1, "a command is required")
        .recommendCommands()
        .strict()
        .version(false)
        .help()
        .exitProcess(false)
        .epilogue(EPILOGUE)
        .wrap(null);
    GROUPS.forEach(group => addGroup(parser, group, onCommand));
    COMMANDS.forEach(command => addCommand(parser, command, "", onCommand));
    return parser;
};

/** Parses the arguments without running anything. */
export const parseCommandLine = async (argv: readonly string[]): Promise<ParsedCommandLine> => {
    let parsed: ParsedCommandLine = { kind: "text", text: "" };
    const parser = createParser((command, values) => {
        parsed = { kind: "run", command, values: new CommandArguments(values) };
    });
    try {
        await parser.parseAsync([...argv], {}, (error, unusedValues, output) => {
            if (error) {
                parsed = { kind: "fault", message: error.message };
            }
            else if (output !== "") {
                parsed = { kind: "text", text: `${output}\n` };
            }
        });
    }
    catch (error) {
        parsed = { kind: "fault", message: (error as Error).message };
    }
    return parsed;
};
