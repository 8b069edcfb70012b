import { SeededRandom } from "@waxwingspread/common";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, expect, it } from "vitest";
import { SilentRelay } from "./silent-relay.js";
import { StandInBackendServerProcess } from "./stand-in-backend-server-process.js";
import { StandInCaller } from "./stand-in-caller.js";

describe("stand-ins over TCP", () => {
    it("announce themselves, and callers continue at another entry when a connection goes silent (checks the test tools)", async () => {
        const requestedPaths: string[] = [];
        const entry = createServer((message, response) => {
            requestedPaths.push(message.url ?? "");
            message.resume().on("end", () => response.end("{}"));
        });
        await new Promise<void>(resolve => entry.listen(0, "127.0.0.1", resolve));
        const { port } = entry.address() as AddressInfo;
        const relay = await SilentRelay.start("127.0.0.1", port);
        const server = await StandInBackendServerProcess.start({
            backendServerId: "s1",
            incarnation: "i1",
            availabilityZone: "a",
            rack: "r",
            capacity: { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0 },
            slots: 1,
            entries: [`127.0.0.1:${port}`],
            random: new SeededRandom(1),
            host: "127.0.0.1",
            port: 0,
        });
        const entries = [relay.address, `127.0.0.1:${port}`];
        const caller = new StandInCaller({ entries, token: "t", attemptTimeoutMs: 300 });
        const direct = await caller.lookUp("r1");
        relay.silenceAll();
        await caller.lookUp("r1");
        const afterSilence = await caller.lookUp("r1");
        expect([direct.entry, direct.status, direct.attempts]).toEqual([relay.address, 200, 1]);
        expect([afterSilence.entry, afterSilence.status, afterSilence.attempts]).toEqual([entries[1], 200, 2]);
        while (!requestedPaths.includes("/backend/v1/announce")) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await caller.close();
        await server.terminate();
        await relay.close();
        entry.closeAllConnections();
        await new Promise(resolve => entry.close(resolve));
    });
});
