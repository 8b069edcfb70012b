import { once } from "node:events";
import { connect, constants } from "node:http2";
import type { ClientHttp2Session } from "node:http2";
import { setTimeout as delay } from "node:timers/promises";
import { pino } from "pino";
import { afterEach, beforeEach, expect, it } from "vitest";
import type { HttpListener } from "../http/http-listener.js";
import { createInternalListener } from "./internal-listener.js";

const GRACE_MS = 1_000;
const HOST = "127.0.0.1";
const PATH = "/echo";
/** Longer than the largest message and than the flow control window of a connection. */
const OVERSIZED_BYTES = 3 * 1024 * 1024;

let listener: HttpListener;
let session: ClientHttp2Session;
let uncaughtErrors: unknown[];

const recordError = (error: unknown): void => void uncaughtErrors.push(error);

beforeEach(async () => {
    uncaughtErrors = [];
    process.on("uncaughtException", recordError);
    process.on("unhandledRejection", recordError);
    listener = createInternalListener({
        address: { host: HOST, port: 0 },
        handlers: new Map([[PATH, (body: unknown) => body]]),
        logger: pino({ enabled: false }),
    });
    session = connect(`http://${HOST}:${await listener.listen()}`);
});

afterEach(async () => {
    session.destroy();
    await listener.close(GRACE_MS);
    process.off("uncaughtException", recordError);
    process.off("unhandledRejection", recordError);
    expect(uncaughtErrors).toEqual([]);
});

/** Sends a body and returns the status of the response. */
const statusOf = async (body: Buffer | string, path = PATH): Promise<number> => {
    const stream = session.request({ ":method": "POST", ":path": path });
    stream.on("error", () => undefined);
    stream.end(body);
    const [headers] = await once(stream, "response") as [{ ":status": number }];
    stream.resume();
    return headers[":status"];
};

it("answers 400 to a body that can't be read, or nests too deeply to be forwarded", async () => {
    expect(await statusOf("{")).toBe(400);
    expect(await statusOf(`${"[".repeat(100_000)}${"]".repeat(100_000)}`)).toBe(400);
    expect(await statusOf("[1]")).toBe(200);
});

// Guards against one oversized message that uses up the connection's flow control window, so that all later calls of the
// same peer stand still.
it("answers the next call on a connection on which a body was too large", async () => {
    for (let count = 0; count < 3; count += 1) {
        expect(await statusOf(Buffer.alloc(OVERSIZED_BYTES, " "))).toBe(500);
        expect(await statusOf("[1]")).toBe(200);
    }
}, 5_000);

// Guards against a process that ends because a peer breaks off a request to which nobody listens any more.
it.each([["a handled", PATH], ["an unknown", "/unknown"]])(
    "goes on after %s request was broken off",
    async (unusedName, path) => {
        for (
            const code of [constants.NGHTTP2_CANCEL, constants.NGHTTP2_INTERNAL_ERROR, constants.NGHTTP2_PROTOCOL_ERROR]
        ) {
            const stream = session.request({ ":method": "POST", ":path": path });
            stream.on("error", () => undefined);
            stream.write("[");
            stream.write("[");
            await delay(50);
            stream.close(code);
            await delay(50);
        }
        expect(await statusOf("[1]")).toBe(200);
    },
);
