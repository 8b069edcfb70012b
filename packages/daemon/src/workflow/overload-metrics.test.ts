import { Exclusion, Punctuality, TaskKind } from "@waxwingspread/workflow";
import type { OverloadReport } from "@waxwingspread/workflow";
import { Registry } from "prom-client";
import { expect, it } from "vitest";
import { MetricFactory } from "../metrics/metric-factory.js";
import { OverloadMetrics } from "./overload-metrics.js";

const REPORT: OverloadReport = {
    waits: [{
        kind: TaskKind.Filler,
        priority: 2,
        steps: 9,
        lateSteps: 4,
        tasks: 90,
        workCoreSeconds: 900,
        longestWaitMs: 4_000,
        sampledSteps: 5,
        serversWithRoom: 1,
        excludedServers: { [Exclusion.LittleIdleCpu]: 14 },
    }],
    outcomes: { counts: { batch: { [Punctuality.Late]: 2 } }, lateJobs: [] },
    standingAdmission: {
        byPriority: { 0: { accepted: 1, refused: 3, refusedCores: 60 } },
        isShort: true,
        roomCores: 100,
        neededCores: 200,
    },
    runTimeRatios: {},
};

// Guards against refusals and late jobs that no metric shows, and against gauges that keep the waits of an earlier report.
it("counts decisions and ends over all reports, and shows the waits of the last one", async () => {
    const registry = new Registry();
    const metrics = new OverloadMetrics(new MetricFactory(registry));
    metrics.record(REPORT);
    metrics.record({ ...REPORT, waits: [] });
    const lines = (await registry.metrics()).split("\n");
    expect(lines).toContain("waxwingspread_standing_jobs_admitted_total{decision=\"refused\"} 6");
    expect(lines).toContain("waxwingspread_jobs_ended_total{punctuality=\"late\"} 4");
    expect(lines).toContain("waxwingspread_finite_cores{use=\"needed\"} 200");
    expect(lines).toContain("waxwingspread_waiting_steps_servers{kind=\"filler\",state=\"little-idle-cpu\"} 0");
});
