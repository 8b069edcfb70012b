import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

const LOOPBACK = "127.0.0.1";
/** Longest sleep between two polls. Node's timers have a resolution of 1 ms, too coarse for delays of 0.5 ms. */
const MAX_SLEEP_MS = 0.1;

interface DelayedDelivery {
    dueMs: number;
    deliver: () => void;
}

const sleepBuffer = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

/** Delivers in order after a fixed delay. While deliveries are pending, the process polls between short sleeps. */
class DelayLine {
    readonly #queue: DelayedDelivery[] = [];
    #nextPosition = 0;
    #isPolling = false;

    constructor(readonly delayMs: number) {}

    push(deliver: () => void): void {
        if (this.delayMs === 0) {
            deliver();
            return;
        }
        this.#queue.push({ dueMs: performance.now() + this.delayMs, deliver });
        if (!this.#isPolling) {
            this.#isPolling = true;
            setImmediate(() => this.#deliverDue());
        }
    }

    #deliverDue(): void {
        for (let next = this.#queue[this.#nextPosition]; next !== undefined; next = this.#queue[this.#nextPosition]) {
            const waitMs = next.dueMs - performance.now();
            if (waitMs > 0) {
                Atomics.wait(sleepBuffer, 0, 0, Math.min(waitMs, MAX_SLEEP_MS));
                setImmediate(() => this.#deliverDue());
                return;
            }
            this.#nextPosition += 1;
            next.deliver();
        }
        this.#queue.length = 0;
        this.#nextPosition = 0;
        this.#isPolling = false;
    }
}

const delayLines = new Map<number, DelayLine>();

const delayLineFor = (delayMs: number): DelayLine => {
    const line = delayLines.get(delayMs) ?? new DelayLine(delayMs);
    delayLines.set(delayMs, line);
    return line;
};

/** TCP relay on loopback that delays each direction by a fixed time and keeps order and throughput. */
export class DelayRelay {
    /** Number of bytes forwarded, both directions together. */
    bytes = 0;
    readonly #delayLine: DelayLine;
    readonly #sockets = new Set<Socket>();

    private constructor(
        readonly server: Server,
        readonly address: string,
        readonly target: { host: string; port: number },
        oneWayDelayMs: number,
    ) {
        this.#delayLine = delayLineFor(oneWayDelayMs);
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
        this.#forward(inbound, outbound);
        this.#forward(outbound, inbound);
    }

    #forward(from: Socket, to: Socket): void {
        this.#sockets.add(from);
        from.setNoDelay(true);
        from.on("data", (chunk: Buffer) => {
            this.bytes += chunk.length;
            this.#delayLine.push(() => to.write(chunk));
        });
        from.on("error", () => this.#delayLine.push(() => to.destroy()));
        from.on("end", () => this.#delayLine.push(() => to.end()));
        from.on("close", () => {
            this.#sockets.delete(from);
            this.#delayLine.push(() => to.destroy());
        });
    }
}
