import { messageOf } from "@waxwingspread/common";
import { MaintenanceOutcome } from "@waxwingspread/workflow";
import type { BeginMaintenance, QueryEligibility } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import type { PlatformServices } from "./platform-services.js";

/** Construction parameters of {@link PlatformCalls}. */
export interface PlatformCallsOptions {
    services: PlatformServices;
    /** Called after a result was passed to the leader session, which then has something to decide. */
    onResult: () => void;
    /** Receives the duration of each query to the eligibility service, and whether it was answered. */
    onEligibilityQuery: (isAnswered: boolean, durationMs: number) => void;
    logger: Logger;
}

/** Executes the leader's calls to the platform's services and passes the results to the leader session. */
export class PlatformCalls {
    readonly #options: PlatformCallsOptions;

    constructor(options: PlatformCallsOptions) {
        this.#options = options;
    }

    /** Queries the eligibility service; responds with undefined if it fails. */
    async checkEligibility(...[query, respond]: Parameters<QueryEligibility>): Promise<void> {
        const { services, onResult, onEligibilityQuery, logger } = this.#options;
        const sentAtMs = monotonicNowMs();
        const eligible = await services.checkEligibility(query).catch((error: unknown) => {
            logger.warn({ step: query.step, reason: messageOf(error) }, "eligibility check failed");
            return undefined;
        });
        const answeredAtMs = monotonicNowMs();
        onEligibilityQuery(eligible !== undefined, answeredAtMs - sentAtMs);
        this.#pass(() => respond(eligible, answeredAtMs));
        onResult();
    }

    /** Asks the platform to begin the maintenance of a VM. */
    async beginMaintenance(...[call, respond]: Parameters<BeginMaintenance>): Promise<void> {
        const { services, onResult, logger } = this.#options;
        const outcome = await services.beginMaintenance(call).catch((error: unknown) => {
            logger.error({ ...call, err: error }, "maintenance call failed unexpectedly");
            return MaintenanceOutcome.Retry;
        });
        logger.info({ ...call, outcome }, "maintenance call finished");
        this.#pass(() => respond(outcome, monotonicNowMs()));
        onResult();
    }

    /** Passes a result to the session. An error is logged; thrown from here, it would end the process. */
    #pass(respond: () => void): void {
        try {
            respond();
        }
        catch (error) {
            this.#options.logger.error({ err: error }, "the answer of a platform service can't be handled");
        }
    }
}
