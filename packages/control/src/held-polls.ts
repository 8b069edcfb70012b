import type { PollRequest } from "@waxwingspread/protocol";

/** A poll that waits for news. */
export interface HeldPoll {
    callId: number;
    request: PollRequest;
    heldSinceMs: number;
}

/** The long polls of all entries, at most one for each. */
export class HeldPolls {
    readonly #polls = new Map<string, HeldPoll>();

    /** Holds a poll and returns the earlier one of the same entry, which must be answered now. */
    hold(poll: HeldPoll): HeldPoll | undefined {
        const earlier = this.#polls.get(poll.request.entryId);
        this.#polls.set(poll.request.entryId, poll);
        return earlier;
    }

    /** Takes out the poll of an entry. */
    take(entryId: string): HeldPoll | undefined {
        const poll = this.#polls.get(entryId);
        this.#polls.delete(entryId);
        return poll;
    }

    /** Takes out all polls. */
    takeAll(): HeldPoll[] {
        const polls = [...this.#polls.values()];
        this.#polls.clear();
        return polls;
    }

    /** Takes out the polls held for longer than `maximumMs`. */
    takeOverdue(maximumMs: number, nowMs: number): HeldPoll[] {
        return [...this.#polls.values()]
            .filter(poll => nowMs - poll.heldSinceMs >= maximumMs)
            .map(poll => {
                this.#polls.delete(poll.request.entryId);
                return poll;
            });
    }
}
