import { pino } from "pino";
import { expect, it } from "vitest";
import { ControlMonitor } from "./control-monitor.js";
import { ControlMetrics, ControlPhase } from "./workflow-metrics.js";

const createMonitor = () => {
    const lines: Record<string, unknown>[] = [];
    const logger = pino({}, { write: (line: string) => void lines.push(JSON.parse(line) as Record<string, unknown>) });
    const metrics = new ControlMetrics();
    return { lines, metrics, monitor: new ControlMonitor(metrics, logger, 20) };
};

// Guards against an incident whose logs can't tell a held event loop from slow decisions or waiting heartbeats.
it("logs the longest durations by phase, and no more than two lines a second", () => {
    const { lines, monitor } = createMonitor();
    monitor.tick(0, 0);
    for (let nowMs = 200; nowMs <= 2_000; nowMs += 200) {
        monitor.record(ControlPhase.Decision, 100);
        monitor.tick(7, nowMs);
    }
    expect(lines).toHaveLength(4);
    expect(lines[0]).toMatchObject({
        msg: "control replica is slow",
        longestMs: { "event-loop": 180, decision: 100 },
        queuedCalls: 7,
    });
});

// Guards against a change of the leader whose cost to the backend servers is not visible.
it("reports the time from the election to the session and to the first answered heartbeat once", async () => {
    const { lines, metrics, monitor } = createMonitor();
    monitor.recordRole(true, 4, 1_000);
    monitor.recordSession(30, 1_100);
    monitor.recordAnsweredHeartbeat(5, 1_600);
    monitor.recordAnsweredHeartbeat(5, 1_700);
    expect(lines).toMatchObject([
        { msg: "leader session started", term: 4, sinceElectionMs: 100, durationMs: 30 },
        { msg: "first heartbeat answered", term: 4, sinceElectionMs: 600 },
    ]);
    const text = await metrics.registry.metrics();
    expect(text).toContain("waxwingspread_election_to_first_answer_seconds_sum 0.6");
    expect(text).toContain("waxwingspread_election_to_session_seconds_sum 0.1");
});
