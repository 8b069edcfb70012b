import type { EligibilityTiming } from "../model/configuration.js";
import { Exclusion } from "./placement.js";
import type { ServerView } from "./server-view.js";

/** Upper bound on concurrent queries; the service answers them one after the other, so more would only wait. */
const MAX_OPEN_QUERIES = 2;
/** Upper bound on the servers in one query. */
const MAX_SERVERS_PER_QUERY = 30;
/** Servers in a query beyond one for each waiting task, since some are refused. */
const SPARE_SERVERS = 6;
/** An approval is not used within this time before it expires, which covers the delivery of the order. */
const EXPIRY_MARGIN_MS = 1_000;
/** Delay before the next query after one without a response. */
const RETRY_DELAY_MS = 200;

/** A query to the eligibility service: which of the listed backend servers may run a step. */
export interface EligibilityQuery {
    /** Key of the step: job, occurrence and position. */
    step: string;
    serverIds: string[];
    timing: EligibilityTiming;
}

/** Approval of one backend server for a step. */
export interface EligibleServer {
    serverId: string;
    token: string;
}

/** Queries the eligibility service; calls back once, with undefined if there was no response. */
export type QueryEligibility = (
    query: EligibilityQuery,
    respond: (eligible: readonly EligibleServer[] | undefined, nowMs: number) => void,
) => void;

/** Cached decision of the service on one server for one step. */
interface Decision {
    /** Undefined for a refusal, which does not expire. */
    token: string | undefined;
    validUntilMs: number;
}

const UNKNOWN: Decision = { token: undefined, validUntilMs: -Infinity };
const REFUSED: Decision = { token: undefined, validUntilMs: Infinity };

/**
 * Caches which backend servers the eligibility service allows for each step, and queries further ones. The decision
 * on one incarnation of a server does not change, but an approval expires and has to be renewed.
 */
export class Eligibility {
    readonly #query: QueryEligibility;
    readonly #decisions = new Map<string, Map<string, Decision>>();
    /** Keys of the steps with a query in progress. */
    readonly #queriedSteps = new Set<string>();
    #retryAtMs = -Infinity;

    constructor(query: QueryEligibility) {
        this.#query = query;
    }

    /** Returns the token of a valid approval of a server for a step; undefined without one. */
    tokenFor(step: string, server: ServerView, nowMs: number): string | undefined {
        const { token, validUntilMs } = this.#decisionFor(step, server);
        return nowMs < validUntilMs ? token : undefined;
    }

    /** Returns why a step has no valid approval of a server; undefined if it has one. */
    exclusionOf(step: string, server: ServerView, nowMs: number): Exclusion | undefined {
        const decision = this.#decisionFor(step, server);
        if (decision === UNKNOWN) {
            return Exclusion.ApprovalPending;
        }
        if (decision === REFUSED) {
            return Exclusion.NotEligible;
        }
        return nowMs < decision.validUntilMs ? undefined : Exclusion.ApprovalExpired;
    }

    /**
     * Queries the first candidates without a valid decision, as many as the waiting tasks need. The candidates are
     * computed only if a query may be sent now.
     */
    queryCandidates(
        step: string,
        candidates: () => readonly ServerView[],
        waitingTasks: number,
        timing: EligibilityTiming,
        nowMs: number,
    ): void {
        if (this.#queriedSteps.size >= MAX_OPEN_QUERIES || this.#queriedSteps.has(step) || nowMs < this.#retryAtMs) {
            return;
        }
        const limit = Math.min(MAX_SERVERS_PER_QUERY, waitingTasks + SPARE_SERVERS);
        const queried = candidates()
            .filter(server => nowMs >= this.#decisionFor(step, server).validUntilMs)
            .slice(0, limit);
        if (queried.length === 0) {
            return;
        }
        this.#queriedSteps.add(step);
        this.#query({ step, serverIds: queried.map(server => server.id), timing }, (eligible, answeredAtMs) => {
            this.#queriedSteps.delete(step);
            if (eligible === undefined) {
                this.#retryAtMs = answeredAtMs + RETRY_DELAY_MS;
                return;
            }
            // Validity is counted from the time of the query, since the service decided no earlier than that.
            const validUntilMs = nowMs + timing.validityMs - Math.min(EXPIRY_MARGIN_MS, timing.validityMs / 2);
            this.#record(step, queried, eligible, validUntilMs);
        });
    }

    /** Evicts the decisions on steps that need no further starts. */
    retain(isOpen: (step: string) => boolean): void {
        for (const step of this.#decisions.keys()) {
            if (!isOpen(step)) {
                this.#decisions.delete(step);
            }
        }
    }

    #decisionFor(step: string, server: ServerView): Decision {
        return this.#decisions.get(step)?.get(incarnationKeyOf(server)) ?? UNKNOWN;
    }

    #record(
        step: string,
        queried: readonly ServerView[],
        eligible: readonly EligibleServer[],
        validUntilMs: number,
    ): void {
        const decisions = this.#decisions.get(step) ?? new Map<string, Decision>();
        this.#decisions.set(step, decisions);
        const tokens = new Map(eligible.map(({ serverId, token }) => [serverId, token]));
        for (const server of queried) {
            const token = tokens.get(server.id);
            decisions.set(incarnationKeyOf(server), token === undefined ? REFUSED : { token, validUntilMs });
        }
    }
}

const incarnationKeyOf = (server: ServerView): string => `${server.id}/${server.incarnation}`;
