import type { PollRequest } from "@waxwingspread/protocol";

/** An entry as described by its latest poll. */
export interface EntryRecord {
    entryId: string;
    address: string;
    operatorsAddress: string;
    availabilityZone: string;
    leaving: boolean;
    lastPollMs: number;
}

/** Directory of the entries that poll this leader. */
export class EntryDirectory {
    readonly #entries = new Map<string, EntryRecord>();

    /** Adds or updates the entry that sent a poll. */
    recordPoll(poll: PollRequest, nowMs: number): void {
        this.#entries.set(poll.entryId, {
            entryId: poll.entryId,
            address: poll.address,
            operatorsAddress: poll.operatorsAddress,
            availabilityZone: poll.availabilityZone,
            leaving: poll.leaving,
            lastPollMs: nowMs,
        });
    }

    /** Removes the entries that haven't polled for more than `timeoutMs` and returns their ids. */
    removeInactive(timeoutMs: number, nowMs: number): string[] {
        const inactive = [...this.#entries.values()].filter(entry => nowMs - entry.lastPollMs > timeoutMs);
        for (const entry of inactive) {
            this.#entries.delete(entry.entryId);
        }
        return inactive.map(entry => entry.entryId);
    }

    /** Returns all known entries. */
    all(): EntryRecord[] {
        return [...this.#entries.values()];
    }

    /** Returns the addresses of the entries that accept new work, without those that are leaving. */
    addresses(): string[] {
        return this.all().filter(entry => !entry.leaving).map(entry => entry.address);
    }
}
