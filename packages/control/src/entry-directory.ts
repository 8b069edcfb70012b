import type { PollRequest } from "@waxwingspread/protocol";

/** An entry as described by its latest poll. */
export interface KnownEntry {
    entryId: string;
    address: string;
    operatorsAddress: string;
    availabilityZone: string;
    leaving: boolean;
    lastHeardMs: number;
}

/** Directory of the entries that poll this leader. */
export class EntryDirectory {
    readonly #entries = new Map<string, KnownEntry>();

    /** Adds or updates the entry that sent a poll. */
    heard(poll: PollRequest, nowMs: number): void {
        this.#entries.set(poll.entryId, {
            entryId: poll.entryId,
            address: poll.address,
            operatorsAddress: poll.operatorsAddress,
            availabilityZone: poll.availabilityZone,
            leaving: poll.leaving,
            lastHeardMs: nowMs,
        });
    }

    /** Removes the entries that haven't polled for more than `timeoutMs` and returns their ids. */
    takeSilent(timeoutMs: number, nowMs: number): string[] {
        const silent = [...this.#entries.values()].filter(entry => nowMs - entry.lastHeardMs > timeoutMs);
        for (const entry of silent) {
            this.#entries.delete(entry.entryId);
        }
        return silent.map(entry => entry.entryId);
    }

    /** Returns all known entries. */
    all(): KnownEntry[] {
        return [...this.#entries.values()];
    }

    /** Returns the addresses of the entries that accept new work, without those that are leaving. */
    addresses(): string[] {
        return this.all().filter(entry => !entry.leaving).map(entry => entry.address);
    }
}
