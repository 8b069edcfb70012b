import type { PollRequest } from "@waxwingspread/protocol";

/** What the leader knows of an entry. */
export interface EntryRecord {
    entryId: string;
    address: string;
    availabilityZone: string;
    leaving: boolean;
    lastSeenMs: number;
}

const hashOf = (text: string): number => {
    let hash = 0;
    for (let position = 0; position < text.length; position += 1) {
        hash = Math.imul(hash, 31) + text.charCodeAt(position) | 0;
    }
    return hash >>> 0;
};

/** Entries that poll the leader. Lost with the leader. */
export class EntryRegistry {
    readonly #entries = new Map<string, EntryRecord>();
    readonly #timeoutMs: number;

    constructor(timeoutMs: number) {
        this.#timeoutMs = timeoutMs;
    }

    seen(poll: PollRequest, nowMs: number): void {
        const { entryId, address, availabilityZone, leaving } = poll;
        this.#entries.set(entryId, { entryId, address, availabilityZone, leaving, lastSeenMs: nowMs });
    }

    all(): EntryRecord[] {
        return [...this.#entries.values()].sort((a, b) => a.entryId < b.entryId ? -1 : 1);
    }

    isAlive(entryId: string, nowMs: number): boolean {
        const entry = this.#entries.get(entryId);
        return entry !== undefined && nowMs - entry.lastSeenMs <= this.#timeoutMs;
    }

    /** Returns the preferred entry if it polls and stays, otherwise one chosen repeatably by the key. */
    choose(preferredId: string, key: string, nowMs: number): string | undefined {
        const alive = this.all().filter(entry => this.isAlive(entry.entryId, nowMs));
        const staying = alive.filter(entry => !entry.leaving);
        const candidates = staying.length > 0 ? staying : alive;
        const preferred = candidates.find(entry => entry.entryId === preferredId);
        return (preferred ?? candidates[hashOf(key) % Math.max(1, candidates.length)])?.entryId;
    }
}
