import type { ReplicaMessage } from "@waxwingspread/protocol";

/** Collects the messages to one peer that a replica sends while it handles a call of that peer. */
export class ImmediateAnswers {
    #toDiskId = "";
    #messages: ReplicaMessage[] = [];

    /** Starts to collect messages to the peer with the given disk id. */
    begin(toDiskId: string): void {
        this.#toDiskId = toDiskId;
        this.#messages = [];
    }

    /** Takes a message if it goes to the peer whose call is being handled. */
    take(message: ReplicaMessage): boolean {
        if (this.#toDiskId === "" || message.toDiskId !== this.#toDiskId) {
            return false;
        }
        this.#messages.push(message);
        return true;
    }

    /** Stops to collect and returns what was taken. */
    end(): ReplicaMessage[] {
        this.#toDiskId = "";
        return this.#messages;
    }
}
