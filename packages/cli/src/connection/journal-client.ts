import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { ErrorCode, JournalService, ReadJournalRequestSchema } from "@waxwingspread/protocol";
import type { ReadJournalResponse } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { attemptCall } from "./attempt-call.js";
import { ConnectionPool } from "./connection-pool.js";

/** Reads event journals from the operators' listeners of processes. */
export class JournalClient {
    readonly #pool = new ConnectionPool();

    constructor(readonly operatorToken: string, readonly callTimeoutMs: number) {}

    /** Reads the journal of one process. */
    async read(
        address: string,
        request: MessageInitShape<typeof ReadJournalRequestSchema>,
    ): Promise<Result<ReadJournalResponse, StepError>> {
        const message = create(ReadJournalRequestSchema, { ...request, operatorToken: this.operatorToken });
        const target = { step: "read-journal", address, timeoutMs: this.callTimeoutMs };
        const attempt = await attemptCall(
            this.#pool,
            target,
            options => this.#pool.client(JournalService, address).readJournal(message, options),
        );
        return attempt.answer === undefined || attempt.error !== undefined
            ? Err(attempt.error ?? new StepError(ErrorCode.UNAVAILABLE, target.step, address, "no answer"))
            : Ok(attempt.answer);
    }

    close(): void {
        this.#pool.close();
    }
}
