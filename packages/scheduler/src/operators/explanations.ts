import type { JobKey } from "@waxwingspread/common";

const MAXIMUM_SENTENCES_PER_JOB = 8;
/** Maximum number of jobs with explanations; the one whose last explanation is the oldest is dropped first. */
const MAXIMUM_JOBS = 20_000;

/** Latest explanations of the decisions on each job, for operators. Held in memory only: a new leader has none. */
export class Explanations {
    readonly #sentences = new Map<JobKey, string[]>();

    add(key: JobKey, sentence: string, nowMs: number): void {
        const sentences = this.#sentences.get(key) ?? [];
        this.#sentences.delete(key);
        this.#sentences.set(
            key,
            [...sentences, `${new Date(nowMs).toISOString()} ${sentence}`].slice(-MAXIMUM_SENTENCES_PER_JOB),
        );
        if (this.#sentences.size > MAXIMUM_JOBS) {
            const oldest = this.#sentences.keys().next().value;
            this.#sentences.delete(oldest ?? key);
        }
    }

    of(key: JobKey): string[] {
        return this.#sentences.get(key) ?? [];
    }

    forget(key: JobKey): void {
        this.#sentences.delete(key);
    }
}
