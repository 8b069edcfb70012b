import { once } from "node:events";
import { connect } from "node:net";
import { expect, it } from "vitest";
import { HttpListener } from "./http-listener.js";

const REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const GRACE_MS = 5_000;

// Guards against a planned shutdown that drops a request sent on a kept-alive connection while the listener closes.
it("answers a request that arrives on an idle connection while the listener closes, and then closes it", async () => {
    const listener = new HttpListener({
        address: { host: "127.0.0.1", port: 0 },
        maxConnections: 8,
        handle: (unusedRequest, response) => void response.end("done"),
        onConnectionRefused: () => undefined,
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
        onConnectionRefused: () => undefined,
    };
    const first = new HttpListener({ ...options, address: { host: "127.0.0.1", port: 0 } });
    const port = await first.listen();
    const second = new HttpListener({ ...options, address: { host: "127.0.0.1", port } });
    await expect(second.listen()).rejects.toThrow("EADDRINUSE");
    await first.close(GRACE_MS);
});
