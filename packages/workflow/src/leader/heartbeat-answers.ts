import type { HeartbeatReport } from "../model/heartbeat.js";
import { LossReason } from "../state/crash-history.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { OpenHeartbeats } from "./open-heartbeats.js";
import type { OrderWriter } from "./order-writer.js";
import type { RunLosses } from "./run-losses.js";
import type { ServerDirectory } from "./server-directory.js";
import type { ServerFailures } from "./server-failures.js";
import { resetStartOrders } from "./server-view.js";
import type { ServerView } from "./server-view.js";
import type { LeaderSettings } from "./settings.js";
import type { Times } from "./times.js";
import type { UnstartedTasks } from "./unstarted-tasks.js";

/** Dependencies of {@link HeartbeatAnswers}. */
export interface HeartbeatAnswersOptions {
    state: WorkflowState;
    settings: LeaderSettings;
    heartbeats: OpenHeartbeats;
    directory: ServerDirectory;
    orders: OrderWriter;
    failures: ServerFailures;
    losses: RunLosses;
    unstartedTasks: UnstartedTasks;
}

/** Answers the open heartbeats with orders as soon as what the orders depend on is committed. */
export class HeartbeatAnswers {
    readonly #options: HeartbeatAnswersOptions;

    constructor(options: HeartbeatAnswersOptions) {
        this.#options = options;
    }

    /** Whether the next leader will know how long the leases are that this one grants. */
    get isLeaseRecorded(): boolean {
        const { state, settings } = this.#options;
        return (state.longestLeaseMs ?? 0) >= settings.leaseMs;
    }

    /** Responds to the heartbeats that are ready. */
    send(times: Times): void {
        const { nowMs } = times;
        const { heartbeats, directory, orders, failures, losses, unstartedTasks } = this.#options;
        for (const { report, respond } of heartbeats.takeReady(item => this.#isWaitingForLog(item), nowMs)) {
            const server = this.#serverOf(report);
            if (server === undefined || !this.isLeaseRecorded) {
                respond(undefined);
                continue;
            }
            const written = orders.buildOrders(server, report, directory.size, nowMs);
            const isFaulty = written.unexecuted.length > 0
                && failures.recordUnexecutedOrders(server, directory.size, nowMs);
            const lostRuns = [...written.neverStarted, ...isFaulty ? written.unexecuted : []];
            written.unexecuted.forEach(resetStartOrders);
            losses.recordLost(lostRuns, LossReason.NeverStarted, times);
            lostRuns.forEach(run => unstartedTasks.recordLost(run));
            lostRuns.forEach(run => server.removeRun(run.task));
            respond(written.orders);
        }
    }

    /** Returns the server of a heartbeat; undefined if a later heartbeat has arrived or the server has been removed. */
    #serverOf(report: HeartbeatReport): ServerView | undefined {
        const server = this.#options.directory.find(report.serverId, report.incarnation);
        return server?.sequence === report.sequence ? server : undefined;
    }

    #isWaitingForLog(report: HeartbeatReport): boolean {
        const server = this.#serverOf(report);
        if (server === undefined) {
            return false;
        }
        const { id: serverId, incarnation } = server;
        const acknowledgedEnd = this.#options.state.acknowledgedEnd({ serverId, incarnation });
        return server.lastProposedEnd > acknowledgedEnd || server.hasUncommittedRuns || !this.isLeaseRecorded;
    }
}
