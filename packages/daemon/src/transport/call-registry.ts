/** Pending calls to a state machine, which replies through an effect that carries the call id. */
export class CallRegistry<Reply> {
    readonly #pending = new Map<number, (reply: Reply) => void>();
    #nextCallId = 1;

    get size(): number {
        return this.#pending.size;
    }

    /** Assigns a call id, calls `begin` with it and resolves with the reply. */
    start(begin: (callId: number) => void): Promise<Reply> {
        const callId = this.#nextCallId;
        this.#nextCallId += 1;
        return new Promise(resolve => {
            this.#pending.set(callId, resolve);
            begin(callId);
        });
    }

    /** Resolves a pending call. Ignores a reply to an unknown call. */
    finish(callId: number, reply: Reply): void {
        const resolve = this.#pending.get(callId);
        this.#pending.delete(callId);
        resolve?.(reply);
    }
}
