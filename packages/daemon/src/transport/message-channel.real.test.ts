import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { pino } from "pino";
import { afterEach, beforeEach, expect, it } from "vitest";
import { MessageChannels } from "./message-channel.js";
import { MessageListener } from "./message-listener.js";

const HOST = "127.0.0.1";
const PORT = 17_923;
const TIMEOUT_MS = 300;

let channels: MessageChannels;
let listener: MessageListener;
let peer: Server | undefined;
const signal = new AbortController().signal;

const sleep = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

const call = (body: unknown, port = PORT): Promise<unknown> =>
    channels.call({ host: HOST, port, body, timeoutMs: TIMEOUT_MS, signal });

beforeEach(async () => {
    channels = new MessageChannels();
    listener = new MessageListener({
        address: { host: HOST, port: PORT },
        handle: async ({ delayMs, text }: { delayMs: number; text: string }) => {
            await sleep(delayMs);
            if (text === "fail") {
                throw new Error("failed in a test");
            }
            return text;
        },
        logger: pino({ enabled: false }),
    });
    await listener.listen();
});

afterEach(async () => {
    channels.close();
    await listener.close();
    peer?.close();
    peer = undefined;
});

/** Starts a peer that handles connections itself and returns its port. */
const startPeer = async (serve: (socket: Socket) => void): Promise<number> => {
    const server = createServer(serve);
    peer = server;
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    return (server.address() as AddressInfo).port;
};

// Guards against responses that reach another request than their own when a later one is answered first.
it("returns each response to its request, in any order", async () => {
    const texts = ["a".repeat(200_000), "b", "\n\u2028"];
    const responses = await Promise.all(texts.map((text, index) => call({ delayMs: 60 - 20 * index, text })));
    expect(responses).toEqual(texts);
});

// Guards against one message that can't be read, or whose handling fails, and ends the process or the service to others.
it("goes on after messages that can't be read and requests whose handling fails", async () => {
    for (
        const garbage of [
            "\n",
            "nonsense\n",
            "[1]\n",
            "{\"number\":\"1\"}\n",
            "[".repeat(100_000) + "\n",
            "\u0000\xff\n",
        ]
    ) {
        const socket = connect(PORT, HOST);
        const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
        socket.on("error", () => undefined);
        socket.write(garbage);
        await closed;
    }
    await expect(call({ delayMs: 0, text: "fail" })).rejects.toThrow("no response in time");
    await expect(call(undefined)).rejects.toThrow();
    expect(await call({ delayMs: 0, text: "sound" })).toBe("sound");
});

// Guards against memory that grows with a message that never ends.
it("closes a connection whose message is too long", async () => {
    const socket = connect(PORT, HOST);
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    socket.on("error", () => undefined);
    const chunk = Buffer.alloc(1024 * 1024, "a");
    const write = (): void => {
        if (!socket.destroyed) {
            socket.write(chunk, () => setImmediate(write));
        }
    };
    write();
    await closed;
    expect(await call({ delayMs: 0, text: "sound" })).toBe("sound");
});

// Guards against calls without an end: to a peer that is gone, that sends what isn't a response, or that is silent for good
// while a new connection would work.
it("fails the calls of a connection that breaks or is silent, and opens a new one for the next call", async () => {
    const connections: Socket[] = [];
    const port = await startPeer(socket => {
        connections.push(socket);
        socket.on("error", () => undefined);
        if (connections.length === 2) {
            socket.write("nonsense\n");
        }
        if (connections.length === 3) {
            socket.on("data", () => socket.write("{\"number\":1,\"body\":\"late\"}\n"));
        }
    });
    await expect(call({}, port)).rejects.toThrow("no response in time");
    await expect(call({}, port)).rejects.toThrow("a response can't be read");
    expect(await call({}, port)).toBe("late");
    expect(connections).toHaveLength(3);
    peer?.close();
    connections.forEach(socket => socket.destroy());
    await sleep(20);
    await expect(call({}, port)).rejects.toThrow();
});

// Guards against a caller that waits for a peer which is known to be replaced.
it("ends a call when it is aborted", async () => {
    const abort = new AbortController();
    const open = channels.call({
        host: HOST,
        port: PORT,
        body: { delayMs: 200, text: "" },
        timeoutMs: TIMEOUT_MS,
        signal: abort.signal,
    });
    abort.abort();
    await expect(open).rejects.toThrow("aborted");
});
