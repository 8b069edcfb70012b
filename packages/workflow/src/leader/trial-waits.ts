/**
 * Time for which a task that may crash its server waits for one without other fresh runs. Afterwards it may start
 * beside fresh runs, but not beside another such task.
 */
const MAX_TRIAL_WAIT_MS = 1_000;

/** Times since which tasks and gangs that may crash their servers have waited for one, by task or step. */
export class TrialWaits {
    readonly #sinceMs = new Map<string, number>();

    /** Whether a task or gang has waited only briefly for a server without fresh runs. */
    isOpen(key: string, nowMs: number): boolean {
        const sinceMs = this.#sinceMs.get(key) ?? nowMs;
        this.#sinceMs.set(key, sinceMs);
        return nowMs - sinceMs < MAX_TRIAL_WAIT_MS;
    }

    /** Forgets the wait of a task or gang for which a server was found. */
    end(key: string): void {
        this.#sinceMs.delete(key);
    }

    /** Forgets the tasks and gangs of jobs that have ended before a server was found. */
    retain(isOpen: (jobId: string) => boolean): void {
        for (const key of this.#sinceMs.keys()) {
            const [jobId = ""] = key.split(".", 1);
            if (!isOpen(jobId)) {
                this.#sinceMs.delete(key);
            }
        }
    }
}
