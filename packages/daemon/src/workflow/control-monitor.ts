import type { Logger } from "pino";
import { LoopDelay } from "./loop-delay.js";
import { ControlPhase } from "./workflow-metrics.js";
import type { ControlMetrics } from "./workflow-metrics.js";

/** Longest durations are reported as metrics once per interval, which keeps their cost independent of the load. */
const REPORT_INTERVAL_MS = 200;
/** Answers are left out, because they may wait for a commit. */
const SLOW_PHASES = Object.values(ControlPhase).filter(phase => phase !== ControlPhase.HeartbeatAnswered);
const SLOW_PHASE_MS = 150;
const MIN_LOG_INTERVAL_MS = 500;

const NO_DURATIONS: Readonly<Record<ControlPhase, number>> = {
    [ControlPhase.EventLoop]: 0,
    [ControlPhase.HeartbeatQueued]: 0,
    [ControlPhase.HeartbeatAnswered]: 0,
    [ControlPhase.SessionStart]: 0,
    [ControlPhase.Decision]: 0,
};

/** Measures what delays a control replica: the event loop, waiting heartbeats and the first work of a leader. */
export class ControlMonitor {
    readonly #metrics: ControlMetrics;
    readonly #logger: Logger;
    readonly #loopDelay: LoopDelay;
    #longestMs = { ...NO_DURATIONS };
    #nextReportAtMs = -Infinity;
    #nextLogAtMs = -Infinity;
    #term = 0;
    /** Time of this replica's election until its first answer to a heartbeat. */
    #electedAtMs: number | undefined;

    constructor(metrics: ControlMetrics, logger: Logger, tickIntervalMs: number) {
        this.#metrics = metrics;
        this.#logger = logger;
        this.#loopDelay = new LoopDelay(tickIntervalMs);
    }

    /** Records a tick and reports the longest durations when they are due. */
    tick(queuedCalls: number, nowMs: number): void {
        this.record(ControlPhase.EventLoop, this.#loopDelay.tick(nowMs));
        if (nowMs >= this.#nextReportAtMs) {
            this.#nextReportAtMs = nowMs + REPORT_INTERVAL_MS;
            this.#report(queuedCalls, nowMs);
        }
    }

    /** Records the duration of a phase. */
    record(phase: ControlPhase, durationMs: number): void {
        this.#longestMs[phase] = Math.max(this.#longestMs[phase], durationMs);
    }

    /** Records the result of an election. */
    recordRole(isLeader: boolean, term: number, nowMs: number): void {
        this.#term = term;
        this.#electedAtMs = isLeader ? nowMs : undefined;
    }

    /** Records the start of a leader session. */
    recordSession(durationMs: number, nowMs: number): void {
        this.record(ControlPhase.SessionStart, durationMs);
        const sinceElectionMs = nowMs - (this.#electedAtMs ?? nowMs);
        this.#metrics.recordSessionStart(sinceElectionMs);
        const fields = rounded({ sinceElectionMs, durationMs });
        this.#logger.info({ term: this.#term, ...fields }, "leader session started");
    }

    /** Records an answer with orders to a heartbeat. */
    recordAnsweredHeartbeat(durationMs: number, nowMs: number): void {
        this.record(ControlPhase.HeartbeatAnswered, durationMs);
        if (this.#electedAtMs !== undefined) {
            const sinceElectionMs = nowMs - this.#electedAtMs;
            this.#electedAtMs = undefined;
            this.#metrics.recordFirstAnswer(sinceElectionMs);
            this.#logger.info({ term: this.#term, ...rounded({ sinceElectionMs }) }, "first heartbeat answered");
        }
    }

    #report(queuedCalls: number, nowMs: number): void {
        const longestMs = this.#longestMs;
        this.#longestMs = { ...NO_DURATIONS };
        this.#metrics.recordLongestDurations(longestMs);
        if (SLOW_PHASES.some(phase => longestMs[phase] >= SLOW_PHASE_MS) && nowMs >= this.#nextLogAtMs) {
            this.#nextLogAtMs = nowMs + MIN_LOG_INTERVAL_MS;
            this.#logger.warn({ longestMs: rounded(longestMs), queuedCalls }, "control replica is slow");
        }
    }
}

const rounded = (durationsMs: Readonly<Record<string, number>>): Record<string, number> =>
    Object.fromEntries(Object.entries(durationsMs).map(([name, durationMs]) => [name, Math.round(durationMs)]));
