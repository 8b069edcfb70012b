import { TaskKind } from "@waxwingspread/workflow";
import { build } from "hdr-histogram-js";
import type { ExperimentResult } from "./experiment.js";
import type { JobFinish } from "./run-record.js";

/** Ratios are recorded in thousandths, since a histogram holds whole numbers. */
const RATIO_SCALE = 1_000;
const DECADES_MS = [50, 1_000, 10_000, 100_000, 1_000_000, 10_000_000, 100_000_000];

/** Finish times of the jobs with tasks of similar lengths, relative to the lower bound. */
export interface LengthSummary {
    fromMs: number;
    toMs: number;
    jobs: number;
    /** Sum of the finish times over the sum of their bounds. */
    meanRatio: number;
    medianRatio: number;
    p99Ratio: number;
}

/** Summary of all played scenarios. */
export interface ExperimentSummary {
    scenarios: number;
    findings: number;
    /** Sum of the finish times of all finite jobs over the sum of their bounds. */
    meanRatio: number;
    lengths: LengthSummary[];
    kinds: Record<TaskKind, { tasks: number; restarts: number; stops: number }>;
    largestAnswerBytes: number;
    leaderMsPerStart: number;
    leaderMsPerHeartbeat: number;
}

/** Summarizes results. */
export const summarize = (results: readonly ExperimentResult[]): ExperimentSummary => {
    const finite = results.flatMap(({ finishes }) => finishes).filter(({ kind }) => kind === TaskKind.Finite);
    const sum = (select: (result: ExperimentResult) => number): number =>
        results.reduce((total, result) => total + select(result), 0);
    const kindOf = (kind: TaskKind) => ({
        tasks: sum(({ counts }) => counts[kind].tasks),
        restarts: sum(({ counts }) => counts[kind].restarts),
        stops: sum(({ counts }) => counts[kind].stops),
    });
    return {
        scenarios: results.length,
        findings: sum(({ findingCount }) => findingCount),
        meanRatio: meanRatioOf(finite),
        lengths: DECADES_MS.slice(1).map((toMs, index) => summarizeLengths(finite, DECADES_MS[index] ?? 0, toMs)),
        kinds: {
            [TaskKind.Finite]: kindOf(TaskKind.Finite),
            [TaskKind.Filler]: kindOf(TaskKind.Filler),
            [TaskKind.Standing]: kindOf(TaskKind.Standing),
        },
        largestAnswerBytes: Math.max(0, ...results.map(({ largestAnswerBytes }) => largestAnswerBytes)),
        leaderMsPerStart: sum(({ leaderMs }) => leaderMs) / Math.max(1, sum(({ starts }) => starts)),
        leaderMsPerHeartbeat: sum(({ leaderMs }) => leaderMs) / Math.max(1, sum(({ heartbeats }) => heartbeats)),
    };
};

/** Formats a summary as a table. */
export const formatTable = (summary: ExperimentSummary): string => {
    const lengths = summary.lengths.map(({ fromMs, toMs, jobs, meanRatio, medianRatio, p99Ratio }) => [
        `${formatMs(fromMs)} to ${formatMs(toMs)}`,
        `${jobs}`,
        meanRatio.toFixed(2),
        medianRatio.toFixed(2),
        p99Ratio.toFixed(2),
    ]);
    const kinds = Object.entries(summary.kinds).map(([kind, { tasks, restarts, stops }]) => [
        kind,
        `${tasks}`,
        `${restarts}`,
        `${stops}`,
    ]);
    return [
        ...alignRows([["length", "jobs", "finish/bound", "median", "p99"], ...lengths]),
        "",
        ...alignRows([["kind", "tasks", "restarts", "stops"], ...kinds]),
        "",
        `scenarios ${summary.scenarios}, findings ${summary.findings}, finish/bound ${summary.meanRatio.toFixed(3)}`,
        `largest answer ${summary.largestAnswerBytes} bytes, leader ${summary.leaderMsPerStart.toFixed(3)} ms a start, `
        + `${summary.leaderMsPerHeartbeat.toFixed(3)} ms a heartbeat (all its work over each)`,
    ].join("\n");
};

const summarizeLengths = (finishes: readonly JobFinish[], fromMs: number, toMs: number): LengthSummary => {
    const jobs = finishes.filter(({ lengthMs }) => lengthMs >= fromMs && lengthMs < toMs);
    const histogram = build();
    jobs.forEach(({ finishMs, boundMs }) => histogram.recordValue(Math.round((RATIO_SCALE * finishMs) / boundMs)));
    return {
        fromMs,
        toMs,
        jobs: jobs.length,
        meanRatio: meanRatioOf(jobs),
        medianRatio: histogram.getValueAtPercentile(50) / RATIO_SCALE,
        p99Ratio: histogram.getValueAtPercentile(99) / RATIO_SCALE,
    };
};

const meanRatioOf = (finishes: readonly JobFinish[]): number => {
    const finishMs = finishes.reduce((sum, finish) => sum + finish.finishMs, 0);
    const boundMs = finishes.reduce((sum, finish) => sum + finish.boundMs, 0);
    return boundMs === 0 ? 0 : finishMs / boundMs;
};

const formatMs = (ms: number): string => ms < 1_000 ? `${ms} ms` : `${ms / 1_000} s`;

const alignRows = (rows: readonly (readonly string[])[]): string[] => {
    const widths = rows[0]?.map((unused, column) => Math.max(...rows.map(row => row[column]?.length ?? 0))) ?? [];
    return rows.map(row => row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join("  "));
};
