import type { ContractFile } from "./contract-schema.js";

/** One field that differs; undefined on the side where it is absent. */
export interface FieldChange {
    readonly field: string;
    readonly before: string | undefined;
    readonly after: string | undefined;
}

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

/** Returns the name or credential id of a list item, or else its index, so that reordered lists compare as equal. */
const itemName = (item: unknown, index: number): string => {
    const name = isRecord(item) ? item.name ?? item.credentialId : undefined;
    return typeof name === "string" ? name : String(index);
};

const flatten = (value: unknown, path: string): [field: string, value: string][] => {
    if (Array.isArray(value)) {
        return value.flatMap((item, index) => flatten(item, `${path}[${itemName(item, index)}]`));
    }
    if (isRecord(value)) {
        return Object.entries(value).flatMap(([key, item]) => flatten(item, path === "" ? key : `${path}.${key}`));
    }
    return value === undefined ? [] : [[path, JSON.stringify(value)]];
};

/** Returns the fields that differ between the contract in force, if any, and the file. */
export const diffContracts = (before: ContractFile | undefined, after: ContractFile): FieldChange[] => {
    const old = new Map(before === undefined ? [] : flatten(before, ""));
    const current = new Map(flatten(after, ""));
    const fields = [...new Set([...old.keys(), ...current.keys()])];
    return fields
        .map(field => ({ field, before: old.get(field), after: current.get(field) }))
        .filter(change => change.before !== change.after);
};

/** Returns the changes as lines that start with `-` and `+`. */
export const formatDiff = (changes: readonly FieldChange[]): string =>
    changes.flatMap(({ field, before, after }) => [
        ...(before === undefined ? [] : [`- ${field}: ${before}\n`]),
        ...(after === undefined ? [] : [`+ ${field}: ${after}\n`]),
    ]).join("");
