import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { CliFailure } from "../command-line/cli-failure.js";
import { usageFailure } from "../command-line/cli-failure.js";
import type { CliIo } from "../command-line/cli-io.js";
import type { CommandArguments } from "../command-line/command.js";

/** Environment variable with the addresses of control listeners. */
export const CONTROL_VARIABLE = "WAXWINGSPREAD_CONTROL";
/** Environment variable with the operator token. */
export const TOKEN_VARIABLE = "WAXWINGSPREAD_OPERATOR_TOKEN";
/** Long enough for several elections (at most 1.2 s each). */
export const DEFAULT_DEADLINE_MS = 15_000;
/** Timeout of one attempt, after which another replica is called. */
export const DEFAULT_CALL_TIMEOUT_MS = 2_000;

const ADDRESS_PATTERN = /^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):(\d{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** Addresses, operator token and time limits of calls. */
export interface ConnectionSettings {
    readonly addresses: readonly string[];
    readonly operatorToken: string;
    readonly deadlineMs: number;
    readonly callTimeoutMs: number;
}

/** Returns whether a string is `host:port` with a valid port. */
export const isAddress = (text: string): boolean => {
    const port = Number(ADDRESS_PATTERN.exec(text)?.[2] ?? 0);
    return port >= 1 && port <= MAXIMUM_PORT;
};

/** Parses a comma-separated list of `host:port`; `source` names the flag or variable in error messages. */
export const parseAddresses = (source: string, text: string): Result<string[], CliFailure> => {
    const addresses = text.split(",").map(item => item.trim());
    const invalid = addresses.filter(item => !isAddress(item));
    return invalid.length > 0
        ? Err(usageFailure(`${source}: given ${JSON.stringify(invalid.join(","))}; allowed: host:port,...`))
        : Ok(addresses);
};

/** Reads the operator token from `--token-file` or else from the environment. */
export const readOperatorToken = async (
    io: CliIo,
    values: CommandArguments,
): Promise<Result<string, CliFailure>> => {
    const path = values.optionalText("token-file");
    if (path === undefined) {
        const token = io.environment[TOKEN_VARIABLE];
        return token ? Ok(token) : Err(usageFailure(`no operator token: set ${TOKEN_VARIABLE} or give --token-file`));
    }
    try {
        const token = (await io.readFile(path)).trim();
        return token === "" ? Err(usageFailure(`--token-file: ${path} is empty`)) : Ok(token);
    }
    catch (error) {
        return Err(usageFailure(`--token-file: cannot read ${path}: ${(error as Error).message}`));
    }
};

/** Reads addresses, token and time limits from the flags and the environment. */
export const readConnectionSettings = async (
    io: CliIo,
    values: CommandArguments,
): Promise<Result<ConnectionSettings, CliFailure>> => {
    const flag = values.optionalText("control");
    const text = flag ?? io.environment[CONTROL_VARIABLE];
    if (!text) {
        return Err(usageFailure(`no control address: give --control host:port,... or set ${CONTROL_VARIABLE}`));
    }
    const addresses = parseAddresses(flag === undefined ? CONTROL_VARIABLE : "--control", text);
    if (addresses.isErr()) {
        return addresses;
    }
    const token = await readOperatorToken(io, values);
    return token.map(operatorToken => ({
        addresses: addresses.value,
        operatorToken,
        deadlineMs: values.optionalNumber("deadline-ms") ?? DEFAULT_DEADLINE_MS,
        callTimeoutMs: values.optionalNumber("call-timeout-ms") ?? DEFAULT_CALL_TIMEOUT_MS,
    }));
};
