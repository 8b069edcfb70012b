import { parseTaskKey } from "../model/specification.js";
import { CrashInvolvement, LossReason } from "../state/crash-history.js";
import { EventKind } from "../state/events.js";
import type { LostRun, RecordedEnd, WorkflowEvent } from "../state/events.js";
import { hasRun } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { CrashAttribution, lostRunOf, suspectKeyOf } from "./crash-attribution.js";
import type { ServerDirectory } from "./server-directory.js";
import type { RunView, ServerView } from "./server-view.js";
import type { Times } from "./times.js";

/** Dependencies of {@link RunLosses}. */
export interface RunLossesOptions {
    state: WorkflowState;
    directory: ServerDirectory;
    propose: (event: WorkflowEvent) => void;
}

/** Proposes the loss of runs for the log, with its reason and with what is known about crashes of servers. */
export class RunLosses {
    readonly #options: RunLossesOptions;
    readonly #crashes = new CrashAttribution();

    constructor(options: RunLossesOptions) {
        this.#options = options;
    }

    /** Records runs that have certainly ended or never started, without a crash. */
    recordLost(runs: readonly RunView[], reason: LossReason, times: Times): void {
        const lost = runs.filter(run => run.isCommitted).map(run => lostRunOf(run, reason));
        this.#propose(lost, times);
    }

    /** Records the runs of a former leader whose server has restarted. How long they had run is unknown. */
    recordFormerRuns(runs: readonly RunView[], times: Times): void {
        const lost = runs.map(run => {
            const serverId = this.#options.state.job(run.position.jobId)?.task(run.position)?.server?.serverId ?? "";
            const crash = { serverId, vmId: "", involvement: CrashInvolvement.Suspected };
            return { ...lostRunOf(run, LossReason.ServerRestarted), crash };
        });
        this.#propose(lost, times);
    }

    /** Records the runs of a server whose lease has expired. */
    recordExpired(server: ServerView, times: Times): void {
        this.#recordCrash(server, LossReason.LeaseExpired, times);
    }

    /** Records what a server's heartbeat shows about its former incarnation, or about its presumed crash. */
    recordHeartbeat(previous: ServerView | undefined, server: ServerView, times: Times): void {
        if (previous === undefined) {
            this.#propose(this.#crashes.recordHeard(server), times);
        }
        else if (server.incarnation < previous.incarnation) {
            // Another program had sent a heartbeat with an implausible time of birth; no server has crashed.
            this.recordLost([...previous.runs.values()], LossReason.ServerRestarted, times);
        }
        else if (previous !== server) {
            // A former leader's server that this one has never heard has no VM yet.
            previous.vmId ||= server.vmId;
            this.#recordCrash(previous, LossReason.ServerRestarted, times);
        }
    }

    /** Clears the suspects that a server has shown for long enough. */
    clearProven(server: ServerView, times: Times): void {
        for (const run of server.runs.values()) {
            if (run.isSuspect && !server.isFresh(run)) {
                this.#propose(this.#crashes.clear(suspectKeyOf(run)), times);
            }
        }
    }

    /** Clears a suspect of which a run has ended. */
    clearEnded({ task, end }: RecordedEnd, times: Times): void {
        const position = parseTaskKey(task);
        const step = this.#options.state.job(position?.jobId ?? "")?.specification.steps[position?.step ?? -1];
        if (position !== undefined && step !== undefined && hasRun(end)) {
            this.#propose(this.#crashes.clear(suspectKeyOf({ step, position, task })), times);
        }
    }

    /** Forgets the crashes that are too old to be of use. */
    evictExpired(nowMs: number): void {
        this.#crashes.evictExpired(nowMs);
    }

    #recordCrash(server: ServerView, reason: LossReason, times: Times): void {
        const { servers } = this.#options.directory;
        this.#propose(this.#crashes.recordLoss(server, reason, servers, times.nowMs), times);
    }

    #propose(runs: LostRun[], { timeOfDayMs }: Times): void {
        if (runs.length > 0) {
            this.#options.propose({ kind: EventKind.RunsLost, runs, atMs: timeOfDayMs });
        }
    }
}
