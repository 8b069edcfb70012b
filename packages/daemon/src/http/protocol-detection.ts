import type { Server } from "node:http";
import type { Http2Server } from "node:http2";
import { createServer } from "node:net";
import type { Server as NetServer, Socket } from "node:net";

/** Start of the HTTP/2 connection preface without TLS. No HTTP/1.1 request begins with it. */
const HTTP2_PREFACE_START = "PRI ";
/** Time after which a new connection that has sent nothing is closed. */
const FIRST_BYTES_TIMEOUT_MS = 10_000;

/** Creates a server that hands each connection to the HTTP/1.1 or the HTTP/2 server, depending on its first bytes. */
export const createProtocolDetectingServer = (http1: Server, http2: Http2Server): NetServer => {
    const server = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.setTimeout(FIRST_BYTES_TIMEOUT_MS, () => socket.destroy());
        socket.once("readable", () => {
            socket.setTimeout(0);
            const firstBytes = socket.read() as Buffer | null;
            if (firstBytes === null) {
                socket.destroy();
                return;
            }
            socket.unshift(firstBytes);
            dispatchConnection(socket, firstBytes, http1, http2);
        });
    });
    // An HTTP/1.1 server tracks its connections, for its time limits and to close idle ones, while it is listening.
    server.once("listening", () => http1.emit("listening"));
    server.once("close", () => http1.close());
    return server;
};

const dispatchConnection = (socket: Socket, firstBytes: Buffer, http1: Server, http2: Http2Server): void => {
    const preface = firstBytes.subarray(0, HTTP2_PREFACE_START.length).toString("latin1");
    const target = preface === HTTP2_PREFACE_START ? http2 : http1;
    target.emit("connection", socket);
};
