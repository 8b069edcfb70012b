import { create } from "@bufbuild/protobuf";
import { JournalEventSchema } from "@waxwingspread/protocol";
import type { JournalEvent } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { mergeJournals } from "./merge-journals.js";
import type { JournalPart } from "./merge-journals.js";
import { renderHtml } from "./render-html.js";
import { renderText } from "./render-text.js";

const event = (process: string, wallMs: number, logical: number, name: string, more = {}): JournalEvent =>
    create(JournalEventSchema, { process, wallMs, logical, name, customer: "a", requestId: "r1", ...more });

const part = (process: string, events: JournalEvent[], dropped = 0): JournalPart => ({
    process,
    address: `${process}:1`,
    events,
    dropped,
    limited: false,
});

const REQUEST = { customer: "a", requestId: "r1" };
const PARTS = [
    part("presov-1", [
        event("presov-1", 1_000, 0, "submitted"),
        event("presov-1", 1_004.5, 0, "answered", { detail: "<completed> & \"done\"" }),
        event("presov-1", 1_001, 0, "submitted", { requestId: "r2" }),
    ]),
    part("kosice-1", [event("kosice-1", 1_000, 2, "assigned", { peer: "presov-1" })], 17),
    part("poprad-1", [event("poprad-1", 1_000, 1, "proposed")]),
];
const UNREACHABLE = [{ process: "grandi-1", address: "10.0.3.1:7002", message: "connect ECONNREFUSED" }];

describe("mergeJournals", () => {
    it("orders events of equal wall time by their logical clocks and omits other requests", () => {
        const { events } = mergeJournals([...PARTS].reverse(), [], REQUEST);
        expect(events.map(item => item.name)).toEqual(["submitted", "proposed", "assigned", "answered"]);
    });

    it("counts a process that was read at two addresses once", () => {
        const twice = mergeJournals([...PARTS, ...PARTS], []);
        expect(twice.events).toHaveLength(5);
        expect(twice.processes).toEqual(["kosice-1", "poprad-1", "presov-1"]);
    });
});

describe("rendering", () => {
    it("prints the events and lists what may be missing", () => {
        expect(renderText(mergeJournals(PARTS, UNREACHABLE, REQUEST))).toBe([
            "a/r1: 4 events, 3 processes read",
            "TIME                      OFFSET-MS  PROCESS   EVENT      PEER      DETAIL",
            "1970-01-01T00:00:01.000Z  +0.000     presov-1  submitted",
            "1970-01-01T00:00:01.000Z  +0.000     poprad-1  proposed",
            "1970-01-01T00:00:01.000Z  +0.000     kosice-1  assigned   presov-1",
            "1970-01-01T00:00:01.004Z  +4.500     presov-1  answered             <completed> & \"done\"",
            "not reached: grandi-1 (10.0.3.1:7002): connect ECONNREFUSED",
            "dropped: kosice-1 dropped 17 older events",
            "",
        ].join("\n"));
    });

    it("draws one lane for each process, escapes details and refers to nothing outside the page", () => {
        const page = renderHtml(mergeJournals(PARTS, UNREACHABLE, REQUEST));
        expect(page.match(/class="lane-name"/g)).toHaveLength(3);
        expect(page.match(/<circle /g)).toHaveLength(4);
        expect(page.match(/class="peer"/g)).toHaveLength(1);
        expect(page).toContain("&lt;completed&gt; &amp; &quot;done&quot;");
        expect(page).toContain("not reached: grandi-1 (10.0.3.1:7002)");
        expect(page).not.toMatch(/<script|(src|href)=|@import|url\(/);
    });

    it("draws at most 2,000 rows and counts the others", () => {
        const events = Array.from({ length: 2_005 }, (unusedItem, index) => event("a", index, 0, "tick"));
        const page = renderHtml(mergeJournals([part("a", events)], [], REQUEST));
        expect(page.match(/<circle /g)).toHaveLength(2_000);
        expect(page).toContain("not drawn: the 5 oldest events");
    });
});
