import { AttemptEnd, ErrorCode, OrderKind, Outcome, Reason, ZoneState } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { contractOf, Harness, specificationFor } from "./test-kit/fixtures.js";
import { CHECKPOINT, endReport, submitAndStart, takeZoneOut } from "./test-kit/reports.js";

describe("zones and leaving servers", () => {
    it("stops an attempt that was assigned before its zone was taken out, without recording it as started", () => {
        const harness = Harness.ready(2);
        harness.submit(specificationFor("r1", "recall"));
        expect(harness.job("r1").attempt?.backendServerId).toBe("s1");
        takeZoneOut(harness, "a");
        expect(harness.advance(100).map(({ order }) => order.kind)).toEqual([OrderKind.CHECKPOINT_AND_STOP]);
        harness.nowMs += 1_000;
        harness.announce("s2");
        harness.announce("s1");
        const start = harness.advance(100).at(-1);
        expect(start?.order).toMatchObject({ kind: OrderKind.START, backendServerId: "s2", attemptNumber: 2 });
    });

    it("moves standing work: reserves capacity, stops it, and starts it elsewhere only after the stop", () => {
        const harness = Harness.ready(2);
        submitAndStart(harness, "w1", "watch");
        takeZoneOut(harness, "a");
        expect(harness.advance(100).map(({ order }) => order.kind)).toEqual([OrderKind.CHECKPOINT_AND_STOP]);
        ["b1", "b2", "b3", "b4"].forEach(id => harness.submit(specificationFor(id, "trial")));
        expect(harness.state.useOfBackendServer("s2").jobKeys.size).toBe(3);
        harness.report({ ends: [{ ...endReport("w1", 1, "s1", AttemptEnd.STOPPED), checkpoint: CHECKPOINT }] });
        expect(harness.job("w1").attempt).toMatchObject({ number: 2, backendServerId: "s2" });
    });

    it("returns a zone to service gradually and refuses operator commands with a stale revision", () => {
        const harness = Harness.ready(2);
        takeZoneOut(harness, "a");
        const expectedRevision = harness.state.revision;
        const back = { case: "bringZoneBack", value: "a" } as const;
        expect(harness.execute(back, { commandId: "x", expectedRevision }).error).toBeUndefined();
        expect(harness.state.zoneState("a")).toBe(ZoneState.RETURNING);
        const conflict = harness.execute(back, { commandId: "y", expectedRevision });
        expect(conflict.error).toMatchObject({
            code: ErrorCode.REVISION_CONFLICT,
            currentRevision: expectedRevision + 1,
        });
        harness.changeLeader();
        const resent = harness.execute(back, { commandId: "x", expectedRevision });
        expect(resent).toMatchObject({ repeatedCommand: true, revision: expectedRevision + 1 });
        expect(resent.error).toBeUndefined();
        const other = harness.execute({ case: "removeContract", value: "acme" }, { commandId: "x", expectedRevision });
        expect(other.error?.code).toBe(ErrorCode.COMMAND_ID_REUSED);
        harness.advance(30_100);
        expect(harness.state.zoneState("a")).toBe(ZoneState.IN_SERVICE);
    });

    it("moves work away from a leaving server and places nothing there", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "trial");
        harness.announce("s1", { leaving: true }, [["r1", 1]]);
        expect(harness.submit(specificationFor("r2", "check")).order).toBeUndefined();
        expect(harness.advance(100).map(({ order }) => order.kind)).toEqual([OrderKind.CHECKPOINT_AND_STOP]);
    });
});

describe("contracts", () => {
    it("starts nothing while use exceeds a lowered quota, and does not stop running work", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "trial");
        submitAndStart(harness, "r2", "trial");
        const quota = { ...contractOf("acme").quota, $typeName: undefined, concurrentTasks: 1 };
        harness.execute({ case: "writeContract", value: contractOf("acme", { quota }) });
        expect(harness.submit(specificationFor("r3", "trial")).order).toBeUndefined();
        harness.report({ ends: [endReport("r1", 1, "s1")] });
        expect(harness.advance(500).filter(({ order }) => order.kind !== OrderKind.OUTCOME)).toEqual([]);
        harness.report({ ends: [endReport("r2", 1, "s1")] });
        expect(harness.advance(100).map(({ order }) => order.kind)).toContain(OrderKind.START);
    });

    it("stops the running work of a removed customer and ends its queued work", () => {
        const harness = Harness.ready(1);
        submitAndStart(harness, "r1", "trial");
        harness.submit(specificationFor("r2", "trial", { deadlineMs: 0 }));
        ["r3", "r4", "r5"].forEach(id => harness.submit(specificationFor(id, "trial")));
        harness.execute({ case: "removeContract", value: "acme" });
        expect(harness.job("r5")).toMatchObject({ outcome: Outcome.NOT_RUN, reason: Reason.CUSTOMER_REMOVED });
        expect(harness.advance(100).map(({ order }) => order.kind)).toContain(OrderKind.STOP);
        harness.report({ ends: [endReport("r1", 1, "s1", AttemptEnd.STOPPED)] });
        expect(harness.job("r1")).toMatchObject({ outcome: Outcome.CANCELLED, reason: Reason.CUSTOMER_REMOVED });
    });
});
