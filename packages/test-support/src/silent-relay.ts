import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

interface Connection {
    sockets: [Socket, Socket];
    silent: boolean;
}

/**
 * TCP relay on loopback that can stop forwarding bytes without closing connections. Simulates a failed link, or a
 * connection whose state a firewall has dropped.
 */
export class SilentRelay {
    readonly #connections = new Set<Connection>();
    #areNewConnectionsSilent = false;
    #acceptedCount = 0;

    private constructor(
        readonly server: Server,
        readonly address: string,
        readonly targetHost: string,
        readonly targetPort: number,
    ) {}

    /** Listens on a free port, or on the given one, and relays to the target. */
    static async start(targetHost: string, targetPort: number, port = 0): Promise<SilentRelay> {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, LOOPBACK, resolve);
        });
        const { port: listeningPort } = server.address() as AddressInfo;
        const relay = new SilentRelay(server, `${LOOPBACK}:${listeningPort}`, targetHost, targetPort);
        server.on("connection", socket => {
            relay.#accept(socket);
        });
        return relay;
    }

    get connectionCount(): number {
        return this.#connections.size;
    }

    /** Number of connections accepted since the start. */
    get acceptedCount(): number {
        return this.#acceptedCount;
    }

    /** Stops forwarding bytes on the open connections; new ones work. */
    silenceOpenConnections(): void {
        this.#connections.forEach(connection => {
            this.#setSilent(connection, true);
        });
    }

    /** Stops forwarding bytes on all connections, open and new. */
    silenceAll(): void {
        this.#areNewConnectionsSilent = true;
        this.silenceOpenConnections();
    }

    /** Resumes forwarding, including the bytes that were held back. */
    resume(): void {
        this.#areNewConnectionsSilent = false;
        this.#connections.forEach(connection => {
            this.#setSilent(connection, false);
        });
    }

    /** Closes the listener and all connections. */
    async close(): Promise<void> {
        this.#connections.forEach(({ sockets }) => {
            sockets.forEach(socket => socket.destroy());
        });
        await new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
        });
    }

    #accept(inbound: Socket): void {
        this.#acceptedCount += 1;
        const outbound = connect(this.targetPort, this.targetHost);
        const connection: Connection = { sockets: [inbound, outbound], silent: false };
        this.#connections.add(connection);
        inbound.setNoDelay(true);
        outbound.setNoDelay(true);
        this.#forward(connection, inbound, outbound);
        this.#forward(connection, outbound, inbound);
        this.#setSilent(connection, this.#areNewConnectionsSilent);
    }

    #forward(connection: Connection, from: Socket, to: Socket): void {
        from.on("data", chunk => {
            if (!to.write(chunk)) {
                from.pause();
                to.once("drain", () => {
                    if (!connection.silent) {
                        from.resume();
                    }
                });
            }
        });
        from.on("error", () => from.destroy());
        from.on("close", () => {
            // A silent connection hides the close of one side from the other, as a failed link does.
            if (!connection.silent) {
                to.end();
                this.#removeIfClosed(connection);
            }
        });
    }

    #setSilent(connection: Connection, silent: boolean): void {
        connection.silent = silent;
        for (const socket of connection.sockets) {
            if (silent) {
                socket.pause();
            }
            else {
                socket.resume();
            }
        }
        if (!silent && connection.sockets.some(socket => socket.destroyed)) {
            connection.sockets.forEach(socket => socket.destroy());
            this.#removeIfClosed(connection);
        }
    }

    #removeIfClosed(connection: Connection): void {
        if (connection.sockets.every(socket => socket.destroyed)) {
            this.#connections.delete(connection);
        }
    }
}
