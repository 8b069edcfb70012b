import { StepError } from "@waxwingspread/common";
import { AttemptEnd, ErrorCode } from "@waxwingspread/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { HttpRequest } from "../effects.js";
import { ANSWER_LIMIT_BYTES, PAYLOAD_LIMIT_BYTES } from "../settings.js";
import { BackendServerRequestKind, parseBackendServerRequest } from "./parse-backend-server-request.js";
import { CallerRequestKind, parseCallerRequest } from "./parse-caller-request.js";
import { rawMembersOf } from "./raw-members.js";

const SEED = 20_261;

const requestOf = (method: string, path: string, body = ""): HttpRequest => ({
    method,
    path,
    headers: {},
    body: Buffer.from(body),
});

const submissionRequest = (payload: string): HttpRequest =>
    requestOf("PUT", "/v1/jobs/r1?waitMs=10", `{"workClass":"trial","payload":${payload}}`);

const resultRequest = (fields: Record<string, unknown>): HttpRequest => {
    const identity = { backendServerId: "s", incarnation: "i", customer: "c", requestId: "r", attemptNumber: 1 };
    return requestOf("POST", "/backend/v1/results", JSON.stringify({ ...identity, end: "completed", ...fields }));
};

const anyBody = fc.oneof(
    fc.uint8Array({ maxLength: 200 }),
    fc.json().map(text => new TextEncoder().encode(text)),
    fc.record({
        workClass: fc.oneof(fc.string(), fc.anything()),
        payload: fc.jsonValue(),
        resources: fc.option(fc.dictionary(fc.string(), fc.anything()), { nil: undefined }),
        deadlineInMs: fc.option(fc.double(), { nil: undefined }),
        requestIds: fc.array(fc.string()),
        tasks: fc.jsonValue(),
        clockMs: fc.jsonValue(),
    }, { requiredKeys: [] }).map(value => {
        const withoutBigInts = JSON.stringify(
            value,
            (_key, member: unknown) => typeof member === "bigint" ? String(member) : member,
        );
        return new TextEncoder().encode(withoutBigInts);
    }),
);

const anyRequest: fc.Arbitrary<HttpRequest> = fc.record({
    method: fc.constantFrom("GET", "PUT", "POST", "DELETE", "PATCH", "constructor"),
    path: fc.oneof(
        fc.string(),
        fc.webPath(),
        fc.constantFrom(
            "/v1/jobs/r1",
            "/v1/jobs/%ff",
            "/v1/jobs/r1/answer",
            "/v1/jobs:cancel",
            "/v1/jobs/r1?waitMs=-1",
            "/backend/v1/announce",
            "/backend/v1/results",
            "//",
        ),
    ),
    headers: fc.constant({}),
    body: anyBody,
});

describe("parsing of requests", () => {
    it("returns a typed error and never throws on any request (guards against crashes by malformed requests)", () => {
        fc.assert(
            fc.property(anyRequest, request => {
                for (const parsed of [parseCallerRequest(request), parseBackendServerRequest(request)]) {
                    expect(parsed.isOk() || parsed.error instanceof StepError).toBe(true);
                }
            }),
            { seed: SEED, numRuns: 3_000 },
        );
    });

    it("finds the text of every member (guards against forwarding part of another member)", () => {
        const key = fc.string().filter(name => name !== "__proto__");
        fc.assert(
            fc.property(fc.dictionary(key, fc.jsonValue()), fc.constantFrom(0, 1, "\t"), (members, space) => {
                const raw = rawMembersOf(JSON.stringify(members, undefined, space));
                const parsed = Object.fromEntries([...raw].map(([name, text]) => [name, JSON.parse(text) as unknown]));
                expect(parsed).toEqual(JSON.parse(JSON.stringify(members)));
            }),
            { seed: SEED, numRuns: 2_000 },
        );
    });

    it("keeps a payload's bytes (guards against rounding large numbers)", () => {
        const payload = `{ "serial": 12345678901234567890, "text": "a\\"}b" }`;
        const parsed = parseCallerRequest(submissionRequest(payload)).unwrap();
        expect(parsed.kind === CallerRequestKind.Submit && Buffer.from(parsed.submission.payload).toString())
            .toBe(payload);
    });

    it("accepts a payload of exactly the limit and refuses one byte more (guards against truncation)", () => {
        const ofBytes = (bytes: number): string => JSON.stringify("x".repeat(bytes - 2));
        expect(parseCallerRequest(submissionRequest(ofBytes(PAYLOAD_LIMIT_BYTES))).isOk()).toBe(true);
        const refused = parseCallerRequest(submissionRequest(ofBytes(PAYLOAD_LIMIT_BYTES + 1)));
        expect(refused.isErr() && refused.error.code).toBe(ErrorCode.TOO_LARGE);
    });

    it("refuses unknown members of a submission (guards against silently ignoring a mistyped deadline)", () => {
        const body = JSON.stringify({ workClass: "trial", payload: 1, deadlineMs: 5 });
        const refused = parseCallerRequest(requestOf("PUT", "/v1/jobs/r1", body));
        expect(refused.isErr() && refused.error.code).toBe(ErrorCode.INVALID);
    });

    it("ends a result with too large an answer as ANSWER_TOO_LARGE (guards against lost or truncated results)", () => {
        for (const fields of [{ answer: "x".repeat(ANSWER_LIMIT_BYTES) }, { answerTooLarge: true }]) {
            const parsed = parseBackendServerRequest(resultRequest(fields)).unwrap();
            const taskResult = parsed.kind === BackendServerRequestKind.Result ? parsed.result : undefined;
            expect([taskResult?.end, taskResult?.answer]).toEqual([AttemptEnd.ANSWER_TOO_LARGE, undefined]);
        }
    });
});
