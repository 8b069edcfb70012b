import { expect, it } from "vitest";
import { parseBoundedJson } from "./bounded-json.js";

const nested = (levels: number): string => `${"[".repeat(levels)}${"]".repeat(levels)}`;

it("parses valid JSON and returns undefined for any other text", () => {
    expect(parseBoundedJson("{\"a\":[1,{\"b\":null}]}")).toEqual({ a: [1, { b: null }] });
    expect(parseBoundedJson("{")).toBeUndefined();
    expect(parseBoundedJson("")).toBeUndefined();
});

// Guards against a process that ends for want of memory, since a parsed level takes many times its two characters.
it("rejects a text that nests too deeply, whether it is complete or not", () => {
    for (const levels of [2_000, 100_000, 4_000_000]) {
        expect(parseBoundedJson(nested(levels))).toBeUndefined();
        expect(parseBoundedJson(`{"state":"ready","x":${nested(levels)}}`)).toBeUndefined();
        expect(parseBoundedJson("{\"a\":".repeat(levels))).toBeUndefined();
    }
});

// Guards against an event loop that stands still for seconds while a text of millions of tiny values is parsed.
it("rejects a text with too many values", () => {
    expect(parseBoundedJson(`[${"[],".repeat(1_000_000)}[]]`)).toBeUndefined();
});

// Guards against a check that takes the contents of strings for structure and rejects sound messages.
it("doesn't count brackets and commas in strings, nor closed levels", () => {
    const document = { text: "[".repeat(5_000), escaped: "\\\"[[[,".repeat(1_000), rows: Array(1_000).fill([[], {}]) };
    expect(parseBoundedJson(JSON.stringify(document))).toEqual(document);
});
