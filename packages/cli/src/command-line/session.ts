import { Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import {
    DEFAULT_CALL_TIMEOUT_MS,
    readConnectionSettings,
    readOperatorToken,
} from "../connection/connection-settings.js";
import { ControlClient } from "../connection/control-client.js";
import { JournalClient } from "../connection/journal-client.js";
import type { CliFailure } from "./cli-failure.js";
import type { CliIo } from "./cli-io.js";
import type { CommandArguments, CommandContext, CommandOutput } from "./command.js";

const JSON_INDENT = 2;

/** Output formats; the values of `--output`. */
export enum OutputFormat {
    Table = "table",
    Json = "json",
}

/** Context of one command run. Owns the connections and formats the output. */
export class Session implements CommandContext {
    readonly #values: CommandArguments;
    readonly #format: OutputFormat;
    #client: ControlClient | undefined;
    #journalClient: JournalClient | undefined;

    constructor(readonly io: CliIo, values: CommandArguments) {
        this.#values = values;
        this.#format = values.optionalText("output") === OutputFormat.Json ? OutputFormat.Json : OutputFormat.Table;
    }

    async client(): Promise<Result<ControlClient, CliFailure>> {
        if (this.#client !== undefined) {
            return Ok(this.#client);
        }
        const settings = await readConnectionSettings(this.io, this.#values);
        return settings.map(value => this.#client = new ControlClient(value, this.io));
    }

    async journalClient(): Promise<Result<JournalClient, CliFailure>> {
        const token = await readOperatorToken(this.io, this.#values);
        const timeoutMs = this.#values.optionalNumber("call-timeout-ms") ?? DEFAULT_CALL_TIMEOUT_MS;
        return token.map(value => this.#journalClient = new JournalClient(value, timeoutMs));
    }

    print(output: CommandOutput): void {
        const json = (): string => `${JSON.stringify(output.json, undefined, JSON_INDENT)}\n`;
        this.io.writeOut(this.#format === OutputFormat.Json ? json() : output.table);
    }

    printFailure(failure: CliFailure): void {
        const json = (): string => `${JSON.stringify(failure.toJson(), undefined, JSON_INDENT)}\n`;
        this.io.writeError(this.#format === OutputFormat.Json ? json() : `${failure.message}\n`);
    }

    close(): void {
        this.#client?.close();
        this.#journalClient?.close();
    }
}
