import type { QueueContract } from "./configuration.js";

/**
 * What makes a queue the same over changes of the configuration: the host and the path prefix by which callers reach it, which
 * a valid configuration gives to one queue only. A name is a label: two queues may share it, and a queue that is renamed
 * stays the same. A queue at another address is another one, also under the former name.
 */
export type QueueAddress = Pick<QueueContract, "host" | "pathPrefix">;

/** Whether two contracts are those of the same queue. */
export const isSameQueue = (a: QueueAddress, b: QueueAddress): boolean =>
    a.host === b.host && a.pathPrefix === b.pathPrefix;

/** Returns the address of a queue as a text, for logs and as a key. */
export const queueAddressOf = ({ host, pathPrefix }: QueueAddress): string => `${host} ${pathPrefix}`;

/** Finds the queues of a configuration by their addresses. */
export class QueueIndex {
    readonly #byHost = new Map<string, Map<string, QueueContract>>();

    constructor(queues: readonly QueueContract[]) {
        for (const queue of queues) {
            const byPrefix = this.#byHost.get(queue.host) ?? new Map<string, QueueContract>();
            this.#byHost.set(queue.host, byPrefix);
            byPrefix.set(queue.pathPrefix, queue);
        }
    }

    /** Returns the contract of the queue at an address; undefined if there is none. */
    get({ host, pathPrefix }: QueueAddress): QueueContract | undefined {
        return this.#byHost.get(host)?.get(pathPrefix);
    }
}
