import { CallerOperation, EventKind, Refusal, RunEnd } from "@waxwingspread/workflow";
import type { QueueContract, WorkflowEvent } from "@waxwingspread/workflow";
import { expect, it } from "vitest";
import { ForwardedOperation } from "./operations.js";
import { ControlMetrics, EntryMetrics } from "./workflow-metrics.js";

const accepted = (id: string): WorkflowEvent => ({
    kind: EventKind.JobAccepted,
    job: { id, payload: "", steps: [], schedule: undefined },
    queue: {} as QueueContract,
    acceptedAtMs: 0,
});

const assigned = (...tasks: string[]): WorkflowEvent => ({
    kind: EventKind.RunsAssigned,
    runs: tasks.map(task => ({ task, run: 1, serverId: "s", incarnation: 1 })),
});

const linesOf = async (metrics: ControlMetrics | EntryMetrics): Promise<string[]> =>
    (await metrics.registry.metrics()).split("\n");

// Guards against metrics that hide the cause of a late job, such as delays that include later runs.
it("counts committed events, and the start delay of each job's first run only", async () => {
    const metrics = new ControlMetrics();
    metrics.recordCommitted([accepted("j"), accepted("k")], 1_000);
    metrics.recordCommitted([assigned("j.0.0.0", "j.0.0.1")], 1_200);
    metrics.recordCommitted([assigned("j.0.1.0")], 9_000);
    const server = { serverId: "s", incarnation: 1 };
    const ends = [{ task: "j.0.0.0", run: 1, end: RunEnd.Failed, checkpoint: "" }];
    metrics.recordCommitted([{ kind: EventKind.RunsEnded, server, throughSequence: 1, ends, atMs: 0 }], 9_100);
    const lines = await linesOf(metrics);
    expect(lines).toContain("waxwingspread_job_events_total{event=\"accepted\"} 2");
    expect(lines).toContain("waxwingspread_runs_assigned_total 3");
    expect(lines).toContain("waxwingspread_runs_ended_total{end=\"failed\"} 1");
    expect(lines).toContain("waxwingspread_accepted_to_assigned_seconds_count 1");
    expect(lines).toContain("waxwingspread_accepted_to_assigned_seconds_sum 0.2");
});

// Guards against jobs that are given up without an operator's notice (issue 22).
it("counts the jobs that are given up", async () => {
    const metrics = new ControlMetrics();
    metrics.recordCrashingTask();
    expect(await linesOf(metrics)).toContain("waxwingspread_job_events_total{event=\"given-up\"} 1");
});

// Guards against start delays that include time under another leader.
it("discards acceptance times when the leadership is lost", async () => {
    const metrics = new ControlMetrics();
    metrics.recordCommitted([accepted("j")], 1_000);
    metrics.setRole(false, 2);
    metrics.recordCommitted([assigned("j.0.0.0")], 60_000);
    expect(await linesOf(metrics)).toContain("waxwingspread_accepted_to_assigned_seconds_count 0");
});

it("counts an entry's requests by operation and outcome", async () => {
    const metrics = new EntryMetrics();
    metrics.recordRequest(ForwardedOperation.Submit, { ok: true, value: undefined }, 12);
    metrics.recordRequest(ForwardedOperation.Submit, { ok: false, refusal: Refusal.NotRun }, 700);
    const lines = await linesOf(metrics);
    expect(lines).toContain("waxwingspread_requests_total{operation=\"submit\",outcome=\"ok\"} 1");
    expect(lines).toContain("waxwingspread_requests_total{operation=\"submit\",outcome=\"not-run\"} 1");
    expect(lines).toContain("waxwingspread_request_duration_seconds_count{operation=\"submit\"} 2");
});

// Guards against a number of series that grows with the organisations of a configuration.
it("counts refused calls by reason and by a bounded number of organisations", async () => {
    const metrics = new ControlMetrics();
    const refuse = (organisation: string | undefined): void =>
        metrics.recordCallRefused({
            operation: CallerOperation.Submit,
            refusal: Refusal.Unauthenticated,
            hasKey: true,
            organisation,
            path: "/batch/aa",
            jobId: "aa",
            owner: undefined,
        });
    refuse(undefined);
    for (let round = 0; round < 2; round += 1) {
        Array.from({ length: 390 }, (unused, index) => refuse(`o${index}`));
    }
    const lines = (await linesOf(metrics)).filter(line => line.startsWith("waxwingspread_refused_calls_total{"));
    expect(lines).toHaveLength(51);
    expect(lines).toContain("waxwingspread_refused_calls_total{reason=\"unauthenticated\",organisation=\"\"} 1");
    expect(lines).toContain("waxwingspread_refused_calls_total{reason=\"unauthenticated\",organisation=\"o0\"} 2");
    expect(lines).toContain("waxwingspread_refused_calls_total{reason=\"unauthenticated\",organisation=\"other\"} 682");
});
