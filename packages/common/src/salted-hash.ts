import { createHash } from "node:crypto";

/** Returns the SHA-256 of a salt's bytes followed by a secret's text in UTF-8. Secrets are stored in this form. */
export const saltedSha256 = (salt: Uint8Array, secret: string): Uint8Array =>
    new Uint8Array(createHash("sha256").update(salt).update(secret, "utf8").digest());
