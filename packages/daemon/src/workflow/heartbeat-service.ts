import { succeeded } from "@waxwingspread/workflow";
import type { HeartbeatOrders, HeartbeatReport, WorkflowNode } from "@waxwingspread/workflow";
import type { Logger } from "pino";
import { MessageChannels } from "../transport/message-channel.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { CallKind } from "./call-queue.js";
import type { ClusterMembership } from "./cluster-membership.js";
import type { ControlMonitor } from "./control-monitor.js";
import { HeartbeatForwarder } from "./heartbeat-forwarder.js";
import { HeartbeatRouting } from "./heartbeat-routing.js";
import { LeaderCalls } from "./leader-calls.js";
import type { NodeDriver } from "./node-driver.js";
import type { HeartbeatAnswer, HeartbeatBatch, HeartbeatBatchResponse, HeartbeatResult } from "./operations.js";
import { ControlPhase } from "./workflow-metrics.js";

/** Longest wait of a heartbeat for its turn or for a leader; backend servers wait 1 s for an answer. */
const MAX_WAIT_MS = 800;
/** Longest wait of a heartbeat that another replica has passed on, where it may have waited already. */
const MAX_PASSED_ON_WAIT_MS = 600;
const ROUTING_INTERVAL_MS = 100;

/** Dependencies of a {@link HeartbeatService}. */
export interface HeartbeatServiceOptions {
    /** Host of this replica. */
    host: string;
    /** Port of the listeners for heartbeats that replicas pass on. */
    port: number;
    node: WorkflowNode;
    driver: Pick<NodeDriver, "call">;
    membership: Pick<ClusterMembership, "leaderHost" | "responsiveFollowers">;
    monitor: ControlMonitor;
    logger: Logger;
}

/** A replica's part in the heartbeats: answers them as the leader, passes them on to it otherwise. */
export class HeartbeatService {
    readonly #options: HeartbeatServiceOptions;
    readonly #calls: LeaderCalls<HeartbeatReport, HeartbeatAnswer | undefined>;
    readonly #forwarder: HeartbeatForwarder;
    readonly #routing: HeartbeatRouting;
    readonly #channels = new MessageChannels();
    #nextRoutingAtMs = -Infinity;

    constructor(options: HeartbeatServiceOptions) {
        const { host, port, membership, logger } = options;
        this.#options = options;
        this.#forwarder = new HeartbeatForwarder({ channels: this.#channels, host, port, logger });
        this.#routing = new HeartbeatRouting(host);
        this.#calls = new LeaderCalls({
            host,
            maxWaitMs: MAX_WAIT_MS,
            readLeaderHost: () => membership.leaderHost,
            readNowMs: monotonicNowMs,
            execute: (report, maxWaitMs) => this.#callNode(report, host, maxWaitMs),
            forward: (report, leaderHost) => this.#forwarder.forward(report, leaderHost),
        });
    }

    /** Handles the heartbeat of a server that has called this replica. */
    handle(report: HeartbeatReport): Promise<HeartbeatResult> {
        return this.#calls.handle(report, monotonicNowMs());
    }

    /** Hosts of the followers that take heartbeats; none unless this replica leads a large fleet. */
    get heartbeatHosts(): string[] {
        return this.#options.node.session === undefined ? [] : this.#routing.heartbeatHosts;
    }

    /** Follows changes of the leader and of its followers. To be called every few tens of milliseconds. */
    tick(nowMs: number): void {
        this.#forwarder.setLeader(this.#options.membership.leaderHost);
        this.#calls.tick(nowMs);
        if (nowMs >= this.#nextRoutingAtMs) {
            this.#nextRoutingAtMs = nowMs + ROUTING_INTERVAL_MS;
            this.#updateRouting(nowMs);
        }
    }

    /** Lets the servers call the leader themselves: this replica passes no heartbeats on any more. */
    stopForwarding(): void {
        this.#calls.stopForwarding();
    }

    /** Whether a heartbeat was passed on within the given time. */
    hasForwarded(withinMs: number): boolean {
        return this.#calls.hasForwarded(withinMs, monotonicNowMs());
    }

    /** Refuses the heartbeats that wait and all later ones. */
    close(): void {
        this.#calls.close();
        this.#forwarder.close();
        this.#channels.close();
    }

    /** Handles the heartbeats that another replica has passed on. */
    async handleBatch({ fromHost, reports }: HeartbeatBatch): Promise<HeartbeatBatchResponse> {
        const results = await Promise.all(
            reports.map(report => this.#callNode(report, fromHost, MAX_PASSED_ON_WAIT_MS)),
        );
        return { results };
    }

    /** Passes a heartbeat that has arrived at a host to the node. */
    async #callNode(report: HeartbeatReport, arrivedAtHost: string, maxWaitMs: number): Promise<HeartbeatResult> {
        const { driver, monitor, node } = this.#options;
        const receivedAtMs = monotonicNowMs();
        const result = await driver.call<HeartbeatOrders | undefined>(
            (respond, times) => {
                monitor.record(ControlPhase.HeartbeatQueued, times.nowMs - receivedAtMs);
                node.heartbeat(report, respond, times);
            },
            CallKind.Heartbeat,
            maxWaitMs,
        );
        if (!result.ok) {
            return result;
        }
        const nowMs = monotonicNowMs();
        monitor.recordAnsweredHeartbeat(nowMs - receivedAtMs, nowMs);
        const { value: orders } = result;
        const nextHost = this.#routing.nextHost(report, arrivedAtHost, nowMs);
        return succeeded(orders === undefined ? undefined : { orders, nextHost });
    }

    #updateRouting(nowMs: number): void {
        const { membership, node: { session } } = this.#options;
        if (session === undefined) {
            this.#routing.clear();
            return;
        }
        this.#routing.update(membership.responsiveFollowers(nowMs), session.serverCount);
    }
}
