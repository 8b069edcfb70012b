import { definitionOf, flagOf, SETTING_KEYS, variableOf } from "./definitions.js";

const escapeCell = (text: string): string => text.replaceAll("|", "\\|");

const requiredText = (requiredFor: readonly string[]): string => {
    const roles = requiredFor.length === 3 ? "all roles" : requiredFor.join(", ");
    return `required: ${roles}`;
};

/** Returns the Markdown table of all settings for docs/operators.md. */
export const settingsTable = (): string => {
    const rows = SETTING_KEYS.map(key => {
        const { description, parser, defaultText, requiredFor } = definitionOf(key);
        const absent = requiredFor.length > 0 ? requiredText(requiredFor) : "none";
        const standard = defaultText === undefined ? absent : `\`${defaultText}\``;
        const cells = [`\`--${flagOf(key)}\`<br>\`${variableOf(key)}\``, description, parser.allowed, standard];
        return `| ${cells.map(escapeCell).join(" | ")} |`;
    });
    return ["| Flag and variable | Meaning | Allowed | Default |", "|---|---|---|---|", ...rows].join("\n");
};
