import { expect, it } from "vitest";
import { FounderSelection } from "./founder-selection.js";

const SEEDS = ["10.0.0.2", "10.0.0.1", "10.0.0.3"];

const selectionOf = (host: string, isFirstStart = true): FounderSelection =>
    new FounderSelection({ host, seedHosts: SEEDS, isFirstStart });

// Guards against a first start that never ends because no seed has a disk (issue 19).
it("selects the first replica that asks once all other seeds are known to be relays", () => {
    const selection = selectionOf("10.0.0.1");
    expect(selection.isFounder("disk-a", false)).toBe(false);
    selection.recordSeed("10.0.0.2", true);
    expect(selection.isFounder("disk-a", false)).toBe(false);
    selection.recordSeed("10.0.0.3", true);
    expect(selection.isFounder("disk-b", false)).toBe(true);
    expect(selection.isFounder("disk-b", false)).toBe(true);
});

// Guards against two clusters: each of these cases could let a second replica form one.
it.each([
    ["another replica was selected", "10.0.0.1", true, [true, true], "disk-a", false],
    ["a seed has a disk", "10.0.0.1", true, [true, false], undefined, false],
    ["another seed selects", "10.0.0.2", true, [true, true], undefined, false],
    ["the deployment has started before", "10.0.0.1", false, [true, true], undefined, false],
    ["the replica has belonged to a cluster", "10.0.0.1", true, [true, true], undefined, true],
])("selects no replica if %s", (_case, host, isFirstStart, areRelays, selected, isFormed) => {
    const selection = selectionOf(host, isFirstStart);
    selection.seedsToQuery.forEach((seed, index) => selection.recordSeed(seed, areRelays[index] ?? false));
    if (selected !== undefined) {
        selection.isFounder(selected, false);
    }
    expect(selection.isFounder("disk-b", isFormed)).toBe(false);
});
