import type { MessageInitShape } from "@bufbuild/protobuf";
import type { OperatorQueryResult, OperatorQuerySchema } from "@waxwingspread/protocol";
import type { Command, CommandArguments, CommandOutput } from "../command-line/command.js";

/** A command that sends one query and prints the result. */
export interface Listing extends Omit<Command, "handle"> {
    readonly query: (values: CommandArguments) => MessageInitShape<typeof OperatorQuerySchema>;
    readonly describe: (result: OperatorQueryResult) => CommandOutput;
}

/** Creates the command for a listing. */
export const listingCommand = ({ query, describe, ...command }: Listing): Command => ({
    ...command,
    handle: async (context, values) => {
        const client = await context.client();
        if (client.isErr()) {
            return client;
        }
        const answer = await client.value.query(query(values));
        return answer.map(describe);
    },
});
