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
import type { Attempt, ResponseWithError } from "./attempt-call.js";
import { AttemptOutcome } from "./call-outcome.js";
import { ConnectionPool } from "./connection-pool.js";
import { isAddress } from "./connection-settings.js";
import type { ConnectionSettings } from "./connection-settings.js";

/** Delay after a replica could not serve the call; an election takes 0.4 to 1.2 s. */
const RETRY_DELAY_MS = 150;
/** Upper bound of the retry delay that a refusal may ask for. */
const MAXIMUM_RETRY_DELAY_MS = 2_000;

/** Error codes that a leader returns only after it has looked up an earlier outcome of the same command id. */
const CONCLUSIVE_REFUSALS = new Set([ErrorCode.REVISION_CONFLICT, ErrorCode.COMMAND_ID_REUSED]);

type ControlCall<T> = (client: Client<typeof ControlService>, options: CallOptions) => Promise<T>;

/** Calls the control leader: finds it, follows the leader hints of replicas, and retries calls until a deadline. */
export class ControlClient {
    readonly #settings: ConnectionSettings;
    readonly #io: CliIo;
    readonly #pool = new ConnectionPool();
    #leaderAddress: string | undefined;
    #nextAddressIndex = 0;

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
            const retryOptions = `--command-id ${command.commandId} --expected-revision ${command.expectedRevision}`;
            const hint = `; to learn the outcome, repeat the command with ${retryOptions}`;
            return failure.exitCode === ExitCode.OutcomeUnknown
                ? new CliFailure(failure.exitCode, failure.message + hint, failure.stepError)
                : failure;
        });
    }

    /** Reads the description of the replica at a control listener, which does not need to be the leader. */
    async describe(address: string): Promise<Result<DescribeResponse, CliFailure>> {
        const call = { step: "describe", address, timeoutMs: this.#settings.callTimeoutMs };
        const attempt = await attemptCall<DescribeResponse & ResponseWithError>(
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

    async #callLeader<T extends ResponseWithError>(step: string, call: ControlCall<T>): Promise<Result<T, CliFailure>> {
        const deadlineAtMs = this.#io.nowMs() + this.#settings.deadlineMs;
        let isUncertain = false;
        let consecutiveHints = 0;
        let lastError: StepError | undefined;
        do {
            const address = this.#nextAddress();
            const client = this.#pool.client(ControlService, address);
            const target = { step, address, timeoutMs: this.#settings.callTimeoutMs };
            const attempt = await attemptCall(this.#pool, target, options => call(client, options));
            if (attempt.answer !== undefined && isConclusive(attempt, isUncertain)) {
                this.#leaderAddress = address;
                return attempt.error === undefined ? Ok(attempt.answer) : Err(refusalFailure(attempt.error));
            }
            isUncertain ||= attempt.outcome === AttemptOutcome.Uncertain;
            lastError = attempt.error;
            consecutiveHints = this.#followHint(address, attempt.error?.leaderAddress) ? consecutiveHints + 1 : 0;
            // A first hint is followed at once. Two replicas may name each other as leader during an election, so that
            // any further hint is followed after a delay only.
            if (consecutiveHints !== 1) {
                await this.#io.sleep(retryDelayMs(attempt.error));
            }
        }
        while (this.#io.nowMs() < deadlineAtMs);
        return Err(deadlineFailure(step, isUncertain, this.#settings, lastError));
    }

    #nextAddress(): string {
        const { addresses } = this.#settings;
        if (this.#leaderAddress !== undefined) {
            return this.#leaderAddress;
        }
        const address = addresses[this.#nextAddressIndex % addresses.length] ?? "";
        this.#nextAddressIndex += 1;
        return address;
    }

    /** Uses the leader address in a hint. Ignores an invalid address and a hint of a replica to itself. */
    #followHint(calledAddress: string, hint: string | undefined): boolean {
        const isUsable = hint !== undefined && hint !== calledAddress && isAddress(hint);
        this.#leaderAddress = isUsable ? hint : undefined;
        return isUsable;
    }
}

/**
 * Returns whether the result of an attempt is the result of the call. After an earlier attempt that may have been
 * executed, a refusal is conclusive only if the leader has checked the command id first. For example, a membership
 * change in progress may have been started by the earlier attempt, and a disk that is no longer a learner may have been
 * promoted by it.
 */
const isConclusive = (attempt: Attempt<unknown>, isUncertain: boolean): boolean => {
    const isDecided = attempt.error === undefined || !isUncertain || CONCLUSIVE_REFUSALS.has(attempt.error.code);
    return attempt.outcome === AttemptOutcome.Final && isDecided;
};

const retryDelayMs = (error: StepError | undefined): number =>
    Math.min(MAXIMUM_RETRY_DELAY_MS, Math.max(RETRY_DELAY_MS, error?.retryAfterMs ?? 0));

const refusalFailure = (error: StepError): CliFailure => {
    const revision = error.currentRevision === undefined ? "" : `; current revision ${error.currentRevision}`;
    const text = `refused by ${error.peer || "the leader"}: ${errorCodeName(error.code)}: ${error.message}${revision}`;
    return new CliFailure(ExitCode.Refused, text, error);
};

const deadlineFailure = (
    step: string,
    isUncertain: boolean,
    settings: ConnectionSettings,
    error: StepError | undefined,
): CliFailure => {
    const lastAnswer = error === undefined ? "" : `; last answer from ${error.peer}: ${error.message}`;
    const callDescription = `${step} at ${settings.addresses.join(",")} within ${settings.deadlineMs} ms`;
    return isUncertain
        ? new CliFailure(
            ExitCode.OutcomeUnknown,
            `outcome not known: no final answer (${callDescription})${lastAnswer}`,
            error,
        )
        : new CliFailure(
            ExitCode.Unavailable,
            `unavailable: no leader answered (${callDescription})${lastAnswer}`,
            error,
        );
};
