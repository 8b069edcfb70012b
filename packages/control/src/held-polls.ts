import type { PollRequest } from "@waxwingspread/protocol";

/** A long poll that waits for an update. */
export interface HeldPoll {
    callId: number;
    request: PollRequest;
    heldSinceMs: number;
}

/** The held polls of all entries, at most one for each. */
export class HeldPolls {
    readonly #polls = new Map<string, HeldPoll>();

    /** Holds a poll and returns the earlier one of the same entry, which must be answered now. */
    hold(poll: HeldPoll): HeldPoll | undefined {
        const earlier = this.#polls.get(poll.request.entryId);
        this.#polls.set(poll.request.entryId, poll);
        return earlier;
    }

    /** Removes and returns the poll of an entry. */
    take(entryId: string): HeldPoll | undefined {
        const poll = this.#polls.get(entryId);
        this.#polls.delete(entryId);
        return poll;
    }

    /** Removes and returns all polls. */
    takeAll(): HeldPoll[] {
        const polls = [...this.#polls.values()];
        this.#polls.clear();
        return polls;
    }

    /** Removes and returns the polls held for at least `maximumMs`. */
    takeOverdue(maximumMs: number, nowMs: number): HeldPoll[] {
        return [...this.#polls.values()]
            .filter(poll => nowMs - poll.heldSinceMs >= maximumMs)
            .map(poll => {
                this.#polls.delete(poll.request.entryId);
                return poll;
            });
    }
}
