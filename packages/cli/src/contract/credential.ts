import { saltedSha256 } from "@waxwingspread/common";
import { toHex } from "../output/format-values.js";

const SALT_BYTES = 16;
const SECRET_BYTES = 32;

/** A new random secret with its salted hash; only the hash is stored. */
export interface NewSecret {
    /** 256 bits in base64url, which contains no dot. Shown once and never stored. */
    readonly secret: string;
    readonly saltHex: string;
    /** SHA-256 of the salt's bytes followed by the secret's text in UTF-8. */
    readonly sha256Hex: string;
}

/** Generates a secret; `randomBytes` must be cryptographically secure. */
export const createSecret = (randomBytes: (count: number) => Uint8Array): NewSecret => {
    const salt = randomBytes(SALT_BYTES);
    const secret = Buffer.from(randomBytes(SECRET_BYTES)).toString("base64url");
    const sha256Hex = toHex(saltedSha256(salt, secret));
    return { secret, saltHex: toHex(salt), sha256Hex };
};

/** Returns the token that a caller sends as `Authorization: Bearer <token>`. */
export const callerToken = (customer: string, credentialId: string, secret: string): string =>
    `${customer}.${credentialId}.${secret}`;
