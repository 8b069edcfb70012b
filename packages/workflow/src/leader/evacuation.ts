import { TaskKind } from "../model/specification.js";
import type { ServerDirectory } from "./server-directory.js";
import type { RunView, ServerView } from "./server-view.js";

/** Time before a server's exit at which tasks that save checkpoints are stopped, to be resumed on other servers. */
const SAVE_BEFORE_LEAVING_MS = 900;

/** Stops tasks on backend servers that are draining or about to be maintained, so that they move to other servers. */
export class Evacuation {
    readonly #directory: ServerDirectory;

    constructor(directory: ServerDirectory) {
        this.#directory = directory;
    }

    /** Marks the runs that have to leave their server now as stopping. */
    run(nowMs: number): void {
        for (const server of this.#directory.servers) {
            if (server.isDraining || server.isInMaintenance) {
                this.#empty(server, nowMs);
            }
        }
    }

    #empty(server: ServerView, nowMs: number): void {
        const isAboutToLeave = server.isInMaintenance
            || nowMs >= server.leavesAtMs - SAVE_BEFORE_LEAVING_MS;
        for (const run of server.runs.values()) {
            const isSaved = run.step.savesCheckpoints && isAboutToLeave;
            if (isSaved || (run.kind === TaskKind.Standing && this.#maySpare(run))) {
                run.isStopping = true;
            }
        }
    }

    /** Whether a standing task may be stopped within its step's bound on unavailable tasks. */
    #maySpare(run: RunView): boolean {
        const { maxUnavailable, taskCount } = run.step;
        if (maxUnavailable === undefined || run.isStopping) {
            return true;
        }
        let atWork = 0;
        for (const server of this.#directory.servers) {
            for (const { position, progressPercent, isStopping, isReported } of server.runs.values()) {
                const isSameStep = position.jobId === run.position.jobId && position.step === run.position.step;
                atWork += isSameStep && isReported && !isStopping && progressPercent >= 100 ? 1 : 0;
            }
        }
        return taskCount - atWork < maxUnavailable;
    }
}
