import { SeededRandom } from "@waxwingspread/common";
import { request } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { pino } from "pino";
import { ClientLimits } from "../client-limits.js";
import { HttpListener } from "../http-listener.js";
import { readBody } from "../request-body.js";

const HOST = "127.0.0.1";
const MAX_BODY_BYTES = 4_096;
const VM_MEMORY_BYTES = 8 * 1024 * 1024;
const MAX_CONNECTIONS = 16;
const MAX_FRAGMENTS = 40;
const MAX_REPEATS = 400;
const MAX_CUT_BYTES = 3_000;
const MAX_BYTE = 255;
const DAMAGED_SHARE = 0.3;
const CUT_PAUSE_SHARE = 0.05;
const LEAVE_SHARE = 0.3;
const ORDINARY_TIMEOUT_MS = 20_000;
const STATUS_OK = 200;

/** Parts of requests; put together at random, some make valid ones. */
const FRAGMENTS = [
    "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.0\r\n\r\n",
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n0123456789",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n",
    "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: b\r\n\r\n",
    "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\nx",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "1\r\nx\r\n",
    "400\r\n" + "x".repeat(1_024) + "\r\n",
    "0\r\n\r\n",
    "ffffffffffffffffff\r\n",
    "a: b\r\n",
    "filler: " + "x".repeat(2_000),
    "\r\n",
    "\0",
];

/** What a round of the fuzz has seen. */
export interface FuzzRound {
    ordinaryStatus: number;
    /** Connections that were left when all clients had gone. */
    remainingConnections: number;
    /** Most memory that the budget counted, as a share of its limit. */
    budgetShare: number;
    /** Memory that was still counted when all clients had gone. */
    remainingBytes: number;
}

/** Sends random bytes at random cuts to a listener over several connections, then an ordinary request. */
export const runFuzzRound = async (seed: number): Promise<FuzzRound> => {
    const random = new SeededRandom(seed);
    const logger = pino({ enabled: false });
    const clientLimits = new ClientLimits({ memoryBytes: VM_MEMORY_BYTES, logger });
    const listener = new HttpListener({
        address: { host: HOST, port: 0 },
        maxConnections: MAX_CONNECTIONS * 2,
        clientLimits,
        handle: async (incoming, response) => {
            const body = await readBody(incoming, MAX_BODY_BYTES).catch(() => undefined);
            response.end(`${body?.length ?? "none"}`);
        },
        onConnectionRefused: () => undefined,
        logger,
    });
    const port = await listener.listen();
    let budgetShare = 0;
    const watch = setInterval(() => {
        const { usedBytes, limitBytes } = clientLimits.requestBudget;
        budgetShare = Math.max(budgetShare, usedBytes / limitBytes);
    }, 1);
    const sockets = Array.from({ length: random.nextInteger(1, MAX_CONNECTIONS) }, () => openSocket(port, random));
    await Promise.all(sockets.map(socket => sendAtCuts(socket, generateContent(random), random)));
    const ordinaryStatus = await sendOrdinaryRequest(port);
    clearInterval(watch);
    sockets.forEach(socket => socket.destroy());
    await waitUntilEmpty(listener);
    const remainingConnections = listener.connectionCount;
    const remainingBytes = clientLimits.requestBudget.usedBytes + clientLimits.answerBudget.usedBytes;
    await listener.close(0);
    return { ordinaryStatus, remainingConnections, budgetShare, remainingBytes };
};

const openSocket = (port: number, random: SeededRandom): Socket => {
    const socket = connect({ port, host: HOST, allowHalfOpen: random.nextRatio() < 1 / 2 });
    socket.on("error", () => socket.destroy());
    return random.nextRatio() < 1 / 2 ? socket.pause() : socket.resume();
};

const generateContent = (random: SeededRandom): Buffer => {
    const parts: string[] = [];
    for (let count = random.nextInteger(1, MAX_FRAGMENTS); count > 0; count -= 1) {
        const repeats = random.nextRatio() < 1 / 4 ? random.nextInteger(1, MAX_REPEATS) : 1;
        parts.push(random.pick(FRAGMENTS).repeat(repeats));
    }
    const content = Buffer.from(parts.join(""), "latin1");
    if (random.nextRatio() < DAMAGED_SHARE) {
        content[random.nextInteger(0, content.length - 1)] = random.nextInteger(0, MAX_BYTE);
    }
    return content;
};

/** Sends the content in pieces, and then stays, ends its side or leaves. */
const sendAtCuts = async (socket: Socket, content: Buffer, random: SeededRandom): Promise<void> => {
    for (let offset = 0; offset < content.length && !socket.destroyed;) {
        const end = offset + random.nextInteger(1, MAX_CUT_BYTES);
        socket.write(content.subarray(offset, end));
        offset = end;
        if (random.nextRatio() < CUT_PAUSE_SHARE) {
            await delay(1);
        }
    }
    if (random.nextRatio() < LEAVE_SHARE) {
        socket.destroy();
    }
    else if (random.nextRatio() < LEAVE_SHARE) {
        socket.end();
    }
};

/** Returns the status of the answer; 0 without one. */
const sendOrdinaryRequest = (port: number): Promise<number> =>
    new Promise(resolve => {
        const outgoing = request(
            { host: HOST, port, method: "POST", agent: false, timeout: ORDINARY_TIMEOUT_MS },
            response => {
                response.resume();
                resolve(response.statusCode ?? 0);
            },
        );
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.on("error", () => resolve(0));
        outgoing.end("body");
    });

const waitUntilEmpty = async (listener: HttpListener): Promise<void> => {
    for (let attempt = 0; attempt < 400 && listener.connectionCount > 0; attempt += 1) {
        await delay(5);
    }
};

/** Whether a round has shown no fault. */
export const isSound = ({ ordinaryStatus, remainingConnections, remainingBytes, budgetShare }: FuzzRound): boolean =>
    ordinaryStatus === STATUS_OK && remainingConnections === 0 && remainingBytes === 0 && budgetShare <= 1;
