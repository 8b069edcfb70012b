import { SeededRandom } from "@waxwingspread/common";
import { describe, expect, it } from "vitest";
import { StandInBackendServer } from "./stand-in-backend-server.js";
import type { StandInOptions } from "./stand-in/options.js";

const RESOURCES = { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0 };

const createStandIn = (options: Partial<StandInOptions> = {}): StandInBackendServer =>
    new StandInBackendServer({
        backendServerId: "s1",
        incarnation: "i1",
        address: "s1",
        availabilityZone: "a",
        rack: "r",
        capacity: { cpuMillicores: 2_000, memoryMebibytes: 8_000, accelerators: 0 },
        slots: 8,
        entries: ["e1", "e2"],
        random: new SeededRandom(1),
        ...options,
    }, 0);

const post = (server: StandInBackendServer, path: string, fields: Record<string, unknown>, nowMs: number): string => {
    const body = JSON.stringify({ customer: "c", requestId: "r1", attemptNumber: 1, ...fields });
    const reply = server.handle({ method: "POST", path, body }, nowMs);
    const { result, detail } = JSON.parse(reply?.body ?? "{}") as { result: string; detail?: string };
    return detail ? `${result}: ${detail}` : result;
};

const start = (server: StandInBackendServer, fields: Record<string, unknown> = {}, nowMs = 0): string =>
    post(server, "/v1/tasks", {
        incarnation: "i1",
        term: 1,
        startDeadlineMs: nowMs + 1_000,
        leaseExpiresMs: nowMs + 10_000,
        workClass: "trial",
        workKind: "batch",
        resources: RESOURCES,
        payload: { runMs: 500, echo: "x" },
        replyTo: "e2",
        ...fields,
    }, nowMs);

const resultsOf = (server: StandInBackendServer) =>
    server.takeEffects().filter(call => call.path === "/backend/v1/results").map(({ callId, address, body }) => ({
        callId,
        address,
        ...JSON.parse(body) as { end: string; answer?: unknown; checkpoint?: unknown },
    }));

describe("StandInBackendServer", () => {
    it("refuses starts that are late, outdated or beyond its capacity and repeats its decision for a duplicate (guards against late or double starts)", () => {
        const server = createStandIn();
        expect(start(server, { incarnation: "i0" })).toBe("refused: another incarnation");
        expect(start(server, { requestId: "late", startDeadlineMs: 5 }, 6)).toBe("refused: start deadline passed");
        expect(start(server, { requestId: "a", attemptNumber: 2, term: 3 })).toBe("accepted");
        expect(start(server, { requestId: "a", attemptNumber: 2, term: 1 })).toBe("accepted");
        expect(start(server, { requestId: "a", attemptNumber: 1, term: 3 })).toBe("refused: lower attempt number");
        expect(start(server, { requestId: "b", term: 2 })).toBe("refused: older term");
        expect(start(server, { requestId: "c", term: 3 })).toBe("accepted");
        expect(start(server, { requestId: "d", term: 3 })).toBe("refused: no free capacity");
        server.tick(600);
        expect(start(server, { requestId: "d", term: 3 }, 600)).toBe("refused: no free capacity");
        expect(post(server, "/v1/tasks/stop", { requestId: "e", checkpoint: false }, 600)).toBe("unknown");
        expect(start(server, { requestId: "e", term: 3 }, 600)).toBe("refused: stopped before its start arrived");
        expect([server.observations.startsAccepted, server.observations.peakUsed.cpuMillicores]).toEqual([2, 2_000]);
    });

    it("starts nothing for a duplicate after the result was settled (guards against running work twice)", () => {
        const server = createStandIn();
        start(server);
        server.tick(510);
        const [result] = resultsOf(server);
        expect([result?.address, result?.end, result?.answer]).toEqual([
            "e2",
            "completed",
            { echo: "x", attemptNumber: 1, ranMs: 500 },
        ]);
        server.handleEntryReply(result?.callId ?? 0, { status: 200, body: `{"settled":true}` }, 520);
        expect(start(server, {}, 530)).toBe("accepted");
        expect(server.observations.segments).toHaveLength(1);
    });

    it("stops tasks when their lease expires by its own clock, before anything else (guards against work without a lease)", () => {
        const server = createStandIn({ clockStartMs: 100, clockRateRatio: 0.5 });
        start(server, { startDeadlineMs: 200, leaseExpiresMs: 400 });
        // By the server's clock, the task would finish at 600 and its lease expires at 400 (600 by the test's clock).
        server.tick(5_000);
        expect(server.observations.segments[0]).toMatchObject({ stoppedAtMs: 600, stopReason: "lease-expired" });
        expect(resultsOf(server).map(({ end, checkpoint }) => [end, checkpoint])).toEqual([["stopped", undefined]]);
    });

    it("renews leases with a grant, but not with one of an older term (guards against leases of a deposed leader)", () => {
        const server = createStandIn();
        start(server, { term: 5, leaseExpiresMs: 300, payload: { runMs: 100_000 } });
        const grant = (term: number, nowMs: number): void => {
            server.tick(nowMs);
            const call = server.takeEffects().find(({ path }) => path === "/backend/v1/announce");
            const body = JSON.stringify({ lease: { expiresMs: 1_500, term } });
            server.handleEntryReply(call?.callId ?? 0, { status: 200, body }, nowMs);
        };
        grant(5, 0);
        server.tick(1_000);
        expect(server.observations.segments[0]?.stoppedAtMs).toBeUndefined();
        grant(4, 1_100);
        server.tick(1_600);
        expect(server.observations.segments[0]?.stoppedAtMs).toBe(1_500);
    });

    it("resumes from a checkpoint and resends the result until it is settled (guards against lost work)", () => {
        const server = createStandIn();
        start(server);
        post(server, "/v1/tasks/stop", { checkpoint: true }, 200);
        expect(server.used().cpuMillicores).toBe(1_000);
        server.tick(250);
        const [first] = resultsOf(server);
        expect([first?.end, first?.checkpoint]).toEqual(["stopped", { progressMs: 200 }]);
        server.handleCallFailure(first?.callId ?? 0, 260);
        server.tick(800);
        expect(resultsOf(server)).toHaveLength(1);
        const next = createStandIn();
        start(next, { attemptNumber: 2, checkpoint: first?.checkpoint });
        next.tick(1_000);
        expect(next.observations.segments[0]).toMatchObject({ progressAtStartMs: 200, stoppedAtMs: 300 });
    });

    it("leaves only when its results are settled and the leader knows (guards against new work for a leaving server)", () => {
        const server = createStandIn();
        start(server);
        server.takeEffects();
        server.leave(100);
        const [announcement] = server.takeEffects();
        expect(JSON.parse(announcement?.body ?? "")).toMatchObject({ leaving: true });
        expect(start(server, { requestId: "r2" }, 100)).toBe("refused: leaving");
        const lease = JSON.stringify({ lease: { expiresMs: 9_000, term: 1 } });
        server.handleEntryReply(announcement?.callId ?? 0, { status: 200, body: lease }, 110);
        server.tick(510);
        expect(server.hasLeft).toBe(false);
        server.handleEntryReply(resultsOf(server)[0]?.callId ?? 0, { status: 200, body: `{"settled":true}` }, 520);
        expect(server.hasLeft).toBe(true);
    });

    it("stays silent and fails or slows tasks as configured (checks the faults that other tests rely on)", () => {
        const server = createStandIn({ faults: { speedRatio: 0.5 } });
        start(server);
        server.setFaults({ silent: true }, 100);
        expect(server.handle({ method: "POST", path: "/v1/tasks", body: "{}" }, 200)).toBeUndefined();
        server.tick(1_100);
        expect([server.takeEffects().length, server.observations.segments[0]?.stoppedAtMs]).toEqual([0, 1_000]);
        server.setFaults({ silent: false, failEveryTask: true }, 1_200);
        start(server, { requestId: "r2" }, 1_200);
        server.tick(1_300);
        expect(resultsOf(server).map(({ end }) => end)).toEqual(["completed", "task-error"]);
    });
});
