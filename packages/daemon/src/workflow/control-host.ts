import { fromJson, toJson } from "@bufbuild/protobuf";
import type { JsonValue } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { initialMembership, ReplicaRole, ReplicaRunner } from "@waxwingspread/consensus";
import type { OpenedStore, RoleChangedEffect } from "@waxwingspread/consensus";
import { DescribeResponseSchema } from "@waxwingspread/protocol";
import type { DescribeResponse, LogEntry, ReplicaMessage } from "@waxwingspread/protocol";
import { FailedAction, WorkflowNode } from "@waxwingspread/workflow";
import type { CallResult, HeartbeatReport, LeaderSettings, Times } from "@waxwingspread/workflow";
import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "pino";
import type { HttpListener } from "../http/http-listener.js";
import { bootstrap } from "../roles/bootstrap.js";
import { createDiskReports } from "../roles/create-disk-reports.js";
import { describeReplica } from "../roles/describe-replica.js";
import { handOverLeadership } from "../roles/hand-over.js";
import { hostOf } from "../transport/host-of.js";
import { MessageListener } from "../transport/message-listener.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { ReplicaStreamListener, ReplicaStreamSender } from "../transport/replica-stream.js";
import { ClusterMembership } from "./cluster-membership.js";
import { ControlMonitor } from "./control-monitor.js";
import { electionSeedOf } from "./election-seed.js";
import { EventLog } from "./event-log.js";
import { HeartbeatService } from "./heartbeat-service.js";
import { InternalCaller } from "./internal-caller.js";
import { createForwardedHandlers, createPreviewHandler } from "./internal-handlers.js";
import type { ForwardedHandlersOptions } from "./internal-handlers.js";
import { createInternalListener } from "./internal-listener.js";
import type { InternalHandler } from "./internal-listener.js";
import type { MembershipRequirements } from "./membership-reconciler.js";
import { NodeDriver } from "./node-driver.js";
import { createNodeReports } from "./node-reports.js";
import { openLog } from "./open-log.js";
import { CLUSTER_PATH, DESCRIBE_PATH, JOIN_PATH } from "./operations.js";
import type {
    ClusterDescription,
    ControlOperations,
    HeartbeatBatchResponse,
    HeartbeatResult,
    JoinRequest,
    OperatorOperation,
    OperatorRequests,
    OperatorValues,
    ReplicaCall,
} from "./operations.js";
import { OperatorService } from "./operator-service.js";
import { PlatformCalls } from "./platform-calls.js";
import type { PlatformServices } from "./platform-services.js";
import { RelayAnnouncer } from "./relay-announcer.js";
import { reportSession } from "./report-session.js";
import { createRunnerLog } from "./runner-log.js";
import { SlewedWallClock } from "./slewed-wall-clock.js";
import type { ControlMetrics } from "./workflow-metrics.js";

const TICK_INTERVAL_MS = 20;
const VOTER_STATUS_INTERVAL_MS = 200;
const UTILIZATION_INTERVAL_MS = 2_000;
const ANNOUNCE_INTERVAL_MS = 1_000;
const HANDOVER_TIMEOUT_MS = 1_500;
/**
 * Time for which a stopping former leader, or a replica that has passed heartbeats on, redirects to the present leader: each
 * server of a fleet of up to 1,000 sends a heartbeat within it. Servers that find the port closed would try again only after
 * more than a second.
 */
const REDIRECT_TIME_MS = 1_000;
const LISTENER_GRACE_MS = 1_000;
/** Log records between two snapshots, which bounds the records that recovery replays. */
const SNAPSHOT_INTERVAL_RECORDS = 4_000;

/** Settings of a control replica. */
export interface ControlHostSettings {
    host: string;
    /** Port for replication between replicas. */
    replicaPort: number;
    /** Port for calls of entries and of replicas that join. */
    internalPort: number;
    /** Port of the listeners for heartbeats and operators' calls that replicas pass on. */
    passedOnPort: number;
    dataFolder: string;
    /** Hosts of control replicas from the settings. */
    seedHosts: readonly string[];
    /** Whether this is the first start of the deployment, in which the seed hosts form the cluster. */
    isFirstStart: boolean;
    availabilityZone: string;
    /** Losses that may happen at the same time, and the time until the next ones may. */
    membership: MembershipRequirements;
    leader: LeaderSettings;
}

/** Dependencies of a {@link ControlHost}. */
export interface ControlHostDependencies {
    services: PlatformServices;
    metrics: ControlMetrics;
    logger: Logger;
    /** Called with an unrecoverable error, after which the process must end. */
    fail: (error: Error) => void;
    /** Ends a start that waits for room on the disk. */
    stopSignal?: AbortSignal;
}

/** Runs a control replica of the workflow state: connects the node to the disk, the network and timers. */
export class ControlHost implements ControlOperations {
    readonly #settings: ControlHostSettings;
    readonly #services: PlatformServices;
    readonly #metrics: ControlMetrics;
    readonly #logger: Logger;
    readonly #fail: (error: Error) => void;
    readonly #caller = new InternalCaller();
    readonly #sender = new ReplicaStreamSender();
    readonly #runner: ReplicaRunner;
    readonly #node: WorkflowNode;
    readonly #eventLog: EventLog;
    readonly #membership: ClusterMembership;
    readonly #relayAnnouncer: RelayAnnouncer;
    readonly #replicaListener: ReplicaStreamListener;
    readonly #internalListener: HttpListener;
    readonly #timers: NodeJS.Timeout[] = [];
    readonly #monitor: ControlMonitor;
    readonly #driver: NodeDriver;
    readonly #heartbeats: HeartbeatService;
    readonly #operators: OperatorService;
    readonly #passedOnListener: MessageListener;
    readonly #wallClock = new SlewedWallClock(monotonicNowMs(), Date.now());
    #isStopped = false;

    private constructor(
        settings: ControlHostSettings,
        opened: OpenedStore,
        { services, metrics, logger, fail }: ControlHostDependencies,
    ) {
        this.#settings = settings;
        this.#services = services;
        this.#metrics = metrics;
        this.#logger = logger;
        this.#fail = fail;
        this.#eventLog = new EventLog(logger);
        this.#monitor = new ControlMonitor(metrics, logger, TICK_INTERVAL_MS);
        this.#node = this.#createNode();
        this.#runner = this.#createRunner(opened);
        this.#driver = new NodeDriver({
            node: this.#node,
            runner: this.#runner,
            monitor: this.#monitor,
            readTimes: () => this.#currentTimes(),
        });
        this.#membership = new ClusterMembership({
            runner: this.#runner,
            caller: this.#caller,
            host: settings.host,
            internalPort: settings.internalPort,
            seedHosts: settings.seedHosts,
            requirements: settings.membership,
            isLeading: () => this.#node.session !== undefined,
            formAlone: () => this.#formAlone(),
            logger,
        }, monotonicNowMs());
        this.#heartbeats = new HeartbeatService({
            host: settings.host,
            port: settings.passedOnPort,
            node: this.#node,
            driver: this.#driver,
            membership: this.#membership,
            monitor: this.#monitor,
            logger,
        });
        this.#operators = new OperatorService({
            host: settings.host,
            port: settings.passedOnPort,
            node: this.#node,
            driver: this.#driver,
            readLeaderHost: () => this.leaderHost,
            logger,
        });
        this.#passedOnListener = new MessageListener({
            address: { host: settings.host, port: settings.passedOnPort },
            handle: (call: ReplicaCall) => this.#handlePassedOn(call),
            logger,
        });
        this.#relayAnnouncer = new RelayAnnouncer({
            caller: this.#caller,
            internalPort: settings.internalPort,
            logger,
        });
        this.#replicaListener = new ReplicaStreamListener(
            { host: settings.host, port: settings.replicaPort },
            messages => this.#receive(messages),
        );
        this.#internalListener = createInternalListener({
            address: { host: settings.host, port: settings.internalPort },
            handlers: this.#internalHandlers(),
            logger,
            onConnection: () => this.recordConnection(),
        });
    }

    /** Opens the log and starts listening. Fails with DISK_FAILED, INVALID or UNAVAILABLE, or if it was told to stop. */
    static async start(settings: ControlHostSettings, dependencies: ControlHostDependencies): Promise<ControlHost> {
        const opened = await openLog(settings, dependencies);
        const host = new ControlHost(settings, opened, dependencies);
        await host.#replicaListener.listen();
        await host.#internalListener.listen();
        await host.#passedOnListener.listen();
        host.#startTimers();
        host.#startBootstrap(opened);
        return host;
    }

    /** Host of the current leader; undefined if none is known. */
    get leaderHost(): string | undefined {
        return this.#membership.leaderHost;
    }

    /** Replaces the seed hosts, for example after the settings have changed. */
    setSeedHosts(hosts: readonly string[]): void {
        this.#membership.setSeedHosts(hosts);
    }

    /** To be called for each new connection of a client, so that calls don't delay the acceptance of the next ones. */
    recordConnection(): void {
        this.#driver.recordConnection();
    }

    async heartbeat(report: HeartbeatReport): Promise<HeartbeatResult> {
        const result = await this.#heartbeats.handle(report);
        this.#metrics.recordHeartbeat(result);
        return result;
    }

    callOperator<Operation extends OperatorOperation>(
        operation: Operation,
        request: OperatorRequests[Operation],
    ): Promise<CallResult<OperatorValues[Operation]>> {
        return this.#operators.call(operation, request);
    }

    /** Hands over leadership, redirects to the next leader for some time, waits for open calls and closes the log. */
    async stop(): Promise<void> {
        this.#heartbeats.stopForwarding();
        this.#operators.stopForwarding();
        const hasServers = this.#heartbeats.hasForwarded(REDIRECT_TIME_MS);
        const wasLeader = await handOverLeadership(this.#runner, HANDOVER_TIMEOUT_MS);
        if (wasLeader || hasServers) {
            await sleep(REDIRECT_TIME_MS);
        }
        this.#isStopped = true;
        this.#driver.close();
        this.#timers.forEach(timer => clearInterval(timer));
        this.#heartbeats.close();
        this.#operators.close();
        await Promise.all([
            this.#internalListener.close(LISTENER_GRACE_MS),
            this.#replicaListener.close(),
            this.#passedOnListener.close(),
        ]);
        await this.#runner.stop();
        this.#sender.close();
        this.#caller.close();
    }

    #createNode(): WorkflowNode {
        const platformCalls = new PlatformCalls({
            services: this.#services,
            onResult: () => this.#driver.scheduleRun(),
            onEligibilityQuery: (isAnswered, durationMs) =>
                this.#metrics.recordEligibilityQuery(isAnswered, durationMs),
            logger: this.#logger,
        });
        return new WorkflowNode({
            settings: this.#settings.leader,
            ...createNodeReports(this.#eventLog, this.#metrics),
            queryEligibility: (query, respond) => void platformCalls.checkEligibility(query, respond),
            beginMaintenance: (call, respond) => void platformCalls.beginMaintenance(call, respond),
            log: createRunnerLog(() => this.#runner),
        });
    }

    #createRunner(opened: OpenedStore): ReplicaRunner {
        return new ReplicaRunner({
            opened,
            random: new SeededRandom(electionSeedOf(opened.identity.diskId)),
            snapshotIntervalEntries: SNAPSHOT_INTERVAL_RECORDS,
            hooks: {
                send: (to, message) => this.#sender.send(to.address, message, monotonicNowMs()),
                onCommit: entries => this.#applyCommitted(entries),
                onRestoreSnapshot: (header, bytes) => {
                    this.#logger.info({ lastIndex: header.lastIndex, sizeBytes: bytes.length }, "snapshot restored");
                    this.#node.restoreSnapshot(bytes);
                },
                onRoleChange: change => this.#handleRoleChange(change),
                takeSnapshot: () => this.#node.snapshot(),
                onFailed: this.#fail,
                ...createDiskReports(isFull => this.#metrics.setDiskFull(isFull), this.#logger),
            },
        }, monotonicNowMs());
    }

    /** Reads the monotonic clock and the wall clock. */
    #currentTimes(): Times {
        const nowMs = monotonicNowMs();
        return { nowMs, timeOfDayMs: this.#wallClock.readMs(nowMs, Date.now()) };
    }

    #startTimers(): void {
        this.#timers.push(
            setInterval(() => this.#tick(), TICK_INTERVAL_MS),
            setInterval(
                () => this.#metrics.setVoterStatus(this.#membership.voterStatus(monotonicNowMs())),
                VOTER_STATUS_INTERVAL_MS,
            ),
            setInterval(() => this.#tryReportUtilization(), UTILIZATION_INTERVAL_MS),
            setInterval(() => this.#announceMembers(), ANNOUNCE_INTERVAL_MS),
        );
    }

    #startBootstrap(opened: OpenedStore): void {
        const { host, replicaPort, isFirstStart, seedHosts } = this.#settings;
        if (!isFirstStart || !seedHosts.includes(host)) {
            return;
        }
        const peers = seedHosts.map(seed => ({
            name: `${seed}:${replicaPort}`,
            address: { host: seed, port: replicaPort },
        }));
        void bootstrap({
            identity: opened.identity,
            peers,
            describe: (address, timeoutMs) => this.#describePeer(address, timeoutMs),
            runner: this.#runner,
            logger: this.#logger,
            isStopped: () => this.#isStopped,
        });
    }

    #tick(): void {
        const nowMs = monotonicNowMs();
        this.#monitor.tick(this.#driver.queuedCalls, nowMs);
        this.#runner.tick(nowMs);
        this.#sender.tick(nowMs);
        this.#membership.tick(nowMs);
        this.#driver.tick();
        this.#heartbeats.tick(nowMs);
        this.#operators.tick(nowMs);
    }

    #announceMembers(): void {
        if (this.#node.session !== undefined) {
            void this.#relayAnnouncer.announce(this.#membership.memberHosts, this.#membership.seedHosts);
        }
    }

    /** Reports the utilization; an error in a report must not end the leader. */
    #tryReportUtilization(): void {
        try {
            const { session } = this.#node;
            if (session !== undefined) {
                reportSession(session, this.#metrics, this.#logger, this.#currentTimes());
            }
        }
        catch (error) {
            this.#eventLog.recordFailure(error, FailedAction.ReportEvents, monotonicNowMs());
        }
    }

    #applyCommitted(entries: LogEntry[]): void {
        const records = entries.map(entry => ({
            index: entry.index,
            term: entry.term,
            data: entry.body.case === "data" ? entry.body.value : undefined,
        }));
        this.#node.applyCommitted(records, this.#currentTimes());
        this.#driver.scheduleRun();
    }

    #handleRoleChange(change: RoleChangedEffect): void {
        if (change.role !== ReplicaRole.Leader) {
            this.#node.handleLeadershipLost();
        }
        this.#metrics.setRole(change.role === ReplicaRole.Leader, change.term);
        this.#monitor.recordRole(change.role === ReplicaRole.Leader, change.term, monotonicNowMs());
        const leader = change.leader?.name ?? "";
        this.#logger.info({ replicaRole: change.role, term: change.term, leader }, "replica role changed");
    }

    #receive(messages: readonly ReplicaMessage[]): void {
        const nowMs = monotonicNowMs();
        messages.forEach(message => this.#runner.receive(message, nowMs));
        if (this.#node.hasPendingReads) {
            this.#driver.scheduleRun();
        }
    }

    /** Handles what another replica has passed on to this one as the leader. */
    #handlePassedOn(call: ReplicaCall): Promise<HeartbeatBatchResponse | CallResult<unknown>> {
        return "operatorCall" in call ? this.#operators.handlePassedOn(call) : this.#heartbeats.handleBatch(call);
    }

    async #describePeer(address: string, timeoutMs: number): Promise<DescribeResponse> {
        const port = this.#settings.internalPort;
        const call = { host: hostOf(address), port, path: DESCRIBE_PATH, body: {}, timeoutMs };
        return fromJson(DescribeResponseSchema, await this.#caller.call<JsonValue>(call));
    }

    #internalHandlers(): ReadonlyMap<string, InternalHandler> {
        const forwarding: ForwardedHandlersOptions = {
            node: this.#node,
            call: start => this.#driver.call(start),
            leaderHost: () => this.leaderHost,
        };
        return new Map<string, InternalHandler>([
            ...createForwardedHandlers(forwarding),
            createPreviewHandler(forwarding),
            [DESCRIBE_PATH, () => toJson(DescribeResponseSchema, describeReplica(this.#runner.replica))],
            [CLUSTER_PATH, () => this.#describeCluster()],
            [JOIN_PATH, (request: JoinRequest) => this.#membership.handleJoin(request, monotonicNowMs())],
        ]);
    }

    #describeCluster(): ClusterDescription {
        const nowMs = monotonicNowMs();
        return {
            leaderHost: this.leaderHost,
            memberHosts: this.#membership.memberHosts,
            isServing: this.#node.session !== undefined && this.#runner.hasQuorumLease(nowMs),
            heartbeatHosts: this.#heartbeats.heartbeatHosts,
            voterStatus: this.#membership.voterStatus(nowMs),
        };
    }

    #formAlone(): void {
        const { identity, isFormed } = this.#runner.replica;
        if (!isFormed && !identity.replacesUnreadableLog) {
            this.#runner.form(initialMembership([identity]), monotonicNowMs());
            this.#logger.info({ members: 1 }, "cluster formed for seeds without disks");
        }
    }
}
