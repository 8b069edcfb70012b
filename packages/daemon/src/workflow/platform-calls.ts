import { messageOf } from "@waxwingspread/common";
import type { BeginMaintenance, QueryEligibility } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import type { PlatformServices } from "./platform-services.js";

/** Construction parameters of {@link PlatformCalls}. */
export interface PlatformCallsOptions {
    services: PlatformServices;
    /** Called after a result was passed to the leader session, which then has something to decide. */
    onResult: () => void;
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
        const { services, onResult, logger } = this.#options;
        const eligible = await services.checkEligibility(query).catch((error: unknown) => {
            logger.warn({ step: query.step, reason: messageOf(error) }, "eligibility check failed");
            return undefined;
        });
        respond(eligible, monotonicNowMs());
        onResult();
    }

    /** Asks the platform to begin the maintenance of a VM. */
    async beginMaintenance(...[call, respond]: Parameters<BeginMaintenance>): Promise<void> {
        const { services, onResult, logger } = this.#options;
        const outcome = await services.beginMaintenance(call);
        logger.info({ ...call, outcome }, "maintenance call finished");
        respond(outcome, monotonicNowMs());
        onResult();
    }
}
