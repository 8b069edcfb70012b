import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { z } from "zod";
import { rawMembersOf } from "./raw-members.js";

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:~-]{1,128}$/;
const LARGEST_UINT32 = 4_294_967_295;

/** Largest number of the messages' 32-bit fields. */
export const UINT32_LIMIT = LARGEST_UINT32;

/** Returns a refusal of a request that isn't formed as the interface demands. */
export const invalid = (step: string, message: string): Err<StepError> =>
    Err(new StepError(ErrorCode.INVALID, step, "caller", message));

/** A body that is JSON: its value, and the text of a member as it was sent. */
export interface JsonBody {
    value: unknown;
    /** Returns the UTF-8 bytes of a member's text, undefined when the object lacks it. */
    rawMember: (name: string) => Uint8Array | undefined;
}

/** Returns the bytes as JSON; INVALID when they are not JSON in UTF-8. */
export const parseJson = (step: string, body: Uint8Array): Result<JsonBody, StepError> => {
    try {
        const text = new TextDecoder("utf-8", { fatal: true }).decode(body);
        const value = JSON.parse(text) as unknown;
        const isObject = typeof value === "object" && value !== null && !Array.isArray(value);
        const members = isObject ? rawMembersOf(text) : new Map<string, string>();
        const rawMember = (name: string): Uint8Array | undefined => {
            const member = members.get(name);
            return member === undefined ? undefined : new TextEncoder().encode(member);
        };
        return Ok({ value, rawMember });
    }
    catch {
        return invalid(step, "body is not JSON");
    }
};

/** Checks a value against a schema; INVALID names the first faulty field. */
export const validate = <T>(step: string, schema: z.ZodType<T>, value: unknown): Result<T, StepError> => {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const issue = parsed.error.issues[0];
    const field = issue?.path.map(String).join(".") ?? "";
    return invalid(step, field === "" ? issue?.message ?? "invalid" : `${field}: ${issue?.message ?? "invalid"}`);
};

/** True when the text may serve as a request id. */
export const isRequestId = (text: string): boolean => REQUEST_ID_PATTERN.test(text);
