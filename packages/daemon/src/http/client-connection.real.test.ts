import { spawnSync } from "node:child_process";
import { once } from "node:events";
import { createServer, request as sendRequest } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { hasClientLeft } from "./client-connection.js";
import { readBody } from "./request-body.js";

const MAX_BODY_BYTES = 100_000;
const HOST = "127.0.0.1";

/** Sends a request and leaves. */
const LEAVING_CLIENT = `
    const [port, length] = process.argv.slice(1).map(Number);
    const headers = "POST / HTTP/1.1\\r\\nhost: a\\r\\ncontent-length: " + length + "\\r\\n\\r\\n";
    require("node:net").connect(port, "${HOST}").end(headers + "x".repeat(length), () => process.exit());
`;

describe("hasClientLeft", () => {
    let server: Server;
    let port: number;
    let results: boolean[];

    beforeEach(async () => {
        results = [];
        server = createServer((request, response) => {
            void readBody(request, MAX_BODY_BYTES).then(async () => {
                results.push(await hasClientLeft(request));
                response.end();
            });
        });
        server.listen(0, HOST);
        await once(server, "listening");
        ({ port } = server.address() as AddressInfo);
    });

    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    // Guards against work for a client that has left while its request waited unread in a process that was suspended.
    it.each([0, 1, 70_000])("finds that the client left during a pause, after a body of %d bytes", async bytes => {
        // The event loop of this process stands still until the client has ended.
        spawnSync(process.execPath, ["-e", LEAVING_CLIENT, String(port), String(bytes)]);
        await expect.poll(() => results).toEqual([true]);
    });

    it("finds that the client is still there", async () => {
        const outgoing = sendRequest({ host: HOST, port, method: "POST" }).end("x");
        await once(outgoing, "response");
        outgoing.destroy();
        expect(results).toEqual([false]);
    });
});
