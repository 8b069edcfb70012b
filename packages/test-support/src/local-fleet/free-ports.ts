import { randomInt } from "node:crypto";
import { createServer } from "node:net";
import type { Server } from "node:net";

/** Loopback address on which all stand-ins listen. */
export const LOOPBACK = "127.0.0.1";

/** Below the system's ephemeral port range, so that outgoing connections do not collide with these ports. */
const FIRST_PORT = 18_000;
const LAST_PORT = 32_000;

/** Ports that were returned before; the processes that are to use them may not listen yet. */
const allocatedPorts = new Set<number>();

const tryListen = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, LOOPBACK, () => resolve(server));
    });

const listenOnFreePort = async (): Promise<{ port: number; server: Server }> => {
    for (;;) {
        const port = randomInt(FIRST_PORT, LAST_PORT);
        const server = allocatedPorts.has(port) ? undefined : await tryListen(port);
        if (server !== undefined) {
            allocatedPorts.add(port);
            return { port, server };
        }
    }
};

/** Returns `count` loopback ports that were free when checked; none is returned twice. */
export const findFreePorts = async (count: number): Promise<number[]> => {
    // All are held open at once, so that they are distinct.
    const listening = await Promise.all(Array.from({ length: count }, listenOnFreePort));
    await Promise.all(listening.map(({ server }) => new Promise<void>(resolve => server.close(() => resolve()))));
    return listening.map(({ port }) => port);
};
