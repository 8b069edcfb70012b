import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { OperatorCommandSchema, QueryKind } from "@waxwingspread/protocol";
import type { OperatorCommand, OperatorResult } from "@waxwingspread/protocol";
import { Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { Argv } from "yargs";
import type { ControlClient } from "../connection/control-client.js";
import { toHex } from "../output/format-values.js";
import type { CliFailure } from "./cli-failure.js";
import { integerOption } from "./command.js";
import type { CommandArguments, CommandContext, CommandOutput, CommandResult } from "./command.js";

const COMMAND_ID_BYTES = 16;

/** The change that an operator's command requests. */
export type CommandKind = OperatorCommand["kind"];

/** Adds the options of every command that changes the configuration or the membership. */
export const addChangeOptions = (parser: Argv): Argv =>
    parser
        .option("expected-revision", {
            type: "string",
            description: "Revision that the change is based on; read from the leader if omitted",
            coerce: integerOption("expected-revision", 0),
        })
        .option("command-id", {
            type: "string",
            description: "Id of an earlier command whose outcome is unknown, to learn its outcome",
            implies: "expected-revision",
        });

/** Returns the revision given by the operator, or else the current one, read from the leader. */
export const readExpectedRevision = async (
    client: ControlClient,
    values: CommandArguments,
): Promise<Result<number, CliFailure>> => {
    const given = values.optionalNumber("expected-revision");
    if (given !== undefined) {
        return Ok(given);
    }
    const answer = await client.query({ kind: QueryKind.CONFIGURATION });
    return answer.map(result => result.configuration?.revision ?? result.revision);
};

/** Returns the command id given by the operator, or else a new random one. */
const resolveCommandId = (context: CommandContext, values: CommandArguments): string =>
    values.optionalText("command-id") ?? toHex(context.io.randomBytes(COMMAND_ID_BYTES));

const describeResult = (subject: string, commandId: string, result: OperatorResult): CommandOutput => {
    const repeated = result.repeatedCommand ? " (outcome of an earlier send)" : "";
    return {
        table: `${subject}: done, revision ${result.revision}${repeated}\n`,
        json: { subject, commandId, revision: result.revision, repeatedCommand: result.repeatedCommand },
    };
};

/** Sends one command with the given expected revision. */
export const executeAtRevision = async (
    context: CommandContext,
    values: CommandArguments,
    client: ControlClient,
    command: { subject: string; kind: MessageInitShape<typeof OperatorCommandSchema>["kind"]; revision: number },
): Promise<CommandResult> => {
    const commandId = resolveCommandId(context, values);
    const message = create(OperatorCommandSchema, {
        commandId,
        expectedRevision: command.revision,
        kind: command.kind,
    });
    const result = await client.execute(message);
    return result.map(answer => describeResult(command.subject, commandId, answer));
};

/** Sends one command; reads the current revision first unless the operator has given one. */
export const execute = async (
    context: CommandContext,
    values: CommandArguments,
    subject: string,
    kind: MessageInitShape<typeof OperatorCommandSchema>["kind"],
): Promise<CommandResult> => {
    const client = await context.client();
    if (client.isErr()) {
        return client;
    }
    const revision = await readExpectedRevision(client.value, values);
    return revision.isErr()
        ? revision
        : executeAtRevision(context, values, client.value, { subject, kind, revision: revision.value });
};
