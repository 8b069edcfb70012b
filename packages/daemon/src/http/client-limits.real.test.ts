import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { pino } from "pino";
import { afterEach, expect, it, vi } from "vitest";
import { ClientLimits } from "./client-limits.js";
import { HttpListener } from "./http-listener.js";
import { readBody } from "./request-body.js";

const MAX_BODY_BYTES = 262_144;
const MAX_HEADER_BYTES = 16_384;
const MAX_CONNECTIONS = 64;
const MEBIBYTE = 1024 * 1024;
const logger = pino({ enabled: false });

let listener: HttpListener | undefined;
let sockets: Socket[] = [];

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    sockets = [];
    await listener?.close(0);
});

type Handle = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Answers with the size of the body. */
const answerSize: Handle = async (request, response) => {
    const body = await readBody(request, MAX_BODY_BYTES);
    response.end(String(body.length));
};

const startListener = async (handle: Handle, memoryBytes?: number): Promise<number> => {
    listener = new HttpListener({
        address: { host: "127.0.0.1", port: 0 },
        maxConnections: MAX_CONNECTIONS,
        clientLimits: new ClientLimits({ memoryBytes, logger }),
        handle,
        onConnectionRefused: () => undefined,
        logger,
    });
    return listener.listen();
};

interface Client {
    socket: Socket;
    /** Everything received so far. */
    readonly received: string;
}

const openClient = (port: number): Client => {
    const socket = connect(port, "127.0.0.1");
    sockets.push(socket);
    const chunks: string[] = [];
    socket.on("data", chunk => chunks.push(String(chunk)));
    socket.on("error", () => socket.destroy());
    return {
        socket,
        get received() {
            return chunks.join("");
        },
    };
};

const CHUNKED_HEAD = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const LAST_CHUNK = "0\r\n\r\n";

const chunksOf = (totalBytes: number, chunkBytes: number): string =>
    `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`.repeat(totalBytes / chunkBytes);

// Guards against limits that refuse a single request within what the interface promises.
it.each([
    ["in one chunk", CHUNKED_HEAD + chunksOf(MAX_BODY_BYTES, MAX_BODY_BYTES) + LAST_CHUNK],
    ["in chunks of one byte", CHUNKED_HEAD + chunksOf(MAX_BODY_BYTES, 1) + LAST_CHUNK],
    [
        "of declared length",
        `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${MAX_BODY_BYTES}\r\n\r\n${"x".repeat(MAX_BODY_BYTES)}`,
    ],
])("serves the longest body %s", async (unusedName, request) => {
    const client = openClient(await startListener(answerSize));
    client.socket.write(request);
    await vi.waitUntil(() => client.received.endsWith(String(MAX_BODY_BYTES)), 20_000);
    expect(client.received).toContain("200 OK");
});

// Guards against a client that is closed because it sends slowly, while there is room.
it("serves a body that arrives slowly", async () => {
    const client = openClient(await startListener(answerSize));
    client.socket.write(CHUNKED_HEAD);
    for (let count = 0; count < 40; count += 1) {
        client.socket.write(chunksOf(1, 1));
        await delay(50);
    }
    client.socket.write(LAST_CHUNK);
    await vi.waitUntil(() => client.received.endsWith("40"), 20_000);
});

// Guards against a header of the longest permitted size that is refused.
it("serves the longest header", async () => {
    const client = openClient(await startListener(answerSize));
    const [start, end] = ["GET / HTTP/1.1\r\nhost: a\r\nfiller: ", "\r\n\r\n"];
    client.socket.write(start + "x".repeat(MAX_HEADER_BYTES - start.length - end.length) + end);
    await vi.waitUntil(() => client.received.endsWith("0"), 20_000);
    expect(client.received).toContain("200 OK");
});

// Guards against a client that sends many requests ahead and gets no answer to some, or answers in another order.
it("answers all requests that were sent ahead on one connection, in their order", async () => {
    const count = 3_000;
    let served = 0;
    const client = openClient(
        await startListener(async (unusedRequest, response) => {
            served += 1;
            const number = served;
            await delay(number % 3);
            response.end(`[${number}]`);
        }),
    );
    client.socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(count));
    await vi.waitUntil(() => client.received.endsWith(`[${count}]`), 40_000);
    const numbers = [...client.received.matchAll(/\[(\d+)\]/g)].map(match => Number(match[1]));
    expect(numbers).toEqual(Array.from({ length: count }, (_, index) => index + 1));
});

// Guards against a connection that takes more of the process than others by sending its requests ahead.
it("handles the requests of a connection one after the other", async () => {
    const responses: ServerResponse[] = [];
    const port = await startListener(async (unusedRequest, response) => void responses.push(response));
    const client = openClient(port);
    client.socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(40));
    await vi.waitUntil(() => responses.length > 0);
    await delay(300);
    expect(responses.length).toBe(1);
    for (let answered = 0; answered < 40; answered += 1) {
        await vi.waitUntil(() => responses.length > answered, 20_000);
        responses[answered]?.end("done");
    }
    await vi.waitUntil(() => client.received.split("200 OK").length === 41, 20_000);
});

// Guards against a refusal that isn't true, or that doesn't say when to come back: the handler must not have got the body.
it("refuses the largest unfinished body with 503 when the budget is full, and serves an ordinary request", async () => {
    const handled: number[] = [];
    const port = await startListener(async (request, response) => {
        handled.push((await readBody(request, MAX_BODY_BYTES)).length);
        response.end("done");
    }, MEBIBYTE);
    const large = openClient(port);
    large.socket.write(CHUNKED_HEAD + chunksOf(200_000, 20_000));
    await once(large.socket, "close");
    expect(large.received).toContain("503 Service Unavailable");
    expect(large.received).toContain("Retry-After: 1");
    const ordinary = openClient(port);
    ordinary.socket.write(CHUNKED_HEAD + chunksOf(100, 100) + LAST_CHUNK);
    await vi.waitUntil(() => ordinary.received.includes("200 OK"), 20_000);
    expect(handled).toEqual([100]);
});

// Guards against a request that was read in full, and perhaps passed on, but is refused as one that has not run.
it("closes the connection without an answer if a request has been handled", async () => {
    const handled: number[] = [];
    const port = await startListener(async request => {
        handled.push((await readBody(request, MAX_BODY_BYTES)).length);
    }, MEBIBYTE);
    const client = openClient(port);
    client.socket.write(CHUNKED_HEAD + chunksOf(100, 100) + LAST_CHUNK);
    await vi.waitUntil(() => handled.length === 1, 20_000);
    client.socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(10_000));
    await delay(1_000);
    openClient(port).socket.write(CHUNKED_HEAD + chunksOf(200_000, 20_000));
    await vi.waitUntil(() => client.socket.destroyed, 20_000);
    expect(client.received).toBe("");
});

// Guards against the answers of requests that nobody reads adding up to the memory of the process.
it("closes connections whose unread answers exceed the budget", async () => {
    const answer = Buffer.alloc(MEBIBYTE, "x");
    const port = await startListener(async (unusedRequest, response) => void response.end(answer), 40 * MEBIBYTE);
    const clients = Array.from({ length: 30 }, () => openClient(port));
    for (const { socket } of clients) {
        socket.pause();
        socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(20));
    }
    await vi.waitUntil(() => (listener?.connectionCount ?? 0) < 30, 20_000);
    const ordinary = openClient(port);
    ordinary.socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    await vi.waitUntil(() => ordinary.received.length > MEBIBYTE, 20_000);
});

// Guards against headers without end that are collected for as long as they arrive.
it("refuses a header that exceeds the limit", async () => {
    const client = openClient(await startListener(answerSize));
    client.socket.write(`GET / HTTP/1.1\r\nhost: a\r\n${"filler: filler\r\n".repeat(5_000)}`);
    await vi.waitUntil(() => client.socket.destroyed, 20_000);
    expect(client.received).toContain("431 Request Header Fields Too Large");
});

// Guards against clients that begin a request and then say nothing, until the listener accepts no others.
it("closes stalled connections when hardly any are left for others", async () => {
    const port = await startListener(answerSize);
    const stalled = Array.from({ length: MAX_CONNECTIONS }, () => openClient(port));
    stalled.forEach(({ socket }) => socket.write(CHUNKED_HEAD + chunksOf(10, 10)));
    await vi.waitUntil(() => listener?.connectionCount === MAX_CONNECTIONS, 20_000);
    await vi.waitUntil(() => (listener?.connectionCount ?? 0) < MAX_CONNECTIONS, 40_000);
    const ordinary = openClient(port);
    ordinary.socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    await vi.waitUntil(() => ordinary.received.includes("200 OK"), 20_000);
    expect(stalled.some(({ received }) => received.includes("503 Service Unavailable"))).toBe(true);
});
