import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { z } from "zod";
import { rawMembersOf } from "./raw-members.js";

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:~-]{1,128}$/;
const LARGEST_UINT32 = 4_294_967_295;

/** Largest value of the 32-bit fields of messages. */
export const UINT32_LIMIT = LARGEST_UINT32;

/** Returns an INVALID error for a malformed request. */
export const createInvalidError = (step: string, message: string): Err<StepError> =>
    Err(new StepError(ErrorCode.INVALID, step, "caller", message));

/** A parsed JSON body: its value, and the unparsed text of its members. */
export interface JsonBody {
    value: unknown;
    /** Returns the UTF-8 bytes of a member's text, or undefined when the body has no such member. */
    rawMember: (name: string) => Uint8Array | undefined;
}

/** Parses a body. Fails with INVALID when it is not JSON in UTF-8. */
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
        return createInvalidError(step, "body is not JSON");
    }
};

/** Validates a value against a schema. Fails with INVALID, naming the first invalid field. */
export const validate = <T>(step: string, schema: z.ZodType<T>, value: unknown): Result<T, StepError> => {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const issue = parsed.error.issues[0];
    const field = issue?.path.map(String).join(".") ?? "";
    return createInvalidError(
        step,
        field === "" ? issue?.message ?? "invalid" : `${field}: ${issue?.message ?? "invalid"}`,
    );
};

/** Returns whether the text is a valid request id: 1 to 128 letters, digits and `. _ : ~ -`. */
export const isRequestId = (text: string): boolean => REQUEST_ID_PATTERN.test(text);
