import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";

/** Loopback address on which all stand-ins listen. */
export const LOOPBACK = "127.0.0.1";

const listenAnywhere = (): Promise<Server> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, LOOPBACK, () => resolve(server));
    });

/** Returns `count` distinct loopback ports that were free a moment ago. */
export const findFreePorts = async (count: number): Promise<number[]> => {
    // All are held open at once, so that the system hands out distinct ports.
    const servers = await Promise.all(Array.from({ length: count }, listenAnywhere));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise<void>(resolve => server.close(() => resolve()))));
    return ports;
};
