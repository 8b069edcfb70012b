import type { PollRequest } from "@waxwingspread/protocol";

/** An entry as described by its last poll. */
export interface EntryRecord {
    entryId: string;
    address: string;
    availabilityZone: string;
    leaving: boolean;
    lastPollMs: number;
}

const hashOf = (text: string): number => {
    let hash = 0;
    for (let position = 0; position < text.length; position += 1) {
        hash = Math.imul(hash, 31) + text.charCodeAt(position) | 0;
    }
    return hash >>> 0;
};

/** Entries that poll the leader. Held in memory only: a new leader learns them from their next polls. */
export class EntryRegistry {
    readonly #entries = new Map<string, EntryRecord>();
    readonly #timeoutMs: number;

    constructor(timeoutMs: number) {
        this.#timeoutMs = timeoutMs;
    }

    recordPoll(poll: PollRequest, nowMs: number): void {
        const { entryId, address, availabilityZone, leaving } = poll;
        this.#entries.set(entryId, { entryId, address, availabilityZone, leaving, lastPollMs: nowMs });
    }

    all(): EntryRecord[] {
        return [...this.#entries.values()].sort((a, b) => a.entryId < b.entryId ? -1 : 1);
    }

    isAlive(entryId: string, nowMs: number): boolean {
        const entry = this.#entries.get(entryId);
        return entry !== undefined && nowMs - entry.lastPollMs <= this.#timeoutMs;
    }

    /**
     * Returns the preferred entry if it is alive and not leaving, otherwise one chosen by the hash of the key, so that
     * the choice is deterministic. Entries that are leaving are used only if no other one is alive.
     */
    choose(preferredId: string, key: string, nowMs: number): string | undefined {
        const alive = this.all().filter(entry => this.isAlive(entry.entryId, nowMs));
        const notLeaving = alive.filter(entry => !entry.leaving);
        const candidates = notLeaving.length > 0 ? notLeaving : alive;
        const preferred = candidates.find(entry => entry.entryId === preferredId);
        return (preferred ?? candidates[hashOf(key) % Math.max(1, candidates.length)])?.entryId;
    }
}
