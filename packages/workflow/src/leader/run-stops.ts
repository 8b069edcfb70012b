import { parseTaskKey, taskKeyOf } from "../model/specification.js";
import type { AssignedTask } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { ServerDirectory } from "./server-directory.js";

/** Marks runs as stopping that must not or cannot go on. */
export class RunStops {
    readonly #state: WorkflowState;
    readonly #directory: ServerDirectory;

    constructor(state: WorkflowState, directory: ServerDirectory) {
        this.#state = state;
        this.#directory = directory;
    }

    /** Stops all runs of a job. */
    stopJob(jobId: string): void {
        for (const assigned of this.#state.job(jobId)?.assignedTasks() ?? []) {
            this.#stopRun(assigned);
        }
    }

    /** Stops the other members of a gang's run, which cannot work without the one that ended. */
    stopGangMembers({ task, run }: { task: string; run: number }): void {
        const position = parseTaskKey(task);
        const job = position === undefined ? undefined : this.#state.job(position.jobId);
        if (position === undefined || job?.specification.steps[position.step]?.isGang !== true) {
            return;
        }
        for (const member of job.assignedTasks()) {
            const { occurrence, step } = member.position;
            if (occurrence === position.occurrence && step === position.step && member.task.run === run) {
                this.#stopRun(member);
            }
        }
    }

    #stopRun({ position, server }: AssignedTask): void {
        const view = this.#directory.find(server.serverId, server.incarnation)?.runs.get(taskKeyOf(position));
        if (view !== undefined) {
            view.isStopping = true;
        }
    }
}
