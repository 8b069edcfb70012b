import { connectNodeAdapter } from "@connectrpc/connect-node";
import { ControlService } from "@waxwingspread/protocol";
import { createServer } from "node:http2";
import type { Http2Server, ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import { afterEach, expect, it } from "vitest";
import { ExitCode } from "./cli-failure.js";
import { processIo } from "./cli-io.js";
import { runCli } from "./run-cli.js";

const sessions: ServerHttp2Session[] = [];
const servers: Http2Server[] = [];

/** Starts a replica that responds only after more than the given number of connections were opened. */
const startUnresponsiveReplica = async (unresponsiveConnections: number): Promise<string> => {
    const answer = connectNodeAdapter({
        routes: router => router.service(ControlService, { query: () => ({ revision: 1 }) }),
    });
    const server = createServer((request, response) => {
        if (sessions.length > unresponsiveConnections) {
            answer(request, response);
        }
    });
    server.on("session", session => sessions.push(session));
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

afterEach(() => {
    sessions.splice(0).forEach(session => session.destroy());
    servers.splice(0).forEach(server => server.close());
});

it("replaces a connection on which no response arrives", async () => {
    const address = await startUnresponsiveReplica(2);
    const errors: string[] = [];
    const io = {
        ...processIo(),
        environment: { WAXWINGSPREAD_OPERATOR_TOKEN: "t" },
        writeOut: () => undefined,
        writeError: (text: string) => void errors.push(text),
    };
    const code = await runCli(["quotas", "--control", address, "--call-timeout-ms", "1000"], io);
    expect(errors).toEqual([]);
    expect(code).toBe(ExitCode.Ok);
    expect(sessions).toHaveLength(3);
});
