import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { CallOptions, Client } from "@connectrpc/connect";
import { errorCodeName } from "@waxwingspread/common";
import type { StepError } from "@waxwingspread/common";
import {
    ControlService,
    ErrorCode,
    OperatorCommandSchema,
    OperatorQuerySchema,
    ReplicaService,
} from "@waxwingspread/protocol";
import type { DescribeResponse, OperatorCommand, OperatorQueryResult, OperatorResult } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { CliFailure, ExitCode } from "../command-line/cli-failure.js";
import type { CliIo } from "../command-line/cli-io.js";
import { attemptCall } from "./attempt-call.js";
import type { Answer, Attempt } from "./attempt-call.js";
import { AttemptOutcome } from "./call-outcome.js";
import { ConnectionPool } from "./connection-pool.js";
import { isAddress } from "./connection-settings.js";
import type { ConnectionSettings } from "./connection-settings.js";

/** Delay after a replica could not serve the call; an election takes 0.4 to 1.2 s. */
const RETRY_DELAY_MS = 150;
/** Upper bound of the retry delay that a refusal may ask for. */
const MAXIMUM_RETRY_DELAY_MS = 2_000;

/** Error codes that a leader returns only after it has looked up an earlier outcome of the same command id. */
const DECIDED_BY_COMMAND_ID = new Set([ErrorCode.REVISION_CONFLICT, ErrorCode.COMMAND_ID_REUSED]);

type ControlCall<T> = (client: Client<typeof ControlService>, options: CallOptions) => Promise<T>;

/** Calls the control leader: finds it, follows the leader hints of replicas, and retries calls until a deadline. */
export class ControlClient {
    readonly #settings: ConnectionSettings;
    readonly #io: CliIo;
    readonly #pool = new ConnectionPool();
    #leaderAddress: string | undefined;
    #position = 0;

    constructor(settings: ConnectionSettings, io: CliIo) {
        this.#settings = settings;
        this.#io = io;
    }

    /** Sends a read-only query to the leader. */
    async query(
        query: MessageInitShape<typeof OperatorQuerySchema>,
    ): Promise<Result<OperatorQueryResult, CliFailure>> {
        const message = create(OperatorQuerySchema, { ...query, operatorToken: this.#settings.operatorToken });
        const result = await this.#callLeader("query", (client, options) => client.query(message, options));
        // A query changes nothing, so a lost response does not leave its effect unknown.
        return result.mapErr(failure =>
            failure.exitCode === ExitCode.OutcomeUnknown
                ? new CliFailure(ExitCode.Unavailable, failure.message, failure.stepError)
                : failure
        );
    }

    /** Executes a command. Every retry has the same command id, so that the command takes effect once. */
    async execute(command: OperatorCommand): Promise<Result<OperatorResult, CliFailure>> {
        const message = create(OperatorCommandSchema, { ...command, operatorToken: this.#settings.operatorToken });
        const result = await this.#callLeader("execute", (client, options) => client.execute(message, options));
        return result.mapErr(failure => {
            const resend = `--command-id ${command.commandId} --expected-revision ${command.expectedRevision}`;
            const hint = `; to learn the outcome, repeat the command with ${resend}`;
            return failure.exitCode === ExitCode.OutcomeUnknown
                ? new CliFailure(failure.exitCode, failure.message + hint, failure.stepError)
                : failure;
        });
    }

    /** Reads the description of the replica at a control listener, which does not need to be the leader. */
    async describe(address: string): Promise<Result<DescribeResponse, CliFailure>> {
        const call = { step: "describe", address, timeoutMs: this.#settings.callTimeoutMs };
        const attempt = await attemptCall<DescribeResponse & Answer>(
            this.#pool,
            call,
            options => this.#pool.client(ReplicaService, address).describe({}, options),
        );
        return attempt.answer === undefined
            ? Err(new CliFailure(ExitCode.Unavailable, `${address} didn't answer: ${attempt.error?.message}`))
            : Ok(attempt.answer);
    }

    close(): void {
        this.#pool.close();
    }

    async #callLeader<T extends Answer>(step: string, call: ControlCall<T>): Promise<Result<T, CliFailure>> {
        const deadlineAtMs = this.#io.nowMs() + this.#settings.deadlineMs;
        let uncertain = false;
        let hintsInRow = 0;
        let lastError: StepError | undefined;
        do {
            const address = this.#nextAddress();
            const client = this.#pool.client(ControlService, address);
            const where = { step, address, timeoutMs: this.#settings.callTimeoutMs };
            const attempt = await attemptCall(this.#pool, where, options => call(client, options));
            if (attempt.answer !== undefined && settles(attempt, uncertain)) {
                this.#leaderAddress = address;
                return attempt.error === undefined ? Ok(attempt.answer) : Err(refusal(attempt.error));
            }
            uncertain ||= attempt.outcome === AttemptOutcome.Uncertain;
            lastError = attempt.error;
            hintsInRow = this.#followHint(address, attempt.error?.leaderAddress) ? hintsInRow + 1 : 0;
            // Two replicas may name each other as leader during an election; a delay prevents a tight loop.
            if (hintsInRow !== 1) {
                await this.#io.sleep(retryDelayMs(attempt.error));
            }
        }
        while (this.#io.nowMs() < deadlineAtMs);
        return Err(deadlineFailure(step, uncertain, this.#settings, lastError));
    }

    #nextAddress(): string {
        const { addresses } = this.#settings;
        if (this.#leaderAddress !== undefined) {
            return this.#leaderAddress;
        }
        const address = addresses[this.#position % addresses.length] ?? "";
        this.#position += 1;
        return address;
    }

    /** Uses the leader address in a hint. Ignores an invalid address and a hint of a replica to itself. */
    #followHint(askedAddress: string, hint: string | undefined): boolean {
        const useful = hint !== undefined && hint !== askedAddress && isAddress(hint);
        this.#leaderAddress = useful ? hint : undefined;
        return useful;
    }
}

/**
 * Returns whether the result of an attempt is the result of the call. After an earlier attempt that may have been
 * executed, a refusal is conclusive only if the leader has checked the command id first. For example, a membership
 * change in progress may have been started by the earlier attempt, and a disk that is no longer a learner may have been
 * promoted by it.
 */
const settles = (attempt: Attempt<unknown>, uncertain: boolean): boolean => {
    const decided = attempt.error === undefined || !uncertain || DECIDED_BY_COMMAND_ID.has(attempt.error.code);
    return attempt.outcome === AttemptOutcome.Final && decided;
};

const retryDelayMs = (error: StepError | undefined): number =>
    Math.min(MAXIMUM_RETRY_DELAY_MS, Math.max(RETRY_DELAY_MS, error?.retryAfterMs ?? 0));

const refusal = (error: StepError): CliFailure => {
    const revision = error.currentRevision === undefined ? "" : `; current revision ${error.currentRevision}`;
    const text = `refused by ${error.peer || "the leader"}: ${errorCodeName(error.code)}: ${error.message}${revision}`;
    return new CliFailure(ExitCode.Refused, text, error);
};

const deadlineFailure = (
    step: string,
    uncertain: boolean,
    settings: ConnectionSettings,
    error: StepError | undefined,
): CliFailure => {
    const last = error === undefined ? "" : `; last answer from ${error.peer}: ${error.message}`;
    const asked = `${step} at ${settings.addresses.join(",")} within ${settings.deadlineMs} ms`;
    return uncertain
        ? new CliFailure(ExitCode.OutcomeUnknown, `outcome not known: no final answer (${asked})${last}`, error)
        : new CliFailure(ExitCode.Unavailable, `unavailable: no leader answered (${asked})${last}`, error);
};
