import { create } from "@bufbuild/protobuf";
import { LogEntrySchema } from "@waxwingspread/protocol";
import { expect, it } from "vitest";
import { EntryLog } from "./entry-log.js";

const RECORD_BYTES = 1_000;
const ENTRIES = 20;

const createLog = (): EntryLog => {
    const log = new EntryLog();
    for (let index = 1; index <= ENTRIES; index += 1) {
        log.append(create(LogEntrySchema, {
            index,
            term: 1,
            body: { case: "data", value: new Uint8Array(RECORD_BYTES) },
        }));
    }
    return log;
};

// Guards against a replica that runs out of memory because it keeps a fixed number of entries, whatever their size.
it.each([
    ["a number of entries", 7, Infinity, 7],
    ["their size", 15, 5.5 * RECORD_BYTES, 5],
    ["the whole log", 2 * ENTRIES, Infinity, ENTRIES],
    ["nothing", 0, Infinity, 0],
])("keeps the last entries when it is compacted up to %s", (unusedName, entries, bytes, kept) => {
    const log = createLog();
    log.compact(ENTRIES, entries, bytes);
    expect(log.lastIndex - log.baseIndex).toBe(kept);
    expect(log.lastIndex).toBe(ENTRIES);
});

it("keeps the entries after the index up to which it is compacted", () => {
    const log = createLog();
    log.compact(12, 2, Infinity);
    expect(log.baseIndex).toBe(10);
    expect(log.get(11)?.index).toBe(11);
});
