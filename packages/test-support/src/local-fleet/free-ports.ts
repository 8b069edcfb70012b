import { randomInt } from "node:crypto";
import { createServer } from "node:net";
import type { Server } from "node:net";

/** Loopback address on which all stand-ins listen. */
export const LOOPBACK = "127.0.0.1";

/** Below the range from which the system takes ports of outgoing connections, so that none of those collides. */
const FIRST_PORT = 18_000;
const LAST_PORT = 32_000;

const tryListen = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, LOOPBACK, () => resolve(server));
    });

const listenOnFreePort = async (): Promise<{ port: number; server: Server }> => {
    for (;;) {
        const port = randomInt(FIRST_PORT, LAST_PORT);
        const server = await tryListen(port);
        if (server !== undefined) {
            return { port, server };
        }
    }
};

/** Returns `count` distinct loopback ports that were free a moment ago. */
export const findFreePorts = async (count: number): Promise<number[]> => {
    // All are held open at once, so that they are distinct.
    const listening = await Promise.all(Array.from({ length: count }, listenOnFreePort));
    await Promise.all(listening.map(({ server }) => new Promise<void>(resolve => server.close(() => resolve()))));
    return listening.map(({ port }) => port);
};
