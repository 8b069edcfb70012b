import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

const LOOPBACK = "127.0.0.1";
/** Longest sleep between two polls. Node's timers have a resolution of 1 ms, too coarse for delays of 0.5 ms. */
const SLEEP_MS = 0.1;

interface Delayed {
    dueMs: number;
    deliver: () => void;
}

const sleepCell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

/** Delivers in order after a fixed delay. While deliveries are pending, the process polls between short sleeps. */
class DelayLine {
    readonly #queue: Delayed[] = [];
    #first = 0;
    #isPumping = false;

    constructor(readonly delayMs: number) {}

    push(deliver: () => void): void {
        if (this.delayMs === 0) {
            deliver();
            return;
        }
        this.#queue.push({ dueMs: performance.now() + this.delayMs, deliver });
        if (!this.#isPumping) {
            this.#isPumping = true;
            setImmediate(() => this.#pump());
        }
    }

    #pump(): void {
        for (let next = this.#queue[this.#first]; next !== undefined; next = this.#queue[this.#first]) {
            const waitMs = next.dueMs - performance.now();
            if (waitMs > 0) {
                Atomics.wait(sleepCell, 0, 0, Math.min(waitMs, SLEEP_MS));
                setImmediate(() => this.#pump());
                return;
            }
            this.#first += 1;
            next.deliver();
        }
        this.#queue.length = 0;
        this.#first = 0;
        this.#isPumping = false;
    }
}

const lines = new Map<number, DelayLine>();

const lineFor = (delayMs: number): DelayLine => {
    const line = lines.get(delayMs) ?? new DelayLine(delayMs);
    lines.set(delayMs, line);
    return line;
};

/** TCP relay on loopback that delays each direction by a fixed time and keeps order and throughput. */
export class DelayRelay {
    /** Number of bytes forwarded, both directions together. */
    bytes = 0;
    readonly #line: DelayLine;
    readonly #sockets = new Set<Socket>();

    private constructor(
        readonly server: Server,
        readonly address: string,
        readonly target: { host: string; port: number },
        oneWayDelayMs: number,
    ) {
        this.#line = lineFor(oneWayDelayMs);
    }

    /** Listens on a free port and relays to `target` (`host:port`). */
    static async start(target: string, oneWayDelayMs: number): Promise<DelayRelay> {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, LOOPBACK, resolve);
        });
        const { port } = server.address() as AddressInfo;
        const [host = "", targetPort = ""] = target.split(":");
        const parsed = { host, port: Number(targetPort) };
        const relay = new DelayRelay(server, `${LOOPBACK}:${port}`, parsed, oneWayDelayMs);
        server.on("connection", socket => relay.#accept(socket));
        return relay;
    }

    #accept(inbound: Socket): void {
        const outbound = connect(this.target.port, this.target.host);
        this.#pass(inbound, outbound);
        this.#pass(outbound, inbound);
    }

    #pass(from: Socket, to: Socket): void {
        this.#sockets.add(from);
        from.setNoDelay(true);
        from.on("data", (chunk: Buffer) => {
            this.bytes += chunk.length;
            this.#line.push(() => to.write(chunk));
        });
        from.on("error", () => this.#line.push(() => to.destroy()));
        from.on("end", () => this.#line.push(() => to.end()));
        from.on("close", () => {
            this.#sockets.delete(from);
            this.#line.push(() => to.destroy());
        });
    }
}
