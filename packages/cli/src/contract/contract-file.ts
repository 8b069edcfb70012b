import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";
import type { z } from "zod";
import { contractSchema } from "./contract-schema.js";
import type { ContractFile } from "./contract-schema.js";

/** One error in a contract file, with its position. */
export interface ContractDiagnostic {
    readonly line: number;
    readonly column: number;
    /** Path of the field, such as `classes[0].kind`; empty for the file as a whole. */
    readonly field: string;
    readonly message: string;
}

type Path = readonly PropertyKey[];
type Issue = z.core.$ZodIssue;

const formatPath = (path: Path): string =>
    path.reduce<string>((text, part) => {
        if (typeof part === "number") {
            return `${text}[${part}]`;
        }
        return text === "" ? String(part) : `${text}.${String(part)}`;
    }, "");

/** Returns the offset of a key within the map at the path. */
const keyOffset = (document: Document, path: Path, key: PropertyKey): number | undefined => {
    const parent = path.length === 0 ? document.contents : document.getIn(path, true);
    const pair = isMap(parent) ? parent.items.find(item => isScalar(item.key) && item.key.value === key) : undefined;
    return isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
};

/** Returns the offset of the field, or of the nearest enclosing one that is present. */
const fieldOffset = (document: Document, path: Path): number => {
    for (let length = path.length; length > 0; length -= 1) {
        const parent = path.slice(0, length - 1);
        const key = path[length - 1] ?? "";
        const item: unknown = document.getIn(path.slice(0, length), true);
        const offset = keyOffset(document, parent, key) ?? (isNode(item) ? item.range?.[0] : undefined);
        if (offset !== undefined) {
            return offset;
        }
    }
    return document.contents?.range?.[0] ?? 0;
};

const issueFields = (issue: Issue): Path[] =>
    issue.code === "unrecognized_keys" ? issue.keys.map(key => [...issue.path, key]) : [issue.path];

const issueMessage = (issue: Issue): string => {
    if (issue.code === "unrecognized_keys") {
        return "is not a field of a contract";
    }
    const isMissing = issue.code === "invalid_type" && issue.input === undefined
        && /received undefined/.test(issue.message);
    return isMissing ? `is required (${issue.expected})` : issue.message;
};

const byPosition = (a: ContractDiagnostic, b: ContractDiagnostic): number => a.line - b.line || a.column - b.column;

/** Replaces tabs in JSON files: YAML does not allow them as indentation. One space for each tab keeps the columns. */
const replaceTabs = (text: string, fileName: string): string =>
    fileName.endsWith(".json") ? text.replaceAll("\t", " ") : text;

/** Parses and validates a contract in YAML or JSON. Returns every error with its position. */
export const parseContractFile = (text: string, fileName: string): Result<ContractFile, ContractDiagnostic[]> => {
    const lineCounter = new LineCounter();
    const document = parseDocument(replaceTabs(text, fileName), { lineCounter });
    const positionOf = (offset: number): { line: number; column: number } => {
        const { line, col } = lineCounter.linePos(offset);
        return { line, column: col };
    };
    if (document.errors.length > 0) {
        return Err(document.errors.map(error => ({
            ...positionOf(error.pos[0]),
            field: "",
            message: error.message.split("\n", 1)[0] ?? "",
        })));
    }
    const parsed = contractSchema.safeParse(document.toJS());
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const diagnostics = parsed.error.issues.flatMap(issue =>
        issueFields(issue).map(path => ({
            ...positionOf(fieldOffset(document, path)),
            field: formatPath(path),
            message: issueMessage(issue),
        }))
    );
    return Err(diagnostics.sort(byPosition));
};

/** Formats the errors one per line, in the `file:line:column` form that editors can jump to. */
export const formatDiagnostics = (fileName: string, diagnostics: readonly ContractDiagnostic[]): string =>
    diagnostics.map(({ line, column, field, message }) => {
        const subject = field === "" ? "" : `${field}: `;
        return `${fileName}:${line}:${column}: ${subject}${message}`;
    }).join("\n");
