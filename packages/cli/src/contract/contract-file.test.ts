import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { diffContracts, formatDiff } from "./contract-diff.js";
import { formatDiagnostics, parseContractFile } from "./contract-file.js";
import { toContract, toContractFile } from "./contract-message.js";

const readExample = (name: string): string =>
    readFileSync(new URL(`../../../../examples/${name}.contract.yaml`, import.meta.url), "utf8");

const FILTER_MAKER = readExample("filter-maker");

const diagnosticsOf = (text: string, fileName = "a.yaml"): string => {
    const result = parseContractFile(text, fileName);
    return result.isErr() ? formatDiagnostics(fileName, result.error) : "";
};

const lineOf = (text: string, part: string): number => text.split("\n").findIndex(line => line.includes(part)) + 1;

describe("parseContractFile", () => {
    it.each(["filter-maker", "archive-firm"])("keeps every field of the example of %s through a message", name => {
        const file = parseContractFile(readExample(name), name).unwrap();
        expect(toContractFile(toContract(file))).toEqual(file);
        expect(diffContracts(file, toContractFile(toContract(file)))).toEqual([]);
    });

    it("reports every error with the line of its field", () => {
        const text = FILTER_MAKER
            .replace("weight: 1", "weight: -1")
            .replace("latencyTargetMs: 250", "latencyTargetMilliseconds: 250")
            .replace("kind: batch", "kind: bulk")
            .replace("batchShare: 1", "batchShare: 1.5")
            .replace(/ {2}queuedJobs: .*\n/, "");
        const lines = diagnosticsOf(text).split("\n");
        expect(lines).toHaveLength(5);
        expect(lines[0]).toMatch(`a.yaml:${lineOf(text, "weight:")}:1: weight: Too small`);
        expect(lines[1]).toMatch(`a.yaml:${lineOf(text, "quota:")}:1: quota.queuedJobs: is required (number)`);
        expect(lines[2]).toMatch(`a.yaml:${lineOf(text, "batchShare")}:1: batchShare: Too big`);
        expect(lines[3]).toMatch(
            `a.yaml:${lineOf(text, "Milliseconds")}:5: classes[0].latencyTargetMilliseconds: is not a field`,
        );
        expect(lines[4]).toMatch(`a.yaml:${lineOf(text, "bulk")}:5: classes[1].kind: Invalid option`);
    });

    it.each([
        [
            "a latency-critical class without a target",
            /\n {4}latencyTargetMs.*/,
            "",
            "classes[0].latencyTargetMs: is req",
        ],
        ["a class name used twice", "name: trial", "name: check", "classes[1].name: \"check\" is already used"],
        ["a class above the quota", "cpuMillicores: 4000", "cpuMillicores: 500000", "exceeds the quota of 432000"],
        ["a field given twice", "weight: 1", "weight: 1\nweight: 2", "Map keys must be unique"],
        ["text that is not YAML", "customer: filter-maker", "customer: [", "a.yaml:"],
    ])("rejects %s", (unusedLabel, from, to, message) => {
        expect(diagnosticsOf(FILTER_MAKER.replace(from, to))).toContain(message);
    });

    it("parses JSON indented with tabs and keeps the positions of its errors", () => {
        const file = parseContractFile(FILTER_MAKER, "a.yaml").unwrap();
        expect(parseContractFile(JSON.stringify(file, undefined, "\t"), "a.json").unwrap()).toEqual(file);
        const invalid = JSON.stringify({ ...file, weight: "1" }, undefined, "\t");
        expect(diagnosticsOf(invalid, "a.json")).toMatch(/^a\.json:3:2: weight: /);
    });
});

it("prints changed, added and removed fields by the name of their class, regardless of the order", () => {
    const before = parseContractFile(FILTER_MAKER, "a.yaml").unwrap();
    const changed = before.classes.map(item => item.name === "check" ? { ...item, latencyTargetMs: 300 } : item);
    const after = { ...before, classes: changed.reverse().filter(item => item.name !== "wash-monitor") };
    const text = formatDiff(diffContracts(before, after));
    expect(text).toContain("- classes[check].latencyTargetMs: 250\n+ classes[check].latencyTargetMs: 300\n");
    expect(text).toContain("- classes[wash-monitor].name: \"wash-monitor\"\n");
    expect(text).not.toContain("trial");
});
