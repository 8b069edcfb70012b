/** Calls into a core that wait for their reply effect. */
export class CallRegistry<Reply> {
    readonly #waiting = new Map<number, (reply: Reply) => void>();
    #nextCallId = 1;

    get size(): number {
        return this.#waiting.size;
    }

    /** Starts a call with a new id and resolves with its reply. */
    start(begin: (callId: number) => void): Promise<Reply> {
        const callId = this.#nextCallId;
        this.#nextCallId += 1;
        return new Promise(resolve => {
            this.#waiting.set(callId, resolve);
            begin(callId);
        });
    }

    /** Resolves a waiting call; a reply to an unknown call is ignored. */
    finish(callId: number, reply: Reply): void {
        const resolve = this.#waiting.get(callId);
        this.#waiting.delete(callId);
        resolve?.(reply);
    }
}
