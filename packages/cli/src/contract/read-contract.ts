import { messageOf } from "@waxwingspread/common";
import { QueryKind } from "@waxwingspread/protocol";
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import { usageFailure } from "../command-line/cli-failure.js";
import type { CliFailure } from "../command-line/cli-failure.js";
import type { CliIo } from "../command-line/cli-io.js";
import type { ControlClient } from "../connection/control-client.js";
import { formatDiagnostics, parseContractFile } from "./contract-file.js";
import { toContractFile } from "./contract-message.js";
import type { ContractFile } from "./contract-schema.js";

/** Contract in force, if any, with the revision at which it was read. */
export interface ContractInForce {
    readonly contract: ContractFile | undefined;
    readonly revision: number;
}

/** Reads, parses and validates a contract file. */
export const readContractFile = async (io: CliIo, path: string): Promise<Result<ContractFile, CliFailure>> => {
    try {
        const text = await io.readFile(path);
        return parseContractFile(text, path).mapErr(diagnostics => usageFailure(formatDiagnostics(path, diagnostics)));
    }
    catch (error) {
        return Err(usageFailure(`cannot read ${path}: ${messageOf(error)}`));
    }
};

/** Reads the contract of a customer from the leader. */
export const readContractInForce = async (
    client: ControlClient,
    customer: string,
): Promise<Result<ContractInForce, CliFailure>> => {
    const answer = await client.query({ kind: QueryKind.CONFIGURATION });
    return answer.map(({ configuration, revision }) => {
        const found = configuration?.contracts.find(item => item.customer === customer);
        return {
            contract: found === undefined ? undefined : toContractFile(found),
            revision: configuration?.revision ?? revision,
        };
    });
};
