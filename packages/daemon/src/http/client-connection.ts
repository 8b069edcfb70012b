import type { IncomingMessage } from "node:http";

/**
 * Iterations of the event loop in which the end of a connection is read once it has arrived: the first one may have read
 * the request, and the next one reads what follows it.
 */
const READ_ITERATIONS = 2;

/**
 * Whether the client of a request has closed its connection, as far as that has arrived by now. A process that was suspended
 * reads a request and its client's departure seconds after they were sent.
 */
export const hasClientLeft = async ({ socket }: IncomingMessage): Promise<boolean> => {
    for (let iteration = 0; iteration < READ_ITERATIONS; iteration += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
    return socket.destroyed || socket.readableEnded;
};
