import type { ReplicaMessage } from "@waxwingspread/protocol";
import type { PeerClients } from "./peer-clients.js";

/** Maximum number of concurrent calls to one peer. Further messages are queued and sent together. */
const MAX_OPEN_CALLS = 8;
/** Maximum queue length per peer. The oldest messages are dropped, since replication retransmits lost messages. */
const MAX_QUEUED_MESSAGES = 256;
/** Time without a response after which a call counts as lost and its connection is replaced. */
const CALL_TIMEOUT_MS = 1_000;

interface PeerQueue {
    messages: ReplicaMessage[];
    openCalls: number;
    isFlushScheduled: boolean;
}

/** Callbacks of a {@link ReplicaSender}. */
export interface ReplicaSenderHooks {
    /** Called when a call to the peer at `address` failed and its connection was replaced. */
    onFailure: (address: string) => void;
    /** Called with the messages in the response to a call. */
    onReplies: (messages: readonly ReplicaMessage[]) => void;
}

/** Sends replica messages to peers. Messages queued in the same turn of the event loop share a call. */
export class ReplicaSender {
    readonly #clients: PeerClients;
    readonly #queues = new Map<string, PeerQueue>();
    readonly #hooks: ReplicaSenderHooks;
    #isClosed = false;

    constructor(clients: PeerClients, hooks: ReplicaSenderHooks) {
        this.#clients = clients;
        this.#hooks = hooks;
    }

    /** Queues a message for the peer at `host:port`. Drops it if the address is empty. */
    send(address: string, message: ReplicaMessage): void {
        if (address === "") {
            return;
        }
        const queue = this.#queueFor(address);
        queue.messages.push(message);
        if (queue.messages.length > MAX_QUEUED_MESSAGES) {
            queue.messages.shift();
        }
        this.#scheduleFlush(address, queue);
    }

    /** Stops sending, and ignores the responses to open calls. */
    close(): void {
        this.#isClosed = true;
    }

    #scheduleFlush(address: string, queue: PeerQueue): void {
        if (queue.isFlushScheduled || queue.openCalls >= MAX_OPEN_CALLS) {
            return;
        }
        queue.isFlushScheduled = true;
        setImmediate(() => {
            queue.isFlushScheduled = false;
            void this.#flush(address, queue);
        });
    }

    async #flush(address: string, queue: PeerQueue): Promise<void> {
        const messages = queue.messages;
        if (messages.length === 0 || this.#isClosed) {
            return;
        }
        queue.messages = [];
        queue.openCalls += 1;
        try {
            const ack = await this.#clients.for(address).replica.send({ messages }, { timeoutMs: CALL_TIMEOUT_MS });
            if (!this.#isClosed) {
                this.#hooks.onReplies(ack.messages);
            }
        }
        catch {
            this.#clients.replace(address);
            this.#hooks.onFailure(address);
        }
        queue.openCalls -= 1;
        if (queue.messages.length > 0) {
            this.#scheduleFlush(address, queue);
        }
    }

    #queueFor(address: string): PeerQueue {
        const existing = this.#queues.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const created: PeerQueue = { messages: [], openCalls: 0, isFlushScheduled: false };
        this.#queues.set(address, created);
        return created;
    }
}
