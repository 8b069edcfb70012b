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
import { AttemptVerdict } from "./call-outcome.js";
import { ConnectionPool } from "./connection-pool.js";
import { isAddress } from "./connection-settings.js";
import type { ConnectionSettings } from "./connection-settings.js";

/** Pause after a replica that couldn't serve the call; an election takes 0.4 to 1.2 s. */
const RETRY_DELAY_MS = 150;
/** A refused call may ask for a later retry, but never for longer than this. */
const MAXIMUM_RETRY_DELAY_MS = 2_000;

/** Refusals that a leader gives only after it has looked for an earlier outcome of the same command id. */
const DECIDED_BY_COMMAND_ID = new Set([ErrorCode.REVISION_CONFLICT, ErrorCode.COMMAND_ID_REUSED]);

type ControlCall<T> = (client: Client<typeof ControlService>, options: CallOptions) => Promise<T>;

/** Calls to the control leader: finds it, follows its hints, and repeats calls until a deadline. */
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

    /** Reads from the leader. */
    async query(
        query: MessageInitShape<typeof OperatorQuerySchema>,
    ): Promise<Result<OperatorQueryResult, CliFailure>> {
        const message = create(OperatorQuerySchema, { ...query, operatorToken: this.#settings.operatorToken });
        const result = await this.#callLeader("query", (client, options) => client.query(message, options));
        // A read changes nothing, so that a lost answer leaves no doubt.
        return result.mapErr(failure =>
            failure.exitCode === ExitCode.OutcomeUnknown
                ? new CliFailure(ExitCode.Unavailable, failure.message, failure.stepError)
                : failure
        );
    }

    /** Carries out a command. Every repetition has the same command id, so that it takes effect once. */
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

    /** Asks the control listener of one replica what it is. */
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
            uncertain ||= attempt.verdict === AttemptVerdict.Uncertain;
            lastError = attempt.error;
            hintsInRow = this.#followHint(address, attempt.error?.leaderAddress) ? hintsInRow + 1 : 0;
            // Two replicas that name each other during an election must not be asked without a pause.
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

    /** Takes the leader named by a replica. A hint back to the replica itself is of no use. */
    #followHint(askedAddress: string, hint: string | undefined): boolean {
        const useful = hint !== undefined && hint !== askedAddress && isAddress(hint);
        this.#leaderAddress = useful ? hint : undefined;
        return useful;
    }
}

/**
 * Tells whether an attempt settles the call. After an earlier attempt that may have been carried out, a refusal does so
 * only when the leader decides it with regard to the command id. For example, a membership change in progress may be
 * the one that the earlier attempt began, and a disk that is no learner any more may have been promoted by it.
 */
const settles = (attempt: Attempt<unknown>, uncertain: boolean): boolean => {
    const decided = attempt.error === undefined || !uncertain || DECIDED_BY_COMMAND_ID.has(attempt.error.code);
    return attempt.verdict === AttemptVerdict.Final && decided;
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
