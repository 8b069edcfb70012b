import type { EligibilityTerms } from "../model/configuration.js";
import type { ServerView } from "./server-view.js";

/** Queries under way at the same time; the service answers one after the other, so that more would only wait. */
const MAX_OPEN_QUERIES = 2;
/** Servers named in one query. */
const MAX_SERVERS_PER_QUERY = 30;
/** Servers named beyond those that the waiting tasks need, since some are refused. */
const SPARE_SERVERS = 6;
/** An approval isn't used when it ends within this, which covers the order's way to the server. */
const EXPIRY_MARGIN_MS = 1_000;
/** Pause after a query without an answer. */
const RETRY_DELAY_MS = 200;

/** A question to the eligibility service: which of these backend servers may run a step. */
export interface EligibilityQuery {
    /** Key of the step: job, occurrence and position. */
    step: string;
    serverIds: string[];
    terms: EligibilityTerms;
}

/** Approval of one backend server for a step. */
export interface EligibleServer {
    serverId: string;
    token: string;
}

/** Asks the eligibility service; calls back once, with undefined when there was no answer. */
export type AskEligibility = (
    query: EligibilityQuery,
    respond: (eligible: readonly EligibleServer[] | undefined, nowMs: number) => void,
) => void;

/** What is known of one server for one step. */
interface Verdict {
    /** Undefined for a refusal, which lasts. */
    token: string | undefined;
    validUntilMs: number;
}

const UNKNOWN: Verdict = { token: undefined, validUntilMs: -Infinity };
const REFUSED: Verdict = { token: undefined, validUntilMs: Infinity };

/**
 * Remembers which backend servers the eligibility service allows for each step, and asks about further ones. What
 * the service says of one incarnation of a server doesn't change, but an approval has to be renewed.
 */
export class Eligibility {
    readonly #ask: AskEligibility;
    readonly #verdicts = new Map<string, Map<string, Verdict>>();
    /** Steps with a query under way. */
    readonly #open = new Set<string>();
    #retryAtMs = -Infinity;

    constructor(ask: AskEligibility) {
        this.#ask = ask;
    }

    /** Returns the approval of a server for a step; undefined without one that is still valid. */
    tokenFor(step: string, server: ServerView, nowMs: number): string | undefined {
        const { token, validUntilMs } = this.#verdictOn(step, server);
        return nowMs < validUntilMs ? token : undefined;
    }

    /**
     * Asks about the first candidates of which nothing valid is known, for as many tasks as wait. The candidates are
     * worked out only when a query may be made now.
     */
    inquire(
        step: string,
        candidates: () => readonly ServerView[],
        waitingTasks: number,
        terms: EligibilityTerms,
        nowMs: number,
    ): void {
        if (this.#open.size >= MAX_OPEN_QUERIES || this.#open.has(step) || nowMs < this.#retryAtMs) {
            return;
        }
        const limit = Math.min(MAX_SERVERS_PER_QUERY, waitingTasks + SPARE_SERVERS);
        const asked = candidates()
            .filter(server => nowMs >= this.#verdictOn(step, server).validUntilMs)
            .slice(0, limit);
        if (asked.length === 0) {
            return;
        }
        this.#open.add(step);
        this.#ask({ step, serverIds: asked.map(server => server.id), terms }, (eligible, answeredAtMs) => {
            this.#open.delete(step);
            if (eligible === undefined) {
                this.#retryAtMs = answeredAtMs + RETRY_DELAY_MS;
                return;
            }
            // An approval counts at the latest from the moment of the query.
            const validUntilMs = nowMs + terms.validityMs - Math.min(EXPIRY_MARGIN_MS, terms.validityMs / 2);
            this.#record(step, asked, eligible, validUntilMs);
        });
    }

    /** Forgets the steps of jobs that need no further starts. */
    retain(isOpen: (step: string) => boolean): void {
        for (const step of this.#verdicts.keys()) {
            if (!isOpen(step)) {
                this.#verdicts.delete(step);
            }
        }
    }

    #verdictOn(step: string, server: ServerView): Verdict {
        return this.#verdicts.get(step)?.get(keyOf(server)) ?? UNKNOWN;
    }

    #record(
        step: string,
        asked: readonly ServerView[],
        eligible: readonly EligibleServer[],
        validUntilMs: number,
    ): void {
        const verdicts = this.#verdicts.get(step) ?? new Map<string, Verdict>();
        this.#verdicts.set(step, verdicts);
        const tokens = new Map(eligible.map(({ serverId, token }) => [serverId, token]));
        for (const server of asked) {
            const token = tokens.get(server.id);
            verdicts.set(keyOf(server), token === undefined ? REFUSED : { token, validUntilMs });
        }
    }
}

const keyOf = (server: ServerView): string => `${server.id}/${server.incarnation}`;
