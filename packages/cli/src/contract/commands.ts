import { Err, Ok } from "ts-results-es";
import { stringify } from "yaml";
import { CliFailure, ExitCode } from "../command-line/cli-failure.js";
import type { CommandArguments, CommandContext, CommandGroup, CommandResult } from "../command-line/command.js";
import { addChangeOptions, execute, executeAtRevision } from "../command-line/execute-command.js";
import { diffContracts, formatDiff } from "./contract-diff.js";
import { toContract } from "./contract-message.js";
import { callerToken, createSecret } from "./credential.js";
import { readContractFile, readContractInForce } from "./read-contract.js";

const validate = async ({ io }: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const path = values.text("file");
    const file = await readContractFile(io, path);
    return file.map(contract => ({
        table: `${path}: valid contract of ${contract.customer}\n`,
        json: { file: path, valid: true, customer: contract.customer },
    }));
};

const diff = async (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const file = await readContractFile(context.io, values.text("file"));
    if (file.isErr()) {
        return file;
    }
    const client = await context.client();
    if (client.isErr()) {
        return client;
    }
    const inForce = await readContractInForce(client.value, file.value.customer);
    return inForce.map(({ contract, revision }) => {
        const changes = diffContracts(contract, file.value);
        const title = contract === undefined ? "new customer" : `${changes.length} fields differ`;
        return {
            table: `${file.value.customer}: ${title} (revision ${revision})\n${formatDiff(changes)}`,
            json: { customer: file.value.customer, newCustomer: contract === undefined, revision, changes },
        };
    });
};

const apply = async (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const file = await readContractFile(context.io, values.text("file"));
    if (file.isErr()) {
        return file;
    }
    const { customer } = file.value;
    const subject = `contract of ${customer}`;
    const kind = { case: "writeContract" as const, value: toContract(file.value) };
    if (values.optionalNumber("expected-revision") !== undefined) {
        return execute(context, values, subject, kind);
    }
    const client = await context.client();
    if (client.isErr()) {
        return client;
    }
    const inForce = await readContractInForce(client.value, customer);
    if (inForce.isErr()) {
        return inForce;
    }
    const { contract, revision } = inForce.value;
    if (contract !== undefined && diffContracts(contract, file.value).length === 0) {
        const table = `${subject}: unchanged, revision ${revision}\n`;
        return Ok({ table, json: { subject, revision, unchanged: true } });
    }
    return executeAtRevision(context, values, client.value, { subject, kind, revision });
};

const remove = (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const customer = values.text("customer");
    return execute(context, values, `removal of ${customer}`, { case: "removeContract", value: customer });
};

const show = async (context: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const client = await context.client();
    if (client.isErr()) {
        return client;
    }
    const customer = values.text("customer");
    const inForce = await readContractInForce(client.value, customer);
    return inForce.andThen(({ contract, revision }) =>
        contract === undefined
            ? Err(new CliFailure(ExitCode.Refused, `no contract of ${customer} at revision ${revision}`))
            : Ok({ table: `# revision ${revision}\n${stringify(contract)}`, json: { revision, contract } })
    );
};

const newCredential = ({ io }: CommandContext, values: CommandArguments): Promise<CommandResult> => {
    const customer = values.text("customer");
    const credentialId = values.text("credentialId");
    const { secret, saltHex, sha256Hex } = createSecret(count => io.randomBytes(count));
    const token = callerToken(customer, credentialId, secret);
    const credential = { credentialId, saltHex, sha256Hex };
    const table = [
        "# Token of the caller. It is shown once and stored nowhere.",
        token,
        "# Entry for the contract's list of credentials:",
        stringify([credential]),
    ].join("\n");
    return Promise.resolve(Ok({ table, json: { token, credential } }));
};

/** Commands on contracts. */
export const contractCommands: CommandGroup = {
    name: "contract",
    description: "Write, check and show customers' contracts",
    commands: [
        {
            syntax: "apply <file>",
            description: "Put a contract file into force",
            examples: [
                ["contract apply examples/filter-maker.contract.yaml", "based on the revision read just before"],
                ["contract apply a.yaml --expected-revision 7", "refused when someone else has changed anything since"],
            ],
            options: addChangeOptions,
            handle: apply,
        },
        {
            syntax: "validate <file>",
            description: "Check a contract file without connecting",
            examples: [["contract validate a.yaml", "errors are printed as file:line:column: field: message"]],
            handle: validate,
        },
        { syntax: "diff <file>", description: "Show what a file would change", handle: diff },
        { syntax: "show <customer>", description: "Print the contract in force as a file", handle: show },
        {
            syntax: "remove <customer>",
            description: "End a contract; the customer's queued jobs end as not-run",
            options: addChangeOptions,
            handle: remove,
        },
        {
            syntax: "new-credential <customer> <credentialId>",
            description: "Generate a caller's token and its hash for the contract file",
            examples: [["contract new-credential filter-maker quotes", "prints the token once"]],
            handle: newCredential,
        },
    ],
};
