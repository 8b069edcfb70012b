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

/** What is known of one server for one step: an approval, or a refusal, which lasts. */
type Verdict = { token: string; validUntilMs: number } | undefined;

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
        const verdict = this.#verdicts.get(step)?.get(keyOf(server));
        return verdict !== undefined && nowMs < verdict.validUntilMs ? verdict.token : undefined;
    }

    /** Asks about the first of these servers of which nothing valid is known, for as many tasks as wait. */
    inquire(
        step: string,
        servers: readonly ServerView[],
        waitingTasks: number,
        terms: EligibilityTerms,
        nowMs: number,
    ): void {
        if (this.#open.size >= MAX_OPEN_QUERIES || this.#open.has(step) || nowMs < this.#retryAtMs) {
            return;
        }
        const known = this.#verdicts.get(step);
        const limit = Math.min(MAX_SERVERS_PER_QUERY, waitingTasks + SPARE_SERVERS);
        const asked = servers.filter(server => isUnknown(known, server, nowMs)).slice(0, limit);
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
            verdicts.set(keyOf(server), token === undefined ? undefined : { token, validUntilMs });
        }
    }
}

const keyOf = (server: ServerView): string => `${server.id}/${server.incarnation}`;

/** Whether the service has to be asked: never before, or its approval has ended. */
const isUnknown = (known: ReadonlyMap<string, Verdict> | undefined, server: ServerView, nowMs: number): boolean => {
    const key = keyOf(server);
    if (known === undefined || !known.has(key)) {
        return true;
    }
    const verdict = known.get(key);
    return verdict !== undefined && nowMs >= verdict.validUntilMs;
};
