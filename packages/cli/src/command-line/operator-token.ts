import { Ok } from "ts-results-es";
import { createSecret } from "../contract/credential.js";
import type { Command } from "./command.js";

/** Command that generates an operator token and its hash. */
export const operatorTokenCommand: Command = {
    syntax: "new-operator-token",
    description: "Generate an operator token and its hash for the daemon's settings",
    handle: ({ io }) => {
        const { secret, saltHex, sha256Hex } = createSecret(count => io.randomBytes(count));
        const hash = `${saltHex}:${sha256Hex}`;
        const table = [
            "# Operator token. It is shown once and stored nowhere.",
            secret,
            "# Value of --operator-token-hash or WAXWINGSPREAD_OPERATOR_TOKEN_HASH of every daemon:",
            hash,
            "",
        ].join("\n");
        return Promise.resolve(Ok({ table, json: { operatorToken: secret, operatorTokenHash: hash } }));
    },
};
