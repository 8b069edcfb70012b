import type { EligibilityTiming } from "../model/configuration.js";
import { Exclusion } from "./placement.js";
import { QueryTurns } from "./query-turns.js";
import type { ServerView } from "./server-view.js";

/** Upper bound on concurrent queries; the service answers them one after the other, so more would only wait. */
const MAX_OPEN_QUERIES = 2;
/** Upper bound on the servers in one query for tasks that start one by one. */
const MAX_SERVERS_PER_QUERY = 30;
/** Upper bound on the servers in any query that the service accepts. */
const MAX_SERVERS_FOR_GANG = 100;
/** Servers in a query beyond one for each waiting task, since some are refused. */
const SPARE_SERVERS = 6;
/**
 * Time before an approval expires within which no run is planned with it, since the assignment has to be recorded before
 * the order is sent; at most half of the validity.
 */
const PLANNING_MARGIN_MS = 1_000;
/** Time before an approval expires within which no order is sent with it; at most a tenth of the validity. */
const ORDER_MARGIN_MS = 200;
/**
 * Longest time to an answer, as a share of the validity, at which approvals are still of use if the service counts the
 * validity from the arrival of the query.
 */
const MAX_ANSWER_RATIO = 0.7;
/** Bounds of the time beyond the configured one for which an answer is awaited; it doubles with each query without one. */
const MIN_PATIENCE_MS = 2_000;
const MAX_PATIENCE_MS = 60_000;
/** Delay before the next query after one without a response. */
const RETRY_DELAY_MS = 200;

/** A query to the eligibility service: which of the listed backend servers may run a step. */
export interface EligibilityQuery {
    /** Key of the step: job, occurrence and position. */
    step: string;
    serverIds: string[];
    timing: EligibilityTiming;
    /** Time beyond the configured one for which the answer is awaited. */
    patienceMs: number;
}

/** Approval of one backend server for a step. */
export interface EligibleServer {
    serverId: string;
    token: string;
}

/** What a step needs approvals for. */
export interface EligibilityDemand {
    /** Tasks that aren't done. */
    tasks: number;
    /** Tasks that can only start together, so that their approvals must be valid at the same time; 1 if each may start alone. */
    tasksTogether: number;
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
    /** Expiry if the approval was issued when its query was sent, the earliest possible time. */
    certainUntilMs: number;
    /** Expiry if the approval was issued with the answer, the latest possible time. */
    validUntilMs: number;
    validityMs: number;
}

const UNKNOWN: Decision = {
    token: undefined,
    certainUntilMs: -Infinity,
    validUntilMs: -Infinity,
    validityMs: 0,
};
const REFUSED: Decision = { ...UNKNOWN, validUntilMs: Infinity };

/**
 * Caches which backend servers the eligibility service allows for each step, and queries further ones. The decision
 * on one incarnation of a server does not change, but an approval expires and has to be renewed.
 *
 * The service issues an approval at an unknown time between the query and the answer. Approvals are used until the later
 * of the two expiries that follow, because one that is rejected as too old costs a repetition, while approvals that
 * are never used leave a job without a start. The size of a query is chosen for the earlier one.
 */
export class Eligibility {
    readonly #query: QueryEligibility;
    readonly #decisions = new Map<string, Map<string, Decision>>();
    /** Keys of the steps with a query in progress. */
    readonly #queriedSteps = new Set<string>();
    readonly #turns = new QueryTurns();
    /** Time at which the service has answered all open queries if it takes as long as configured. */
    #serviceFreeAtMs = -Infinity;
    #retryAtMs = -Infinity;
    #patienceMs = MIN_PATIENCE_MS;

    constructor(query: QueryEligibility) {
        this.#query = query;
    }

    /** Returns the approval of a server under which a run of a step may be planned; undefined without one. */
    tokenFor(step: string, server: ServerView, nowMs: number): string | undefined {
        const decision = this.#decisionFor(step, server);
        return isPlannable(decision, nowMs) ? decision.token : undefined;
    }

    /** Returns the approval of a server under which a start of a step may be ordered now; undefined without one. */
    orderTokenFor(step: string, server: ServerView, nowMs: number): string | undefined {
        const { token, validUntilMs, validityMs } = this.#decisionFor(step, server);
        return nowMs < validUntilMs - Math.min(ORDER_MARGIN_MS, validityMs / 10) ? token : undefined;
    }

    /**
     * Discards the approval with which a server has rejected a start. Returns whether the approval may have been too old,
     * so that the rejection shows nothing about the server.
     */
    recordRejection(step: string, server: ServerView, token: string, nowMs: number): boolean {
        const decision = this.#decisionFor(step, server);
        if (decision.token !== token) {
            return true;
        }
        this.#decisions.get(step)?.delete(incarnationKeyOf(server));
        return nowMs >= decision.certainUntilMs;
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
        return isPlannable(decision, nowMs) ? undefined : Exclusion.ApprovalExpired;
    }

    /**
     * Queries the first candidates without a valid decision, as many as the waiting tasks need. The candidates are
     * computed only if a query may be sent now.
     */
    queryCandidates(
        step: string,
        candidates: () => readonly ServerView[],
        { tasks, tasksTogether }: EligibilityDemand,
        timing: EligibilityTiming,
        nowMs: number,
    ): void {
        if (this.#queriedSteps.has(step) || !this.#turns.request(step, nowMs)) {
            return;
        }
        const maxServers = tasksTogether > 1 ? MAX_SERVERS_FOR_GANG : MAX_SERVERS_PER_QUERY;
        const wantedServers = Math.min(maxServers, tasks + SPARE_SERVERS);
        const limit = this.#serversInTime(wantedServers, tasksTogether, timing, nowMs);
        if (this.#queriedSteps.size >= MAX_OPEN_QUERIES || nowMs < this.#retryAtMs || limit < 1) {
            return;
        }
        this.#turns.close(step);
        // Tasks that start together need approvals that are all valid when the answer comes.
        const neededAtMs = tasksTogether > 1 ? this.#dueAtMs(limit, timing, nowMs) : nowMs;
        const queried = candidates()
            .filter(server => !isUsable(this.#decisionFor(step, server), neededAtMs))
            .slice(0, limit);
        if (queried.length > 0) {
            this.#send(step, queried, timing, nowMs);
        }
    }

    /** Evicts the decisions on steps that need no further starts. */
    retain(isOpen: (step: string) => boolean): void {
        for (const step of this.#decisions.keys()) {
            if (!isOpen(step)) {
                this.#decisions.delete(step);
            }
        }
    }

    /**
     * Returns how many of the wanted servers a query may name so that its answer comes in time; 0 if it had better wait
     * for the open queries, which the service answers first. All of them if the service is too slow even for as many as are
     * needed together: what it approves is of use only if it counts the validity from the answer.
     */
    #serversInTime(wantedServers: number, neededServers: number, timing: EligibilityTiming, nowMs: number): number {
        const { decisionMs, perServerMs, validityMs } = timing;
        const isFree = this.#queriedSteps.size === 0;
        const serversWithin = (timeMs: number): number =>
            timeMs < decisionMs
                ? 0
                : Math.min(wantedServers, Math.floor((timeMs - decisionMs) / Math.max(1, perServerMs)));
        const usableMs = validityMs * MAX_ANSWER_RATIO;
        const serversAlone = serversWithin(usableMs);
        if (serversAlone < Math.min(neededServers, wantedServers)) {
            return isFree ? wantedServers : 0;
        }
        const serversNow = serversWithin(usableMs - this.#waitMs(nowMs));
        const isWorthwhile = serversNow >= neededServers && serversNow * 2 >= serversAlone;
        return isWorthwhile ? serversNow : 0;
    }

    /** Returns the time until the service has answered the open queries. */
    #waitMs(nowMs: number): number {
        return this.#queriedSteps.size === 0 ? 0 : Math.max(0, this.#serviceFreeAtMs - nowMs);
    }

    /** Returns the time at which a query that is sent now is to be answered. */
    #dueAtMs(servers: number, { decisionMs, perServerMs }: EligibilityTiming, nowMs: number): number {
        return nowMs + this.#waitMs(nowMs) + decisionMs + perServerMs * servers;
    }

    #send(step: string, queried: readonly ServerView[], timing: EligibilityTiming, nowMs: number): void {
        const serverIds = queried.map(server => server.id);
        const dueAtMs = this.#dueAtMs(serverIds.length, timing, nowMs);
        this.#serviceFreeAtMs = dueAtMs;
        this.#queriedSteps.add(step);
        const patienceMs = this.#patienceMs;
        this.#query({ step, serverIds, timing, patienceMs }, (eligible, answeredAtMs) => {
            this.#queriedSteps.delete(step);
            const latenessMs = answeredAtMs - dueAtMs;
            if (eligible === undefined) {
                this.#retryAtMs = answeredAtMs + RETRY_DELAY_MS;
                // A failure that shows earlier, such as a refused connection, has nothing to do with the time.
                this.#extendPatience(latenessMs >= patienceMs / 2 ? 2 * patienceMs : 0);
                return;
            }
            this.#patienceMs = MIN_PATIENCE_MS;
            this.#extendPatience(2 * latenessMs);
            const { validityMs } = timing;
            const certainUntilMs = nowMs + validityMs;
            this.#record(step, queried, eligible, {
                certainUntilMs,
                validUntilMs: answeredAtMs + validityMs,
                validityMs,
            });
        });
    }

    /** Awaits the next answers for longer after one that was late: a service that is slower than configured may still answer. */
    #extendPatience(wantedMs: number): void {
        this.#patienceMs = Math.min(MAX_PATIENCE_MS, Math.max(this.#patienceMs, wantedMs));
    }

    #decisionFor(step: string, server: ServerView): Decision {
        return this.#decisions.get(step)?.get(incarnationKeyOf(server)) ?? UNKNOWN;
    }

    #record(
        step: string,
        queried: readonly ServerView[],
        eligible: readonly EligibleServer[],
        validity: Omit<Decision, "token">,
    ): void {
        const decisions = this.#decisions.get(step) ?? new Map<string, Decision>();
        this.#decisions.set(step, decisions);
        const tokens = new Map(eligible.map(({ serverId, token }) => [serverId, token]));
        for (const server of queried) {
            const token = tokens.get(server.id);
            decisions.set(incarnationKeyOf(server), token === undefined ? REFUSED : { ...validity, token });
        }
    }
}

/** Whether a run may be planned under an approval. */
const isPlannable = ({ token, validUntilMs, validityMs }: Decision, nowMs: number): boolean =>
    token !== undefined && nowMs < validUntilMs - Math.min(PLANNING_MARGIN_MS, validityMs / 2);

/** Whether a decision need not be asked for again: a refusal, or an approval under which a run may be planned. */
const isUsable = (decision: Decision, nowMs: number): boolean => decision === REFUSED || isPlannable(decision, nowMs);

const incarnationKeyOf = (server: ServerView): string => `${server.id}/${server.incarnation}`;
