import { jobKeyOf } from "@waxwingspread/common";
import type { CallerReply } from "../stand-in-caller.js";
import type { Observations, RunSegment } from "../stand-in/observations.js";
import type { DrillFleet } from "./drill-fleet.js";
import type { DrillJob } from "./load.js";

const SLOTS = 8;
const LOOK_UP_CONCURRENCY = 24;

interface JobReply {
    state?: string;
    outcome?: string;
    reason?: string;
    answer?: { echo?: unknown };
    answerSha256?: string;
}

/** Figures of a drill, from the callers' replies and the stand-ins' observations. */
export interface DrillFigures {
    jobs: number;
    completed: number;
    notRun: number;
    trials: number;
    retriedByCallers: number;
    /** Jobs that were evicted and resumed elsewhere. */
    continuations: number;
    /** Time from the first submission to the outcome. */
    longestAnswerMs: number;
}

const jobReplyOf = (reply: CallerReply | undefined): JobReply => (reply?.json ?? {}) as JobReply;

const hasOverlap = (segments: readonly RunSegment[]): boolean =>
    segments.some((segment, position) =>
        segments.slice(position + 1).some(other =>
            segment.startedAtMs < (other.stoppedAtMs ?? Infinity)
            && other.startedAtMs < (segment.stoppedAtMs ?? Infinity)
        )
    );

/** True if each later segment resumes from the checkpoint that was written when the previous one stopped. */
const isContinuousRun = (segments: readonly RunSegment[]): boolean =>
    [...segments]
        .sort((a, b) => a.startedAtMs - b.startedAtMs)
        .every((segment, position, sorted) => {
            const previous = sorted[position - 1];
            return previous === undefined
                ? segment.progressAtStartMs === 0
                : previous.stopReason === "checkpointed" && segment.progressAtStartMs === previous.progressAtStopMs;
        });

/** Returns the violations of a job that has completed. */
const completedJobViolations = (job: DrillJob, segments: readonly RunSegment[]): string[] => {
    const violations: string[] = [];
    const completedCount = segments.filter(({ stopReason }) => stopReason === "completed").length;
    if (jobReplyOf(job.reply).answer?.echo !== job.echo) {
        violations.push(`wrong answer: ${JSON.stringify(jobReplyOf(job.reply).answer)}`);
    }
    if (completedCount !== 1) {
        violations.push(`completed ${completedCount} times instead of once`);
    }
    if (job.workClass === "trial" && !isContinuousRun(segments)) {
        violations.push(`must not be repeated, but was started ${segments.length} times: ${JSON.stringify(segments)}`);
    }
    return violations;
};

const jobViolations = (job: DrillJob, segments: readonly RunSegment[]): string[] => {
    const { state, outcome } = jobReplyOf(job.reply);
    if (job.reply?.status !== 200 || state !== "ended") {
        return [`unexpected reply with status ${job.reply?.status}: ${JSON.stringify(job.reply?.json)}`];
    }
    const violations = hasOverlap(segments) ? ["two of its runs overlapped in time"] : [];
    if (outcome === "completed") {
        return [...violations, ...completedJobViolations(job, segments)];
    }
    if (outcome === "not-run") {
        return segments.length === 0
            ? violations
            : [...violations, `reported as not run, but ran ${segments.length} times`];
    }
    return [...violations, `unexpected outcome: ${JSON.stringify(job.reply.json)}`];
};

/** Looks up a job's outcome again; it must be the one that the caller received. */
const repeatedLookUpViolations = async (drillFleet: DrillFleet, job: DrillJob): Promise<string[]> => {
    const repeatedReply = await drillFleet.caller.lookUp(job.requestId);
    const first = jobReplyOf(job.reply);
    const second = jobReplyOf(repeatedReply);
    const isSame = first.outcome === second.outcome
        && first.answerSha256 === second.answerSha256
        && JSON.stringify(first.answer) === JSON.stringify(second.answer);
    return isSame
        ? []
        : [`outcome changed from ${JSON.stringify(first)} to ${repeatedReply.status} ${JSON.stringify(second)}`];
};

const mapInBatches = async <T, R>(items: readonly T[], task: (item: T) => Promise<R>): Promise<R[]> => {
    const results: R[] = [];
    for (let position = 0; position < items.length; position += LOOK_UP_CONCURRENCY) {
        results.push(...await Promise.all(items.slice(position, position + LOOK_UP_CONCURRENCY).map(task)));
    }
    return results;
};

const capacityViolations = (observations: readonly Observations[]): string[] =>
    observations
        .filter(({ peakTasks }) => peakTasks > SLOTS)
        .map(({ peakTasks }) => `a backend server held ${peakTasks} tasks in ${SLOTS} slots`);

/** Stops the load and checks every job. Returns the violations, empty for a correct run, and the figures. */
export const verifyJobs = async (drillFleet: DrillFleet): Promise<{ violations: string[]; figures: DrillFigures }> => {
    await drillFleet.load.stop();
    const { jobs } = drillFleet.load;
    const lookUpViolations = await mapInBatches(jobs, job => repeatedLookUpViolations(drillFleet, job));
    const observations = await drillFleet.observations();
    const segments = new Map<string, RunSegment[]>();
    for (const segment of observations.flatMap(observed => observed.segments)) {
        const key = jobKeyOf(segment);
        segments.set(key, [...segments.get(key) ?? [], segment]);
    }
    const customer = [...segments.values()][0]?.[0]?.customer ?? "";
    const violations = jobs.flatMap((job, position) => {
        const jobSegments = segments.get(jobKeyOf({ customer, requestId: job.requestId })) ?? [];
        return [...jobViolations(job, jobSegments), ...lookUpViolations[position] ?? []].map(violation =>
            `${job.requestId}: ${violation}`
        );
    });
    const countOf = (outcome: string): number => jobs.filter(job => jobReplyOf(job.reply).outcome === outcome).length;
    return {
        violations: [...violations, ...capacityViolations(observations)],
        figures: {
            jobs: jobs.length,
            completed: countOf("completed"),
            notRun: countOf("not-run"),
            trials: jobs.filter(({ workClass }) => workClass === "trial").length,
            continuations: [...segments.values()].filter(({ length }) => length > 1).length,
            longestAnswerMs: Math.round(Math.max(...jobs.map(job => job.reply?.elapsedMs ?? Infinity))),
            retriedByCallers: jobs.filter(job => (job.reply?.attempts ?? 0) > 1).length,
        },
    };
};
