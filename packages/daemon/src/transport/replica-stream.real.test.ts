import { create } from "@bufbuild/protobuf";
import { ReplicaMessageSchema } from "@waxwingspread/protocol";
import type { ReplicaMessage } from "@waxwingspread/protocol";
import { once } from "node:events";
import { connect, createServer, Server as NetServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { afterEach, expect, it, vi } from "vitest";
import { monotonicNowMs } from "./monotonic-time.js";
import { ReplicaStreamListener, ReplicaStreamSender } from "./replica-stream.js";

const HOST = "127.0.0.1";
const closers: (() => unknown)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0)) {
        await close();
    }
});

const messageOfTerm = (term: number): ReplicaMessage => create(ReplicaMessageSchema, { term });

const waitUntil = async (isDone: () => boolean): Promise<void> => {
    while (!isDone()) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
};

/** Relays bytes to a port. After `pauseConnections`, existing connections stay open but transfer nothing. */
const startRelay = async (targetPort: number): Promise<{ server: Server; pauseConnections: () => void }> => {
    const open: Socket[] = [];
    const server = createServer(incoming => {
        const outgoing = connect(targetPort, HOST);
        open.push(incoming, outgoing);
        incoming.on("error", () => undefined).on("close", () => outgoing.destroy());
        outgoing.on("error", () => undefined);
        incoming.pipe(outgoing).pipe(incoming);
    });
    server.listen(0, HOST);
    await once(server, "listening");
    closers.push(() => {
        open.forEach(socket => socket.destroy());
        server.close();
    });
    const pauseConnections = (): void => open.forEach(socket => socket.unpipe().pause());
    return { server, pauseConnections };
};

const freePort = async (): Promise<number> => {
    const server = createServer().listen(0, HOST);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
};

// Guards against a process that ends because a message, such as a request for a vote, names an invalid address.
it("drops messages to addresses that can't be connected to", async () => {
    const port = await freePort();
    const terms: number[] = [];
    const listener = new ReplicaStreamListener(
        { host: HOST, port },
        messages => messages.forEach(message => terms.push(message.term)),
    );
    closers.push(() => listener.close());
    await listener.listen();
    const sender = new ReplicaStreamSender();
    closers.push(() => sender.close());
    for (const address of [`${HOST}:65536`, `${HOST}:0`, `${HOST}:x`, HOST, ":80", `${HOST}:${port}`]) {
        sender.send(address, messageOfTerm(1), monotonicNowMs());
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    await waitUntil(() => terms.length > 0);
    expect(terms).toEqual([1]);
});

// Guards against a process that ends because a connection can't be accepted, for example for want of file descriptors.
it("receives messages after errors of accepting connections", async () => {
    const port = await freePort();
    const terms: number[] = [];
    const listen = vi.spyOn(NetServer.prototype, "listen");
    const listener = new ReplicaStreamListener(
        { host: HOST, port },
        messages => messages.forEach(message => terms.push(message.term)),
    );
    closers.push(() => listener.close());
    await listener.listen();
    const [server] = listen.mock.contexts;
    listen.mockRestore();
    for (let count = 0; count < 3; count += 1) {
        (server as NetServer).emit("error", new Error("accept EMFILE"));
    }
    const sender = new ReplicaStreamSender();
    closers.push(() => sender.close());
    sender.send(`${HOST}:${port}`, messageOfTerm(1), monotonicNowMs());
    await waitUntil(() => terms.length > 0);
    expect(terms).toEqual([1]);
});

// Guards against a replica that stays unreachable because its connection has stopped transferring data without closing.
it("replaces a connection that has stopped transferring data while new ones work", async () => {
    const port = await freePort();
    const terms: number[] = [];
    const listener = new ReplicaStreamListener(
        { host: HOST, port },
        messages => messages.forEach(message => terms.push(message.term)),
    );
    await listener.listen();
    closers.push(() => listener.close());
    const { server, pauseConnections } = await startRelay(port);
    const address = `${HOST}:${(server.address() as AddressInfo).port}`;
    const sender = new ReplicaStreamSender();
    closers.unshift(() => sender.close());
    sender.send(address, messageOfTerm(1), monotonicNowMs());
    await waitUntil(() => terms.includes(1));
    pauseConnections();
    let term = 2;
    const timer = setInterval(() => {
        const nowMs = monotonicNowMs();
        sender.send(address, messageOfTerm(term), nowMs);
        sender.tick(nowMs);
        term += 1;
    }, 50);
    closers.unshift(() => clearInterval(timer));
    await waitUntil(() => terms.length > 1);
    expect(Math.max(...terms)).toBeGreaterThan(1);
});

/** Program of a peer in a thread of its own that acknowledges everything, and reports its port and each connection. */
const PEER_PROGRAM = `
    const { createServer } = require("node:net");
    const { parentPort } = require("node:worker_threads");
    const server = createServer(socket => {
        parentPort.postMessage("connected");
        socket.on("error", () => undefined);
        socket.on("data", () => socket.write(Buffer.from([1])));
    });
    server.listen(0, "${HOST}", () => parentPort.postMessage(server.address().port));
`;

// Guards against a leader that closes its connections to all followers, with what it has sent, after its own process was
// stalled, although their acknowledgements have arrived meanwhile.
it("keeps a connection whose acknowledgement arrived while the process was stalled", async () => {
    const peer = new Worker(PEER_PROGRAM, { eval: true });
    closers.push(() => peer.terminate());
    const [port] = await once(peer, "message") as [number];
    let connections = 0;
    peer.on("message", () => {
        connections += 1;
    });
    const sender = new ReplicaStreamSender();
    closers.unshift(() => sender.close());
    const address = `${HOST}:${port}`;
    sender.send(address, messageOfTerm(1), monotonicNowMs());
    await waitUntil(() => connections === 1);
    for (let round = 0; round < 3; round += 1) {
        sender.send(address, messageOfTerm(2), monotonicNowMs());
        await new Promise(resolve => setImmediate(resolve));
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 900);
        sender.tick(monotonicNowMs());
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    sender.send(address, messageOfTerm(3), monotonicNowMs());
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(connections).toBe(1);
});

// Guards against a follower that hears nothing of its leader until the last of several large messages has arrived.
it("passes on a message before the messages that were sent with it", async () => {
    const port = await freePort();
    const terms: number[][] = [];
    const listener = new ReplicaStreamListener(
        { host: HOST, port },
        messages => terms.push(messages.map(({ term }) => term)),
    );
    await listener.listen();
    closers.push(() => listener.close());
    const sender = new ReplicaStreamSender();
    closers.unshift(() => sender.close());
    [1, 2, 3].forEach(term => sender.send(`${HOST}:${port}`, messageOfTerm(term), monotonicNowMs()));
    await waitUntil(() => terms.flat().includes(3));
    expect(terms).toEqual([[1], [2], [3]]);
});
