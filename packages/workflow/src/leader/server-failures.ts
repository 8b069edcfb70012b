import { RunEnd } from "../model/heartbeat.js";
import type { ServerView } from "./server-view.js";

/** Consecutive failures on one server, of any jobs, after which it is avoided. */
const FAILURES_TO_AVOID = 2;
/** Bounds of the time for which a server is avoided; it doubles with each further failure. */
const FIRST_AVOID_MS = 1_000;
const MAX_AVOID_MS = 8_000;

/** Marks backend servers with consecutive failures as avoided, with exponential backoff. */
export class ServerFailures {
    readonly #consecutiveFailures = new Map<string, number>();

    /** Counts the reported ends of runs on a server; a success resets the count. */
    recordEnds(server: ServerView, ends: readonly RunEnd[], nowMs: number): void {
        for (const end of ends) {
            if (end === RunEnd.Done) {
                this.#consecutiveFailures.delete(server.id);
            }
            else if (end === RunEnd.Failed) {
                this.#recordFailure(server, nowMs);
            }
        }
    }

    /** Discards the state of a removed server. */
    forget(serverId: string): void {
        this.#consecutiveFailures.delete(serverId);
    }

    #recordFailure(server: ServerView, nowMs: number): void {
        const count = (this.#consecutiveFailures.get(server.id) ?? 0) + 1;
        this.#consecutiveFailures.set(server.id, count);
        if (count >= FAILURES_TO_AVOID) {
            const avoidMs = Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** (count - FAILURES_TO_AVOID));
            server.avoidUntilMs = nowMs + avoidMs;
        }
    }
}
