import { saltedSha256 } from "@waxwingspread/common";
import { timingSafeEqual } from "node:crypto";
import type { TokenHash } from "../settings/index.js";

/** Returns a function that checks a token against the salted hash of the settings in constant time. */
export const createOperatorCheck = (expected: TokenHash): (token: string) => boolean => {
    const salt = Buffer.from(expected.saltHex, "hex");
    const digest = Buffer.from(expected.sha256Hex, "hex");
    return token => timingSafeEqual(saltedSha256(salt, token), digest);
};
