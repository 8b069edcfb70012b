import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { CliFailure, ExitCode, usageFailure } from "../command-line/cli-failure.js";
import type { CommandArguments, CommandContext, CommandGroup, CommandResult } from "../command-line/command.js";
import { addChangeOptions, execute } from "../command-line/execute-command.js";
import { isAddress } from "../connection/connection-settings.js";
import type { ControlClient } from "../connection/control-client.js";

interface Identity {
    readonly name: string;
    readonly diskId: string;
    readonly address: string;
}

/** Returns the identity from the arguments, or else reads it from the replica. */
const resolveIdentity = async (
    client: ControlClient,
    values: CommandArguments,
    address: string,
): Promise<Result<Identity, CliFailure>> => {
    const name = values.optionalText("name");
    const diskId = values.optionalText("disk-id");
    if (name !== undefined && diskId !== undefined) {
        return Ok({ name, diskId, address });
    }
    const description = await client.describe(address);
    return description.andThen(({ identity }) =>
        identity?.diskId
            ? Ok({ name: identity.name, diskId: identity.diskId, address })
            : Err(new CliFailure(ExitCode.Refused, `${address} has no disk identity`))
    );
};

const add = async (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const address = values.text("address");
    if (!isAddress(address)) {
        return Err(usageFailure(`address: given ${JSON.stringify(address)}; allowed: host:port of a control listener`));
    }
    const client = await context.client();
    if (client.isErr()) {
        return client;
    }
    const identity = await resolveIdentity(client.value, values, address);
    if (identity.isErr()) {
        return identity;
    }
    const subject = `replica ${identity.value.name} (disk ${identity.value.diskId}) added as learner`;
    return execute(context, values, subject, { case: "addReplica", value: identity.value });
};

const promote = (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const diskId = values.text("diskId");
    const kind = { case: "promoteReplicaDiskId" as const, value: diskId };
    return execute(context, values, `disk ${diskId} promoted to voter`, kind);
};

const remove = (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const diskId = values.text("diskId");
    const kind = { case: "removeReplicaDiskId" as const, value: diskId };
    return execute(context, values, `disk ${diskId} removed`, kind);
};

/** Commands on the members of the replicated log. */
export const replicaCommands: CommandGroup = {
    name: "replica",
    description: "Change the members of the replicated log, one at a time",
    commands: [
        {
            syntax: "add <address>",
            description: "Add the replica at a control listener as a learner",
            examples: [["replica add 10.0.1.1:7001", "reads the name and the disk identity from the replica"]],
            options: parser =>
                addChangeOptions(parser)
                    .option("name", {
                        type: "string",
                        description: "Name; read from the replica if omitted",
                        implies: "disk-id",
                    })
                    .option("disk-id", {
                        type: "string",
                        description: "Disk identity; read from the replica if omitted",
                        implies: "name",
                    }),
            handle: add,
        },
        {
            syntax: "promote <diskId>",
            description: "Make a learner that has caught up a voter",
            options: addChangeOptions,
            handle: promote,
        },
        {
            syntax: "remove <diskId>",
            description: "Remove a member, for example one whose disk is lost",
            options: addChangeOptions,
            handle: remove,
        },
    ],
};
