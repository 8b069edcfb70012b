import type { HeartbeatReport } from "../model/heartbeat.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { ServerDirectory } from "./server-directory.js";
import type { ServerView } from "./server-view.js";
import type { LeaderSettings } from "./settings.js";

/** Decides whether a heartbeat can be answered, or waits for events to be committed. */
export class HeartbeatReadiness {
    readonly #state: WorkflowState;
    readonly #directory: ServerDirectory;
    readonly #settings: LeaderSettings;

    constructor(state: WorkflowState, directory: ServerDirectory, settings: LeaderSettings) {
        this.#state = state;
        this.#directory = directory;
        this.#settings = settings;
    }

    /** Returns the server of a heartbeat; undefined if a later heartbeat has arrived or the server has been removed. */
    serverOf(report: HeartbeatReport): ServerView | undefined {
        const server = this.#directory.find(report.serverId, report.incarnation);
        return server?.sequence === report.sequence ? server : undefined;
    }

    isWaitingForLog(report: HeartbeatReport): boolean {
        const server = this.serverOf(report);
        if (server === undefined) {
            return false;
        }
        const { id: serverId, incarnation } = server;
        const isEndWaiting = server.lastProposedEnd > this.#state.acknowledgedEnd({ serverId, incarnation });
        return isEndWaiting || server.hasUncommittedRuns || !this.isLeaseRecorded;
    }

    /** Whether the next leader will know how long the leases are that this one grants. */
    get isLeaseRecorded(): boolean {
        return (this.#state.longestLeaseMs ?? 0) >= this.#settings.leaseMs;
    }
}
