import { randomUUID } from "node:crypto";

/** Time for which operators wait for an answer; a sender that has given up follows no redirect. */
const VALIDITY_MS = 1_000;

/**
 * Confirmations that the sender of an order still waits for its answer. An order that is sent again may arrive once more
 * seconds later, after the opposite order, and nothing in it tells its age. So the leader redirects an order to itself with
 * a token, and executes it only with one that it has issued shortly before.
 */
export class OrderConfirmations {
    readonly #processId = randomUUID();

    /** Returns a token that is valid from now on, for the time for which the sender of an order waits. */
    issue(nowMs: number): string {
        return `${this.#processId}.${Math.floor(nowMs)}`;
    }

    /** Whether a token was issued by this process and is still valid. */
    isValid(token: string | undefined, nowMs: number): boolean {
        const [processId, issuedAtMs] = token?.split(".") ?? [];
        const ageMs = nowMs - Number(issuedAtMs);
        return processId === this.#processId && ageMs >= 0 && ageMs <= VALIDITY_MS;
    }
}
