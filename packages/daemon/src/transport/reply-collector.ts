import type { ReplicaMessage } from "@waxwingspread/protocol";

/** Collects the messages that a replica sends to a peer while it handles a call of that peer, for the response. */
export class ReplyCollector {
    #toDiskId = "";
    #messages: ReplicaMessage[] = [];

    /** Starts collecting messages to the peer with the given disk id. */
    begin(toDiskId: string): void {
        this.#toDiskId = toDiskId;
        this.#messages = [];
    }

    /** Collects a message if it is addressed to the peer whose call is being handled, and returns whether it did. */
    tryCollect(message: ReplicaMessage): boolean {
        if (this.#toDiskId === "" || message.toDiskId !== this.#toDiskId) {
            return false;
        }
        this.#messages.push(message);
        return true;
    }

    /** Stops collecting and returns the collected messages. */
    end(): ReplicaMessage[] {
        this.#toDiskId = "";
        return this.#messages;
    }
}
