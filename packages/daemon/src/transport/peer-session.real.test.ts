import { once } from "node:events";
import { createServer } from "node:http2";
import type { ClientHttp2Stream, ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import { expect, it } from "vitest";
import { PeerSession } from "./peer-session.js";

const request = (session: PeerSession): Promise<ClientHttp2Stream> => session.request("GET", "/", {}, {});

const statusOf = async (stream: ClientHttp2Stream): Promise<unknown> => {
    const closed = once(stream, "close");
    stream.end();
    const [headers] = await once(stream, "response") as [{ ":status"?: number }];
    stream.resume();
    await closed;
    return headers[":status"];
};

// Guards against an uncaught error that ends the process when a peer closes its connection while a call to it begins.
it("survives a connection that the peer closes just as the next call begins", async () => {
    const sessions: ServerHttp2Session[] = [];
    const server = createServer((unusedRequest, response) => response.end());
    server.on("session", session => sessions.push(session));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const session = new PeerSession(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    const first = await request(session);
    const connection = first.session;
    expect(await statusOf(first)).toBe(200);
    const second = new Promise<ClientHttp2Stream>((resolve, reject) => {
        connection?.once("goaway", () => void request(session).then(resolve, reject));
    });
    sessions[0]?.goaway(0);
    expect(await statusOf(await second)).toBe(200);
    session.abort();
    sessions.forEach(open => open.destroy());
    server.close();
});
