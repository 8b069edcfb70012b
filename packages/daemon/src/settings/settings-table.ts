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
        const withoutDefault = requiredFor.length > 0 ? requiredText(requiredFor) : "none";
        const defaultCell = defaultText === undefined ? withoutDefault : `\`${defaultText}\``;
        const cells = [`\`--${flagOf(key)}\`<br>\`${variableOf(key)}\``, description, parser.allowed, defaultCell];
        return `| ${cells.map(escapeCell).join(" | ")} |`;
    });
    return ["| Flag and variable | Meaning | Allowed | Default |", "|---|---|---|---|", ...rows].join("\n");
};
