import { JobState, Outcome, Reason } from "@waxwingspread/protocol";
import type { Job } from "@waxwingspread/protocol";

/** Returns an enum member's name in lower case with dashes. */
const toKebabCase = (name: string): string => name.toLowerCase().replaceAll("_", "-");

/** Job in the replies to callers, without its answer. */
export interface JobJson {
    requestId: string;
    workClass: string;
    state: string;
    outcome?: string;
    reason?: string;
    detail?: string;
    answerSha256?: string;
    attempts: number;
    acceptedAtMs: number;
    endedAtMs?: number;
}

/** Returns the JSON form of a job. */
export const jobJsonOf = (job: Job): JobJson => ({
    requestId: job.specification?.requestId ?? "",
    workClass: job.specification?.workClass ?? "",
    state: toKebabCase(JobState[job.state]),
    outcome: job.outcome === Outcome.UNSPECIFIED ? undefined : toKebabCase(Outcome[job.outcome]),
    reason: job.reason === Reason.UNSPECIFIED ? undefined : toKebabCase(Reason[job.reason]),
    detail: job.detail === "" ? undefined : job.detail,
    answerSha256: job.answer ? Buffer.from(job.answer.sha256).toString("hex") : undefined,
    attempts: job.attemptsMade,
    acceptedAtMs: job.acceptedAtMs,
    endedAtMs: job.endedAtMs === 0 ? undefined : job.endedAtMs,
});

/**
 * Returns the JSON text of a job with its answer, if any. The stored text of the answer is inserted unchanged, so that
 * the caller gets exactly the bytes whose digest was verified.
 */
export const jobTextOf = (job: Job, answer: Uint8Array | undefined): string => {
    const text = JSON.stringify(jobJsonOf(job));
    return answer ? `${text.slice(0, -1)},"answer":${Buffer.from(answer).toString("utf8")}}` : text;
};
