import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import type { HttpRequest } from "../effects.js";
import { CALLER_BODY_LIMIT_BYTES, PAYLOAD_LIMIT_BYTES } from "../settings.js";
import { createInvalidError, isRequestId, parseJson, UINT32_LIMIT, validate } from "./parsing.js";

const STEP = "parse-request";
const NAME_LIMIT_CHARACTERS = 128;
const MAX_DURATION_MS = 1_000 * 60 * 60 * 24 * 366;
const JOBS_PATH = "/v1/jobs/";
const CANCEL_MANY_PATH = "/v1/jobs:cancel";

const uint32Schema = z.number().int().min(0).max(UINT32_LIMIT);
const durationSchema = z.number().positive().max(MAX_DURATION_MS);

const submissionSchema = z.strictObject({
    workClass: z.string().min(1).max(NAME_LIMIT_CHARACTERS),
    payload: z.unknown().optional(),
    resources: z.strictObject({
        cpuMillicores: uint32Schema.optional(),
        memoryMebibytes: uint32Schema.optional(),
        accelerators: uint32Schema.optional(),
    }).optional(),
    runTimeMs: durationSchema.optional(),
    deadlineInMs: durationSchema.optional(),
    repeatable: z.boolean().optional(),
});

const cancellationSchema = z.strictObject({ requestIds: z.array(z.string().refine(isRequestId)) });

/** Discriminates the requests of callers. */
export enum CallerRequestKind {
    Submit = "submit",
    LookUp = "look-up",
    Answer = "answer",
    Cancel = "cancel",
    CancelMany = "cancel-many",
    Acknowledge = "acknowledge",
}

/** Validated fields of a submission; `payload` is JSON in UTF-8. */
export interface Submission {
    workClass: string;
    payload: Uint8Array;
    resources?: { cpuMillicores?: number; memoryMebibytes?: number; accelerators?: number };
    runTimeMs?: number;
    deadlineInMs?: number;
    repeatable?: boolean;
}

/** A validated request of a caller. */
export type CallerRequest =
    | { kind: CallerRequestKind.Submit; requestId: string; waitMs: number; submission: Submission }
    | { kind: CallerRequestKind.LookUp; requestId: string; waitMs: number }
    | { kind: CallerRequestKind.Answer; requestId: string }
    | { kind: CallerRequestKind.Cancel; requestId: string }
    | { kind: CallerRequestKind.CancelMany; requestIds: string[] }
    | { kind: CallerRequestKind.Acknowledge; requestId: string };

type ParsedRequest = Result<CallerRequest, StepError>;

interface Route {
    requestId: string;
    waitMs: number;
    body: Uint8Array;
}

const createTooLargeError = (message: string): Err<StepError> =>
    Err(new StepError(ErrorCode.TOO_LARGE, "check-size", "caller", message));

const parseSubmission = (body: Uint8Array): Result<Submission, StepError> => {
    const json = parseJson(STEP, body);
    if (json.isErr()) {
        return json;
    }
    const validated = validate(STEP, submissionSchema, json.value.value);
    if (validated.isErr()) {
        return validated;
    }
    const payload = json.value.rawMember("payload");
    if (!payload) {
        return createInvalidError(STEP, "payload: required");
    }
    if (payload.length > PAYLOAD_LIMIT_BYTES) {
        return createTooLargeError(`payload is ${payload.length} bytes, the limit is ${PAYLOAD_LIMIT_BYTES}`);
    }
    return Ok({ ...validated.value, payload });
};

const ROUTES = new Map<string, (route: Route) => ParsedRequest>([
    [
        "PUT ",
        ({ requestId, waitMs, body }) =>
            parseSubmission(body).map(submission => ({
                kind: CallerRequestKind.Submit,
                requestId,
                waitMs,
                submission,
            })),
    ],
    ["GET ", ({ requestId, waitMs }) => Ok({ kind: CallerRequestKind.LookUp, requestId, waitMs })],
    ["GET answer", ({ requestId }) => Ok({ kind: CallerRequestKind.Answer, requestId })],
    ["DELETE ", ({ requestId }) => Ok({ kind: CallerRequestKind.Cancel, requestId })],
    ["POST acknowledge", ({ requestId }) => Ok({ kind: CallerRequestKind.Acknowledge, requestId })],
]);

const parseCancelMany = (body: Uint8Array): ParsedRequest =>
    parseJson(STEP, body)
        .andThen(json => validate(STEP, cancellationSchema, json.value))
        .map(({ requestIds }) => ({ kind: CallerRequestKind.CancelMany, requestIds: [...new Set(requestIds)] }));

const parseWaitMs = (url: URL): Result<number, StepError> => {
    const text = url.searchParams.get("waitMs") ?? "0";
    return /^\d{1,9}$/.test(text)
        ? Ok(Number(text))
        : createInvalidError(STEP, "waitMs: not a whole number of milliseconds");
};

const parseUrl = (path: string): Result<URL, StepError> => {
    try {
        return Ok(new URL(path, "http://entry"));
    }
    catch {
        return createInvalidError(STEP, "path is not valid");
    }
};

const decodeSegment = (segment: string): string => {
    try {
        return decodeURIComponent(segment);
    }
    catch {
        return "";
    }
};

/** Parses a caller's request. Fails with INVALID, TOO_LARGE, or UNKNOWN_REQUEST for an unknown method and path. */
export const parseCallerRequest = (request: HttpRequest): ParsedRequest => {
    if (request.body.length > CALLER_BODY_LIMIT_BYTES) {
        return createTooLargeError(`body is larger than ${CALLER_BODY_LIMIT_BYTES} bytes`);
    }
    const url = parseUrl(request.path);
    if (url.isErr()) {
        return url;
    }
    const { pathname } = url.value;
    if (pathname === CANCEL_MANY_PATH && request.method === "POST") {
        return parseCancelMany(request.body);
    }
    const [segment = "", action = "", ...rest] = pathname.startsWith(JOBS_PATH)
        ? pathname.slice(JOBS_PATH.length).split("/")
        : [];
    const parse = ROUTES.get(`${request.method} ${action}`);
    if (!parse || rest.length > 0 || segment === "") {
        return Err(new StepError(ErrorCode.UNKNOWN_REQUEST, STEP, "caller", "no such method and path"));
    }
    const requestId = decodeSegment(segment);
    if (!isRequestId(requestId)) {
        return createInvalidError(STEP, "request id: 1 to 128 letters, digits and . _ : ~ -");
    }
    return parseWaitMs(url.value).andThen(waitMs => parse({ requestId, waitMs, body: request.body }));
};
