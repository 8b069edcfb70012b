import { create } from "@bufbuild/protobuf";
import { AttemptEnd, CancelRequestSchema, StartResult, ZoneOutSchema } from "@waxwingspread/protocol";
import type { CancelResponse, OperatorResult } from "@waxwingspread/protocol";
import { specificationFor } from "./fixtures.js";
import type { Harness } from "./fixtures.js";

/** Report of the result of a start. */
export const startReport = (requestId: string, attemptNumber: number, result = StartResult.ACCEPTED) => ({
    customer: "acme",
    requestId,
    attemptNumber,
    result,
});

/** Checkpoint that a stopped task has stored. */
export const CHECKPOINT = { sha256: new Uint8Array([7]), sizeBytes: 7 };

/** Report of the end of an attempt. */
export const endReport = (
    requestId: string,
    attemptNumber: number,
    backendServerId: string,
    end = AttemptEnd.COMPLETED,
) => ({
    customer: "acme",
    requestId,
    attemptNumber,
    backendServerId,
    incarnation: "i1",
    end,
});

/** Submits a request and reports its first attempt as started; returns the id of its server. */
export const submitAndStart = (harness: Harness, requestId: string, workClass: string): string => {
    harness.submit(specificationFor(requestId, workClass));
    harness.report({ starts: [startReport(requestId, 1)] });
    return harness.job(requestId).attempt?.backendServerId ?? "";
};

/** Cancels requests of customer "acme". */
export const cancel = (harness: Harness, ...requestIds: string[]): CancelResponse => {
    const request = create(CancelRequestSchema, { customer: "acme", requestIds });
    const response = harness.scheduler.cancel(request, harness.nowMs);
    harness.commit();
    return response;
};

/** Takes a zone out of service with a drain time of 10 s. */
export const takeZoneOut = (harness: Harness, availabilityZone: string): OperatorResult =>
    harness.execute({ case: "takeZoneOut", value: create(ZoneOutSchema, { availabilityZone, drainWithinMs: 10_000 }) });
