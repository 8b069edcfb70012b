import type { OrganisationUsage } from "@waxwingspread/workflow";
import { Registry } from "prom-client";
import { expect, it } from "vitest";
import { OrganisationMetrics } from "./organisation-metrics.js";

const usageOf = (index: number): OrganisationUsage => ({
    organisation: `organisation-${index}`,
    assignedTasks: 2,
    waitingTasks: 1,
    held: { cpuMillicores: 2_000, memoryMebibytes: 0, accelerators: 0 },
    quota: undefined,
    heldShare: 0.001,
    entitledShare: 0.002,
    refused: {},
});

// Guards against a number of series that grows with the organisations, also when others become the busiest ones.
it("bounds the series of 390 organisations and adds up the rest", async () => {
    const registry = new Registry();
    const metrics = new OrganisationMetrics(registry);
    const usages = Array.from({ length: 390 }, (unused, index) => usageOf(index));
    metrics.set(usages);
    metrics.set(usages.toReversed());
    const text = await registry.metrics();
    expect(text.split("\n").filter(line => line.startsWith("waxwingspread_organisation_"))).toHaveLength(21 * 8);
    expect(text).toContain("waxwingspread_organisation_tasks{organisation=\"other\",state=\"assigned\"} 740");
});
