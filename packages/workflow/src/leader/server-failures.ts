import { RunEnd } from "../model/heartbeat.js";
import { parseTaskKey, stepKeyOf } from "../model/specification.js";
import type { StepPosition } from "../model/specification.js";
import type { ServerView } from "./server-view.js";

/** Consecutive failures on one server, of any jobs, after which it is avoided. */
const FAILURES_TO_AVOID = 2;
/** Bounds of the time for which a server is avoided; it doubles with each further failure. */
const FIRST_AVOID_MS = 1_000;
const MAX_AVOID_MS = 8_000;
/** Bounds of the time for which a server on which a start has failed gets no others; it doubles with each further one. */
const FIRST_EXCLUSION_MS = 500;
const MAX_EXCLUSION_MS = 4_000;
/**
 * Servers without effect of their start orders up to which they are excluded, as a number and as a share of all. Beyond
 * it the cause is a common one.
 */
const MIN_EXCLUDED_SERVERS = 2;
const MAX_EXCLUDED_SERVERS_RATIO = 0.05;
/** Time without any start in a service after which orders without effect show nothing about the one server. */
const START_WINDOW_MS = 3_000;
/** Time for which a failure of a step shows that its later failures on other servers have the same cause. */
const STEP_FAILURE_WINDOW_MS = 30_000;

/** The end of a run, by the key of its task. */
export interface TaskEnd {
    task: string;
    end: RunEnd;
}

/** Failures of one step on one server. */
interface StepFailure {
    /** Number of them that count against the server. */
    countedFailures: number;
    /** Time of the latest one. */
    atMs: number;
}

/**
 * Marks backend servers with consecutive failures as avoided, and excludes those that don't start runs, with exponential
 * backoff. The failures of a step that
 * fails on several servers and succeeds on none do not count: the work cannot be done, and the servers are sound.
 */
export class ServerFailures {
    readonly #hasSucceeded: (step: StepPosition) => boolean;
    readonly #consecutiveFailures = new Map<string, number>();
    /** Heartbeats with starts that failed since the last run that a server has started, by server. */
    readonly #startFailures = new Map<string, number>();
    /** Time at which start orders of a server last turned out to have no effect, by server. */
    readonly #unexecutedAtMs = new Map<string, number>();
    /** Time of the latest start on any server, by service. */
    readonly #startedAtMs = new Map<string, number>();
    /** Failures by step, then by server. */
    readonly #failuresByStep = new Map<string, Map<string, StepFailure>>();

    /** `hasSucceeded` returns whether a task of a step has ended successfully or is at work. */
    constructor(hasSucceeded: (step: StepPosition) => boolean) {
        this.#hasSucceeded = hasSucceeded;
    }

    /** Counts the reported ends of runs on a server; a success resets the count. */
    recordEnds(server: ServerView, ends: readonly TaskEnd[], nowMs: number): void {
        if (ends.some(({ end }) => end === RunEnd.NotStarted)) {
            this.#recordRejection(server, nowMs);
        }
        for (const { task, end } of ends) {
            if (end === RunEnd.Done) {
                this.#consecutiveFailures.delete(server.id);
            }
            else if (end === RunEnd.Failed && !this.#isCausedByStep(server, task, nowMs)) {
                this.#recordFailure(server, nowMs);
            }
        }
    }

    /**
     * Excludes a server that executes no start orders, and returns true. Returns false, without effect, if the same is true
     * of many servers: after a change of the leader the answers to a large part of a fleet are late, and the orders are to
     * be repeated. While no server of the service starts anything, the time doesn't grow.
     */
    recordUnexecutedOrders(server: ServerView, serverCount: number, nowMs: number): boolean {
        this.#unexecutedAtMs.set(server.id, nowMs);
        const recent = [...this.#unexecutedAtMs.values()].filter(atMs => nowMs - atMs <= MAX_EXCLUSION_MS);
        if (recent.length > Math.max(MIN_EXCLUDED_SERVERS, serverCount * MAX_EXCLUDED_SERVERS_RATIO)) {
            return false;
        }
        const delayMs = this.#hasServiceStarted(server, nowMs)
            ? this.#nextStartFailureDelayMs(server)
            : FIRST_EXCLUSION_MS;
        server.excludedUntilMs = Math.max(server.excludedUntilMs, nowMs + delayMs);
        return true;
    }

    /** Records that a server has started a run, and resets the count of those that failed. */
    recordStart(server: ServerView, nowMs: number): void {
        this.#startFailures.delete(server.id);
        this.#startedAtMs.set(server.service, nowMs);
    }

    /** Discards the state of a removed server. */
    forget(serverId: string): void {
        this.#unexecutedAtMs.delete(serverId);
        this.#startFailures.delete(serverId);
        this.#consecutiveFailures.delete(serverId);
    }

    /** Evicts the failures that are too old to show anything. */
    evictExpired(nowMs: number): void {
        for (const [step, failures] of this.#failuresByStep) {
            if ([...failures.values()].every(({ atMs }) => nowMs - atMs > STEP_FAILURE_WINDOW_MS)) {
                this.#failuresByStep.delete(step);
            }
        }
    }

    /** Records the failure of a step on a server, and returns whether the step and not the server is its cause. */
    #isCausedByStep(server: ServerView, task: string, nowMs: number): boolean {
        const position = parseTaskKey(task);
        if (position === undefined) {
            return false;
        }
        const failures = this.#failuresOf(stepKeyOf(position));
        const failure = failures.get(server.id) ?? { countedFailures: 0, atMs: nowMs };
        failure.atMs = nowMs;
        failures.set(server.id, failure);
        const hasFailedElsewhere = [...failures].some(([serverId, { atMs }]) =>
            serverId !== server.id && nowMs - atMs <= STEP_FAILURE_WINDOW_MS
        );
        if (hasFailedElsewhere && !this.#hasSucceeded(position)) {
            this.#retract(failures);
            return true;
        }
        failure.countedFailures += 1;
        return false;
    }

    #failuresOf(step: string): Map<string, StepFailure> {
        const failures = this.#failuresByStep.get(step) ?? new Map<string, StepFailure>();
        this.#failuresByStep.set(step, failures);
        return failures;
    }

    /** Takes the failures of a step off the counts of the servers on which it failed before its cause was known. */
    #retract(failures: ReadonlyMap<string, StepFailure>): void {
        for (const [serverId, failure] of failures) {
            const count = this.#consecutiveFailures.get(serverId) ?? 0;
            this.#consecutiveFailures.set(serverId, Math.max(0, count - failure.countedFailures));
            failure.countedFailures = 0;
        }
    }

    #hasServiceStarted(server: ServerView, nowMs: number): boolean {
        return nowMs - (this.#startedAtMs.get(server.service) ?? -Infinity) <= START_WINDOW_MS;
    }

    #recordRejection(server: ServerView, nowMs: number): void {
        const untilMs = nowMs + this.#nextStartFailureDelayMs(server);
        server.excludedUntilMs = Math.max(server.excludedUntilMs, untilMs);
    }

    /** Counts a failed start of a server, and returns the time for which it gets no further ones. */
    #nextStartFailureDelayMs({ id }: ServerView): number {
        const count = this.#startFailures.get(id) ?? 0;
        this.#startFailures.set(id, count + 1);
        return Math.min(MAX_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2 ** count);
    }

    #recordFailure(server: ServerView, nowMs: number): void {
        const count = (this.#consecutiveFailures.get(server.id) ?? 0) + 1;
        this.#consecutiveFailures.set(server.id, count);
        if (count >= FAILURES_TO_AVOID) {
            const avoidMs = Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** (count - FAILURES_TO_AVOID));
            server.avoidUntilMs = Math.max(server.avoidUntilMs, nowMs + avoidMs);
        }
    }
}
