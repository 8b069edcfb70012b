import { create } from "@bufbuild/protobuf";
import { saltedSha256, StepError } from "@waxwingspread/common";
import { CredentialSchema, ErrorCode } from "@waxwingspread/protocol";
import type { Configuration, Credential } from "@waxwingspread/protocol";
import { randomBytes, timingSafeEqual } from "node:crypto";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";

const SECRET_BYTES = 32;
const SALT_BYTES = 16;
const TOKEN_PATTERN = /^Bearer ([^\s]+)\.([^\s.]+)\.([^\s.]+)$/i;
const TOKEN_LIMIT_CHARACTERS = 1_024;
const DUMMY_SALT = new Uint8Array(SALT_BYTES);
const DUMMY_DIGEST = new Uint8Array(SECRET_BYTES);

/** Returns a new random 256-bit secret as text without dots. */
export const generateSecret = (): string => randomBytes(SECRET_BYTES).toString("base64url");

/** Returns the stored form of a secret with a new random salt. */
export const createCredential = (credentialId: string, secret: string): Credential => {
    const salt = new Uint8Array(randomBytes(SALT_BYTES));
    return create(CredentialSchema, { credentialId, salt, sha256: saltedSha256(salt, secret) });
};

/** Returns the token that a caller sends after `Bearer`. */
export const bearerTokenOf = (customer: string, credentialId: string, secret: string): string =>
    `${customer}.${credentialId}.${secret}`;

const unauthenticated = (): Result<string, StepError> =>
    Err(new StepError(ErrorCode.UNAUTHENTICATED, "check-credential", "caller", "credential missing or not valid"));

/**
 * Returns the customer that an `Authorization` header authenticates, or UNAUTHENTICATED. The digests are compared in
 * constant time, also when the customer or the credential is unknown, so that response times don't reveal which exist.
 */
export const checkCredential = (
    configuration: Configuration | undefined,
    authorization: string | undefined,
): Result<string, StepError> => {
    if (!authorization || authorization.length > TOKEN_LIMIT_CHARACTERS) {
        return unauthenticated();
    }
    const match = TOKEN_PATTERN.exec(authorization);
    if (!match) {
        return unauthenticated();
    }
    const [, customer = "", credentialId = "", secret = ""] = match;
    const contract = configuration?.contracts.find(candidate => candidate.customer === customer);
    const credential = contract?.credentials.find(candidate => candidate.credentialId === credentialId);
    const expected = credential?.sha256.length === SECRET_BYTES ? credential.sha256 : DUMMY_DIGEST;
    const isEqual = timingSafeEqual(saltedSha256(credential?.salt ?? DUMMY_SALT, secret), expected);
    return isEqual && credential ? Ok(customer) : unauthenticated();
};
