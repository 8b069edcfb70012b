import { AttemptEnd, AttemptState, JobState, OrderKind, Outcome, StartResult } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { Harness, specificationFor } from "./test-kit/fixtures.js";

const started = (requestId: string, attemptNumber: number, result = StartResult.ACCEPTED) => ({
    customer: "acme",
    requestId,
    attemptNumber,
    result,
});

const ended = (requestId: string, attemptNumber: number, backendServerId: string, end = AttemptEnd.COMPLETED) => ({
    customer: "acme",
    requestId,
    attemptNumber,
    backendServerId,
    incarnation: "i1",
    end,
});

describe("Scheduler", () => {
    it("runs a request from submission to its answer, with the start in the response", () => {
        const harness = Harness.ready(2);
        const { order, result } = harness.submit(specificationFor("r1", "check"));
        expect(result.case).toBe("job");
        expect(order).toMatchObject({ kind: OrderKind.START, attemptNumber: 1, incarnation: "i1", term: 1 });
        expect(order?.startDeadlineBackendMs).toBe(harness.nowMs + 1_000);
        expect(order?.leaseExpiresBackendMs).toBe(harness.nowMs + 10_000);
        harness.report({ starts: [started("r1", 1)] });
        expect(harness.job("r1").attempt?.state).toBe(AttemptState.RUNNING);
        const answer = { sha256: new Uint8Array([9]), sizeBytes: 1 };
        const end = { ...ended("r1", 1, order?.backendServerId ?? ""), answer };
        expect(harness.report({ ends: [end] }).settledEnds).toEqual([0]);
        expect(harness.job("r1")).toMatchObject({ state: JobState.ENDED, outcome: Outcome.COMPLETED });
        expect(harness.job("r1").answer?.sizeBytes).toBe(1);
    });
});
