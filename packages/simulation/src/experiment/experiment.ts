import { TaskKind } from "@waxwingspread/workflow";
import type { LeaderSettings } from "@waxwingspread/workflow";
import { createHash } from "node:crypto";
import { Deployment } from "../model/deployment.js";
import { RunRecord } from "./run-record.js";
import type { JobFinish, KindCounts } from "./run-record.js";
import { Disruption } from "./scenario.js";
import type { Scenario } from "./scenario.js";

/** Settings of a leader on the platform. */
const LEADER_SETTINGS: LeaderSettings = {
    leaseMs: 5_000,
    maxLeaseMs: 6_000,
    busyHeartbeatMs: 100,
    idleHeartbeatMs: 100,
    maxOrderBytes: 128 * 1024,
    maintenanceMs: 2_000,
    orderLeaseMs: 3_000,
    retentionMs: 180_000,
    maxJobBytes: 40_000_000,
};
const SETTLING_MS = 1_000;
/** Interval at which tasks are looked for that wait in spite of capacity. */
const CHECK_INTERVAL_MS = 1_000;
const CUT_MS = 3_000;
const BUSY_MS = 4_000;
const OUTAGE_MS = 12_000;
/** Time after a disruption within which its consequences are over. */
const RECOVERY_MS = 12_000;
const BUSY_TAIL_RATIO = 0.72;
const OVER_TARGET_RATIO = 1.5;
const CALM_TAIL_RATIO = 0.4;
const MAX_LISTED_FINDINGS = 5;

/** Result of one played scenario. Everything but the processor time follows from its seed. */
export interface ExperimentResult {
    seed: number;
    disruption: Disruption;
    servers: number;
    jobs: number;
    spanMs: number;
    findings: string[];
    findingCount: number;
    counts: Record<TaskKind, KindCounts>;
    finishes: JobFinish[];
    largestAnswerBytes: number;
    /** SHA-256 of all starts, stops and ends with their times. */
    digest: string;
    starts: number;
    heartbeats: number;
    /** Processor time of the leaders. */
    leaderMs: number;
    /** Time that the simulation took. */
    durationMs: number;
}

/** Disrupts a deployment; returns when the consequences are to be over. */
type Disrupt = (deployment: Deployment) => void;

const DISRUPT: Readonly<Record<Disruption, Disrupt>> = {
    [Disruption.None]: () => undefined,
    [Disruption.Cut]: deployment => {
        deployment.partitionServer(0, CUT_MS);
        deployment.advance(CUT_MS + RECOVERY_MS);
    },
    // Fillers are paused beside standing tasks over their targets; the next leader finds them while these are busy.
    [Disruption.Failover]: deployment => {
        deployment.setTailRatio(OVER_TARGET_RATIO);
        deployment.advance(BUSY_MS);
        deployment.setTailRatio(BUSY_TAIL_RATIO);
        deployment.advance(BUSY_MS);
        deployment.loseLeader();
        deployment.advance(BUSY_MS);
        deployment.setTailRatio(CALM_TAIL_RATIO);
        deployment.advance(RECOVERY_MS);
    },
    [Disruption.Outage]: deployment => {
        deployment.stallLog(OUTAGE_MS);
        deployment.loseLeader();
        deployment.advance(OUTAGE_MS + RECOVERY_MS);
    },
};

/** Plays a scenario and returns what was found and measured. */
export const runExperiment = (scenario: Scenario): ExperimentResult => {
    const startedAtMs = performance.now();
    const hash = createHash("sha256");
    let leaderMs = 0;
    const deployment = new Deployment({
        seed: scenario.seed,
        servers: scenario.servers,
        settings: LEADER_SETTINGS,
        maxAttempts: 3,
        maxNetworkDelayMs: 6,
        maxCommitDelayMs: 10,
        trace: line => hash.update(`${line}\n`),
        usedProcessor: durationMs => {
            leaderMs += durationMs;
        },
    });
    deployment.advance(SETTLING_MS);
    const record = new RunRecord(scenario, () => deployment.nowMs);
    deployment.observe(record.observer);
    play(deployment, scenario);
    const findings = [
        ...deployment.violations,
        ...scenario.disruption === Disruption.None ? record.findRestarted() : [],
    ];
    return {
        seed: scenario.seed,
        disruption: scenario.disruption,
        servers: scenario.servers.length,
        jobs: scenario.jobs.length,
        spanMs: Math.round(scenario.spanMs),
        findings: findings.slice(0, MAX_LISTED_FINDINGS),
        findingCount: findings.length,
        counts: {
            [TaskKind.Finite]: record.countsOf(TaskKind.Finite),
            [TaskKind.Filler]: record.countsOf(TaskKind.Filler),
            [TaskKind.Standing]: record.countsOf(TaskKind.Standing),
        },
        finishes: record.finishes(),
        largestAnswerBytes: record.largestAnswerBytes,
        digest: hash.digest("hex"),
        starts: record.startCount,
        heartbeats: deployment.heartbeats,
        leaderMs,
        durationMs: performance.now() - startedAtMs,
    };
};

/** Submits the jobs at their times, and disrupts the deployment half way. */
const play = (deployment: Deployment, scenario: Scenario): void => {
    const startMs = deployment.nowMs;
    const advanceTo = (elapsedMs: number): void =>
        deployment.advanceCheckingLiveness(Math.max(0, startMs + elapsedMs - deployment.nowMs), CHECK_INTERVAL_MS);
    const jobs = scenario.jobs.toSorted((a, b) => a.submittedAtMs - b.submittedAtMs);
    for (const { submittedAtMs, specification, behaviour } of jobs) {
        advanceTo(submittedAtMs);
        deployment.submit(specification, behaviour);
    }
    advanceTo(scenario.disruptedAtMs);
    DISRUPT[scenario.disruption](deployment);
    deployment.resubmit();
    advanceTo(scenario.spanMs);
};
