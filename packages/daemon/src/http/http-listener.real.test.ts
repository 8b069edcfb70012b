import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, Server as NetServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { pino } from "pino";
import { expect, it, vi } from "vitest";
import { HttpListener } from "./http-listener.js";

const REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const GRACE_MS = 5_000;
const logger = pino({ enabled: false });

// Guards against a planned shutdown that drops a request sent on a kept-alive connection while the listener closes.
it("answers a request that arrives on an idle connection while the listener closes, and then closes it", async () => {
    const listener = new HttpListener({
        address: { host: "127.0.0.1", port: 0 },
        maxConnections: 8,
        handle: (unusedRequest, response) => void response.end("done"),
        onConnectionRefused: () => undefined,
        logger,
    });
    const socket = connect(await listener.listen(), "127.0.0.1");
    let received = "";
    socket.on("data", chunk => {
        received += String(chunk);
    });
    socket.write(REQUEST);
    await once(socket, "data");
    received = "";
    const closed = listener.close(GRACE_MS);
    socket.write(REQUEST);
    await once(socket, "close");
    await closed;
    expect(received).toContain("HTTP/1.1 200 OK");
    expect(received.toLowerCase()).toContain("connection: close");
});

// Guards against a listen error that is uncaught, so that the process ends without reporting why it cannot listen.
it("reports a port that is in use, with HTTP/2 served too", async () => {
    const options = {
        maxConnections: 8,
        handle: () => undefined,
        handleHttp2: () => undefined,
        logger,
        onConnectionRefused: () => undefined,
    };
    const first = new HttpListener({ ...options, address: { host: "127.0.0.1", port: 0 } });
    const port = await first.listen();
    const second = new HttpListener({ ...options, address: { host: "127.0.0.1", port } });
    await expect(second.listen()).rejects.toThrow("EADDRINUSE");
    await first.close(GRACE_MS);
});

// Guards against a process that ends because a connection can't be accepted, for example for want of file descriptors.
it.each([["without", {}], ["with", { handleHttp2: () => undefined }]])(
    "goes on after errors of accepting connections, %s HTTP/2",
    async (unusedName, options) => {
        const listen = vi.spyOn(NetServer.prototype, "listen");
        const listener = new HttpListener({
            address: { host: "127.0.0.1", port: 0 },
            maxConnections: 8,
            handle: (unusedRequest, response) => void response.end("done"),
            logger,
            onConnectionRefused: () => undefined,
            ...options,
        });
        const port = await listener.listen();
        const [server] = listen.mock.contexts;
        listen.mockRestore();
        for (let count = 0; count < 3; count += 1) {
            (server as NetServer).emit("error", new Error("accept EMFILE"));
        }
        expect(await requestOnNewConnection(port)).toContain("200 OK");
        await listener.close(GRACE_MS);
    },
);

const createListener = (handle: (response: ServerResponse) => Promise<void> | void): HttpListener =>
    new HttpListener({
        address: { host: "127.0.0.1", port: 0 },
        maxConnections: 64,
        handle: (unusedRequest, response) => handle(response),
        onConnectionRefused: () => undefined,
        logger,
    });

/** Sends one request on a new connection. Resolves with everything received, or with the code of the socket's error. */
const requestOnNewConnection = (port: number): Promise<string> =>
    new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        let received = "";
        socket.on("data", chunk => {
            received += String(chunk);
        });
        socket.once("error", error => resolve((error as NodeJS.ErrnoException).code ?? "error"));
        socket.once("close", () => resolve(received));
        socket.write(REQUEST);
    });

// Guards against a planned shutdown that resets connections which the kernel has established and the process hasn't
// accepted yet. The event loop accepts one of them in each iteration.
it("answers the requests of all connections that are established when it closes", async () => {
    const listener = createListener(response => void response.end("done"));
    const port = await listener.listen();
    const replies = Array.from({ length: 12 }, () => requestOnNewConnection(port));
    // Connections are established in the next tick, and stay in the kernel's queue while the event loop is blocked.
    await new Promise<void>(resolve => process.nextTick(resolve));
    const closed = listener.close(GRACE_MS);
    for (const reply of await Promise.all(replies)) {
        expect(reply).toContain("HTTP/1.1 200 OK");
    }
    await closed;
});

// Guards against a connection that stays open after the answer to a request in progress, so that the next request on
// it is cut when the grace period ends.
it("closes a connection after the answer to a request that was in progress when it began to drain", async () => {
    const responses: ServerResponse[] = [];
    const listener = createListener(response => void responses.push(response));
    const reply = requestOnNewConnection(await listener.listen());
    await vi.waitUntil(() => responses.length === 1);
    listener.drain();
    responses[0]?.end("done");
    expect((await reply).toLowerCase()).toContain("connection: close");
    await listener.close(GRACE_MS);
});

// Guards against a handler's error that leaves the request unanswered and ends the process as an unhandled rejection.
it("answers 500 when the handler throws or rejects", async () => {
    const handlers = [
        () => {
            throw new Error("thrown in a test");
        },
        () => Promise.reject(new Error("rejected in a test")),
    ];
    for (const handler of handlers) {
        const listener = createListener(handler);
        expect(await requestOnNewConnection(await listener.listen())).toContain("HTTP/1.1 500");
        await listener.close(GRACE_MS);
    }
});

const HTTP2_PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const SETTINGS_FRAME = "\0\0\0\x04\0\0\0\0\0";
/** A DATA frame without a stream, which breaks the protocol. */
const INVALID_FRAME = "\0\0\0\0\0\0\0\0\0";

// Guards against connections of clients that have lost power or were cut off, which nobody closes. They added up to the
// limit of the listener, which then refused all new ones.
it.each([
    { name: "is silent", sent: SETTINGS_FRAME },
    { name: "has broken the protocol", sent: SETTINGS_FRAME + INVALID_FRAME },
])("closes an HTTP/2 connection that $name", async ({ sent }) => {
    const listener = new HttpListener({
        address: { host: "127.0.0.1", port: 0 },
        maxConnections: 1,
        handle: () => undefined,
        handleHttp2: () => undefined,
        http2IdleTimeoutMs: 200,
        onConnectionRefused: () => undefined,
        logger,
    });
    const socket = connect({ port: await listener.listen(), host: "127.0.0.1", allowHalfOpen: true });
    socket.on("error", () => undefined);
    socket.resume().write(Buffer.from(HTTP2_PREFACE + sent, "latin1"));
    await vi.waitFor(() => expect(listener.connectionCount).toBe(1));
    await vi.waitFor(() => expect(listener.connectionCount).toBe(0), 2_000);
    socket.destroy();
    await listener.close(0);
});

// Guards against a planned stop that waits for its whole grace period for idle connections of HTTP/1.1 clients.
it("closes idle HTTP/1.1 connections soon, with HTTP/2 served too", async () => {
    const listener = new HttpListener({
        address: { host: "127.0.0.1", port: 0 },
        maxConnections: 8,
        handle: (unusedRequest, response) => void response.end("done"),
        handleHttp2: () => undefined,
        onConnectionRefused: () => undefined,
        logger,
    });
    const socket = connect(await listener.listen(), "127.0.0.1");
    socket.write(REQUEST);
    await once(socket, "data");
    const closed = listener.close(GRACE_MS);
    const isClosed = once(socket, "close").then(() => true);
    expect(await Promise.race([isClosed, delay(2_000, false)])).toBe(true);
    await closed;
});

// Guards against a planned stop that takes longer than its grace period under load, so that the process is killed.
it("closes within the grace period while the event loop is busy", async () => {
    const listener = createListener(() => new Promise(() => undefined));
    const socket = connect(await listener.listen(), "127.0.0.1");
    socket.on("error", () => undefined);
    socket.write(REQUEST);
    let isBusy = true;
    const holdEventLoop = (): void => {
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 5);
        if (isBusy) {
            setImmediate(holdEventLoop);
        }
    };
    holdEventLoop();
    const startedAtMs = performance.now();
    await listener.close(1_000);
    isBusy = false;
    expect(performance.now() - startedAtMs).toBeLessThan(1_300);
});
