import { fromJson } from "@bufbuild/protobuf";
import type { JsonValue } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { AnnouncementSchema, AttemptEnd, ErrorCode } from "@waxwingspread/protocol";
import type { Announcement } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import type { HttpRequest } from "../effects.js";
import { ANSWER_LIMIT_BYTES, BACKEND_SERVER_BODY_LIMIT_BYTES } from "../settings.js";
import { createInvalidError, parseJson, UINT32_LIMIT, validate } from "./parsing.js";
import type { JsonBody } from "./parsing.js";

const STEP = "parse-backend-server-request";
const NAME_LIMIT_CHARACTERS = 256;
const DETAIL_LIMIT_CHARACTERS = 1_024;

const nameSchema = z.string().min(1).max(NAME_LIMIT_CHARACTERS);

const ATTEMPT_ENDS = {
    "completed": AttemptEnd.COMPLETED,
    "task-error": AttemptEnd.TASK_ERROR,
    "stopped": AttemptEnd.STOPPED,
    "never-started": AttemptEnd.NEVER_STARTED,
};

const taskResultSchema = z.object({
    backendServerId: nameSchema,
    incarnation: nameSchema,
    customer: nameSchema,
    requestId: nameSchema,
    attemptNumber: z.number().int().min(1).max(UINT32_LIMIT),
    end: z.enum(["completed", "task-error", "stopped", "never-started"]),
    answer: z.unknown().optional(),
    checkpoint: z.unknown().optional(),
    /** Set when the server omits an answer because the entry refused the request as too large. */
    answerTooLarge: z.boolean().optional(),
    detail: z.string().optional(),
});

/** Validated result of an attempt. The blobs are JSON in UTF-8 of at most `ANSWER_LIMIT_BYTES` each. */
export interface TaskResult {
    backendServerId: string;
    incarnation: string;
    customer: string;
    requestId: string;
    attemptNumber: number;
    end: AttemptEnd;
    answer?: Uint8Array;
    checkpoint?: Uint8Array;
    detail: string;
}

/** Discriminates the requests of backend servers. */
export enum BackendServerRequestKind {
    Announce = "announce",
    Result = "result",
}

/** A validated request of a backend server. */
export type BackendServerRequest =
    | { kind: BackendServerRequestKind.Announce; announcement: Announcement }
    | { kind: BackendServerRequestKind.Result; result: TaskResult };

type ParsedRequest = Result<BackendServerRequest, StepError>;

const parseAnnouncement = (json: JsonBody): ParsedRequest => {
    try {
        const announcement = fromJson(AnnouncementSchema, json.value as JsonValue, { ignoreUnknownFields: true });
        const { backendServerId, incarnation, address, clockMs, sequence } = announcement;
        if (backendServerId === "" || incarnation === "" || address === "") {
            return createInvalidError(STEP, "backendServerId, incarnation and address are required");
        }
        if (!Number.isFinite(clockMs) || !Number.isFinite(sequence)) {
            return createInvalidError(STEP, "clockMs and sequence must be finite");
        }
        return Ok({ kind: BackendServerRequestKind.Announce, announcement: { ...announcement, heldMs: 0 } });
    }
    catch {
        return createInvalidError(STEP, "not an announcement");
    }
};

const isWithinLimit = (blob: Uint8Array | undefined): boolean => !blob || blob.length <= ANSWER_LIMIT_BYTES;

const parseTaskResult = (json: JsonBody): ParsedRequest => {
    const validated = validate(STEP, taskResultSchema, json.value);
    if (validated.isErr()) {
        return validated;
    }
    const { answerTooLarge, detail, ...fields } = validated.value;
    const result: TaskResult = {
        ...fields,
        end: ATTEMPT_ENDS[fields.end],
        answer: json.rawMember("answer"),
        checkpoint: json.rawMember("checkpoint"),
        detail: (detail ?? "").slice(0, DETAIL_LIMIT_CHARACTERS),
    };
    if (result.end === AttemptEnd.COMPLETED && (answerTooLarge || !isWithinLimit(result.answer))) {
        Object.assign(result, { end: AttemptEnd.ANSWER_TOO_LARGE, answer: undefined });
    }
    if (!isWithinLimit(result.checkpoint)) {
        Object.assign(result, { checkpoint: undefined, detail: "checkpoint larger than the limit" });
    }
    if (result.end !== AttemptEnd.COMPLETED) {
        result.answer = undefined;
    }
    return Ok({ kind: BackendServerRequestKind.Result, result });
};

const ROUTES = new Map<string, (json: JsonBody) => ParsedRequest>([
    ["POST /backend/v1/announce", parseAnnouncement],
    ["POST /backend/v1/results", parseTaskResult],
]);

/**
 * Parses a request of a backend server. Fails with INVALID, TOO_LARGE, or UNKNOWN_REQUEST for an unknown method and
 * path.
 */
export const parseBackendServerRequest = (request: HttpRequest): ParsedRequest => {
    if (request.body.length > BACKEND_SERVER_BODY_LIMIT_BYTES) {
        const message = `body is larger than ${BACKEND_SERVER_BODY_LIMIT_BYTES} bytes`;
        return Err(new StepError(ErrorCode.TOO_LARGE, "check-size", "backend-server", message));
    }
    const parse = ROUTES.get(`${request.method} ${request.path.split("?")[0] ?? ""}`);
    if (!parse) {
        return Err(new StepError(ErrorCode.UNKNOWN_REQUEST, STEP, "backend-server", "no such method and path"));
    }
    return parseJson(STEP, request.body).andThen(parse);
};
