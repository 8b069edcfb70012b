import { RunEnd } from "../model/heartbeat.js";
import type { ServerView } from "./server-view.js";

/** Failures in a row on one server, of whatever job, after which it gets no starts for a while. */
const FAILURES_TO_AVOID = 2;
const FIRST_AVOID_MS = 1_000;
const MAX_AVOID_MS = 8_000;

/** Keeps backend servers that fail what they run free of starts for a while, longer after each further failure. */
export class ServerFailures {
    readonly #counts = new Map<string, number>();

    /** Takes in the ends that a server has reported. */
    count(server: ServerView, ends: readonly RunEnd[], nowMs: number): void {
        for (const end of ends) {
            if (end === RunEnd.Done) {
                this.#counts.delete(server.id);
            }
            else if (end === RunEnd.Failed) {
                this.#fail(server, nowMs);
            }
        }
    }

    /** Forgets a server that is gone. */
    forget(serverId: string): void {
        this.#counts.delete(serverId);
    }

    #fail(server: ServerView, nowMs: number): void {
        const count = (this.#counts.get(server.id) ?? 0) + 1;
        this.#counts.set(server.id, count);
        if (count >= FAILURES_TO_AVOID) {
            const avoidMs = Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** (count - FAILURES_TO_AVOID));
            server.avoidUntilMs = nowMs + avoidMs;
        }
    }
}
