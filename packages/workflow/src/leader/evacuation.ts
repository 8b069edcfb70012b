import { TaskKind } from "../model/specification.js";
import type { ServerDirectory } from "./server-directory.js";
import type { RunView, ServerView } from "./server-view.js";

/** Time before a server leaves at which tasks that save checkpoints are stopped, to be resumed elsewhere. */
const SAVE_BEFORE_LEAVING_MS = 900;

/** Moves work off backend servers that are about to leave or to be maintained. */
export class Evacuation {
    readonly #directory: ServerDirectory;

    constructor(directory: ServerDirectory) {
        this.#directory = directory;
    }

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

    /** Whether one more task of a standing step may be away. */
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
