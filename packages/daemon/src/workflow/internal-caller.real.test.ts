import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server as NetServer, Socket } from "node:net";
import { setImmediate as nextIteration, setTimeout as delay } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { pino } from "pino";
import { afterEach, expect, it, vi } from "vitest";
import { HttpListener } from "../http/http-listener.js";
import { InternalCaller } from "./internal-caller.js";
import { createInternalListener } from "./internal-listener.js";
import type { InternalHandler } from "./internal-listener.js";
import { CallError } from "./json-call.js";
import type { JsonCall } from "./json-call.js";

const HOST = "127.0.0.1";
const GRACE_MS = 2_000;
const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0)) {
        await cleanup();
    }
});

const listen = async (
    ...handlers: [path: string, handler: InternalHandler][]
): Promise<{ listener: HttpListener; port: number }> => {
    const listener = createInternalListener({
        address: { host: HOST, port: 0 },
        handlers: new Map(handlers),
        logger: pino({ enabled: false }),
    });
    const port = await listener.listen();
    cleanups.push(() => listener.close(0));
    return { listener, port };
};

interface Proxy {
    port: number;
    connectionCount: () => number;
    /** Holds back what the target sends until the returned function is called. */
    holdAnswers: () => () => void;
}

/** Passes connections on to another port, except for those that `isSilent` selects by their number. */
const startProxy = async (targetPort: number, isSilent: (connection: number) => boolean): Promise<Proxy> => {
    let connections = 0;
    const passed: { socket: Socket; target: Socket }[] = [];
    const proxy: NetServer = createServer(socket => {
        connections += 1;
        socket.on("error", () => socket.destroy());
        cleanups.push(() => socket.destroy());
        if (isSilent(connections)) {
            return;
        }
        const target = connect(targetPort, HOST);
        target.on("error", () => socket.destroy());
        socket.pipe(target).pipe(socket);
        passed.push({ socket, target });
    });
    proxy.listen(0, HOST);
    await once(proxy, "listening");
    cleanups.push(() => proxy.close());
    const holdAnswers = (): () => void => {
        const held = [...passed];
        held.forEach(({ socket, target }) => target.unpipe(socket));
        return () => held.forEach(({ socket, target }) => target.pipe(socket));
    };
    return { port: (proxy.address() as AddressInfo).port, connectionCount: () => connections, holdAnswers };
};

const createCaller = (): InternalCaller => {
    const caller = new InternalCaller();
    cleanups.push(() => caller.close());
    return caller;
};

const callOf = (port: number, path: string, timeoutMs: number): JsonCall => ({
    host: HOST,
    port,
    path,
    body: { text: "a" },
    timeoutMs,
});

// Guards against a caller that opens a connection for each call that timed out. A leader that is late accepts one in
// each iteration of its event loop, so that it stayed busy with connections of callers that had given up.
it("keeps one connection to a peer whose answers are late", async () => {
    const { port: targetPort } = await listen(["/late", () => delay(900, {})]);
    const { port, connectionCount } = await startProxy(targetPort, () => false);
    const caller = createCaller();
    const isAnswered = (): Promise<boolean> => caller.call(callOf(port, "/late", 600)).then(() => true, () => false);
    for (let round = 0; round < 2; round += 1) {
        expect(await Promise.all(Array.from({ length: 40 }, isAnswered))).not.toContain(true);
    }
    expect(connectionCount()).toBe(1);
    expect(await caller.call(callOf(port, "/late", 5_000))).toEqual({});
});

// Guards against a connection to a leader that is late for long, which is replaced once a second by each entry. The
// leader then accepts connections in place of handling calls, and stays late.
it("keeps a connection on which only answers to calls that have timed out arrive", async () => {
    const { port: targetPort } = await listen(["/late", () => delay(900, {})]);
    const { port, connectionCount } = await startProxy(targetPort, () => false);
    const caller = createCaller();
    const isAnswered = (): Promise<boolean> => caller.call(callOf(port, "/late", 600)).then(() => true, () => false);
    for (let round = 0; round < 3; round += 1) {
        expect(await isAnswered()).toBe(false);
    }
    expect(await caller.call(callOf(port, "/late", 5_000))).toEqual({});
    expect(connectionCount()).toBe(1);
});

// Guards against a connection that its peer closes, with all calls on it, because too many calls were cancelled: an
// HTTP/2 server takes more than 1,000 cancellations, and 33 a second, for an attack.
it("keeps a connection on which many calls were given up", async () => {
    const { port: targetPort } = await listen(["/late", () => delay(200, {})]);
    const { port, connectionCount } = await startProxy(targetPort, () => false);
    const caller = createCaller();
    const giveUpCall = async (): Promise<string> => {
        const controller = new AbortController();
        const onSent = (): void => void setTimeout(() => controller.abort(), 20);
        const call = { ...callOf(port, "/late", 10_000), signal: controller.signal, onSent };
        return caller.call(call).then(() => "", (error: unknown) => (error as Error).message);
    };
    for (let round = 0; round < 14; round += 1) {
        const messages = await Promise.all(Array.from({ length: 100 }, giveUpCall));
        expect(new Set(messages)).toEqual(new Set(["the call was aborted"]));
    }
    expect(await caller.call(callOf(port, "/late", 10_000))).toEqual({});
    expect(connectionCount()).toBe(1);
});

// Guards against calls that are sent on a connection whose packets are lost while new connections would work.
it("replaces a connection on which nothing arrives", async () => {
    const { port: targetPort } = await listen(["/echo", (body: unknown) => body]);
    const { port, connectionCount } = await startProxy(targetPort, connection => connection === 1);
    const caller = createCaller();
    const call = callOf(port, "/echo", 300);
    const isAnswered = (): Promise<boolean> => caller.call(call).then(() => true, () => false);
    const results: boolean[] = [];
    for (let attempt = 0; attempt < 5; attempt += 1) {
        results.push(await isAnswered());
    }
    expect(results).toEqual([false, false, false, false, true]);
    expect(connectionCount()).toBe(2);
});

// Guards against an answer that is lost because its connection was replaced for another call.
it("delivers the late answer of a call whose connection takes no more calls", async () => {
    const { port: targetPort } = await listen(["/late", () => delay(100, { isLate: true })]);
    const { port, connectionCount, holdAnswers } = await startProxy(targetPort, () => false);
    const caller = createCaller();
    await caller.call(callOf(port, "/late", 1_000));
    const releaseAnswers = holdAnswers();
    const late = caller.call(callOf(port, "/late", 4_000));
    await expect(caller.call(callOf(port, "/late", 1_200))).rejects.toThrow("no response within 1200 ms");
    expect(await caller.call(callOf(port, "/late", 1_000))).toEqual({ isLate: true });
    expect(connectionCount()).toBe(2);
    releaseAnswers();
    expect(await late).toEqual({ isLate: true });
});

// Guards against a planned shutdown that cuts off the answers to calls in progress.
it("answers open calls when the listener closes, and refuses later ones without executing them", async () => {
    let executed = 0;
    const { listener, port } = await listen(["/slow", async () => {
        executed += 1;
        await delay(500);
        return {};
    }]);
    const caller = createCaller();
    const open = caller.call(callOf(port, "/slow", 5_000));
    await vi.waitUntil(() => executed === 1);
    const closed = listener.close(GRACE_MS);
    await delay(50);
    const error: unknown = await caller.call(callOf(port, "/slow", 1_000)).catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(CallError);
    expect((error as CallError).mayHaveActed).toBe(false);
    expect(await open).toEqual({});
    await closed;
    expect(executed).toBe(1);
});

// Guards against calls to a process that isn't running being reported to callers as possibly executed.
it("reports that a refused connection can't have executed the call", async () => {
    const { listener, port } = await listen();
    await listener.close(0);
    const error: unknown = await createCaller().call(callOf(port, "/any", 500)).catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(CallError);
    expect((error as CallError).mayHaveActed).toBe(false);
});

// Guards against a failed handler or a message of any size that ends the connection of other calls.
it("keeps the connection when a call fails", async () => {
    const { port: targetPort } = await listen(
        ["/fail", () => Promise.reject(new Error("failed"))],
        ["/echo", (body: unknown) => body],
    );
    const { port, connectionCount } = await startProxy(targetPort, () => false);
    const caller = createCaller();
    const large = { ...callOf(port, "/echo", 5_000), body: { text: "a".repeat(1_500_000) } };
    const tooLarge = { ...callOf(port, "/echo", 5_000), body: { text: "a".repeat(3_000_000) } };
    await expect(caller.call(callOf(port, "/fail", 1_000))).rejects.toThrow("status 500");
    await expect(caller.call(callOf(port, "/unknown", 1_000))).rejects.toThrow("status 404");
    await expect(caller.call(tooLarge)).rejects.toThrow("status 500");
    expect(await caller.call(large)).toEqual(large.body);
    expect(connectionCount()).toBe(1);
});

// Guards against an aborted call that goes on to wait, or that ends other calls.
it("ends only the call that is aborted", async () => {
    const { port } = await listen(["/late", () => delay(200, {})]);
    const caller = createCaller();
    const controller = new AbortController();
    let isSent = false;
    const aborted = caller.call({
        ...callOf(port, "/late", 5_000),
        signal: controller.signal,
        onSent: () => {
            isSent = true;
        },
    });
    const other = caller.call(callOf(port, "/late", 5_000));
    await delay(100);
    controller.abort();
    await expect(aborted).rejects.toThrow("the call was aborted");
    expect(isSent).toBe(true);
    expect(await other).toEqual({});
});

// Guards against an upgrade during which entries of the new version can't reach the leader, which is upgraded last.
it("calls a peer of the version before HTTP/2 over HTTP/1.1", async () => {
    let executed = 0;
    const listener = new HttpListener({
        address: { host: HOST, port: 0 },
        maxConnections: 8,
        handle: (request, response) => {
            executed += 1;
            request.pipe(response);
        },
        onConnectionRefused: () => undefined,
        logger: pino({ enabled: false }),
    });
    const port = await listener.listen();
    const caller = createCaller();
    const call = callOf(port, "/echo", 1_000);
    expect(await Promise.all([caller.call(call), caller.call(call)])).toEqual([call.body, call.body]);
    expect(await caller.call(call)).toEqual(call.body);
    expect(executed).toBe(3);
    caller.close();
    await listener.close(GRACE_MS);
});

/** Program of a peer in a thread of its own, which answers after 50 ms and reports its port. */
const PEER_PROGRAM = `
    const { createServer } = require("node:http2");
    const { parentPort } = require("node:worker_threads");
    const server = createServer((request, response) => {
        request.resume();
        setTimeout(() => response.end("{}"), 50);
    });
    server.listen(0, "${HOST}", () => parentPort.postMessage(server.address().port));
`;

// Guards against a process that was stalled, or frozen, and throws away the answers that arrived meanwhile.
it("returns an answer that arrived in time although the caller's process was stalled", async () => {
    const peer = new Worker(PEER_PROGRAM, { eval: true });
    cleanups.push(() => peer.terminate());
    const [port] = await once(peer, "message") as [number];
    const caller = createCaller();
    await caller.call(callOf(port, "/any", 1_000));
    const answer = caller.call(callOf(port, "/any", 200));
    await nextIteration();
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 400);
    expect(await answer).toEqual({});
});

// Guards against a process that ends, with all calls that it has accepted, because a connection that is given up at the
// moment at which it is established throws outside of any call.
it("throws nothing outside of a call when a connection is closed while it is established", async () => {
    const uncaught: unknown[] = [];
    const record = (error: unknown): void => void uncaught.push(error);
    process.on("uncaughtException", record);
    cleanups.push(() => process.off("uncaughtException", record));
    const { port } = await listen(["/echo", body => body]);
    for (let round = 0; round < 40; round += 1) {
        const caller = new InternalCaller();
        caller.call({ host: HOST, port, path: "/echo", body: {}, timeoutMs: 50 }).catch(() => undefined);
        for (let turn = 0; turn < round % 8; turn += 1) {
            await new Promise(resolve => setImmediate(resolve));
        }
        caller.close();
    }
    await delay(100);
    expect(uncaught).toEqual([]);
});
