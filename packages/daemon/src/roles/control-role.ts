import { SeededRandom, StepError } from "@waxwingspread/common";
import { NodeFileSystem, openOrReplaceStore, ReplicaRole, ReplicaRunner } from "@waxwingspread/consensus";
import type { OpenedStore, RoleChangedEffect } from "@waxwingspread/consensus";
import { ControlEffectKind, ControlNode, createReplicatedLogPort } from "@waxwingspread/control";
import type { ControlCall, ControlEffect, ControlMethod, ControlReply, ControlRequests } from "@waxwingspread/control";
import { ErrorCode } from "@waxwingspread/protocol";
import type {
    DescribeResponse,
    GetBlobRequest,
    LogEntry,
    PutBlobRequest,
    ReplicaMessage,
    SnapshotHeader,
} from "@waxwingspread/protocol";
import { join } from "node:path";
import { BlobStore } from "../blob-store/blob-store.js";
import { setReplicaRole } from "../metrics/index.js";
import { CallRegistry } from "../transport/call-registry.js";
import { ConnectListener } from "../transport/connect-listener.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { ReplicaSender } from "../transport/replica-sender.js";
import { ReplyCollector } from "../transport/reply-collector.js";
import { serverTimeInterceptor } from "../transport/time-propagation.js";
import { BlobMaintenance } from "./blob-maintenance.js";
import { bootstrap } from "./bootstrap.js";
import { controlRoutes } from "./control-routes.js";
import type { ControlRouteTarget } from "./control-routes.js";
import { controlSettingsOf, schedulerSettingsOf, seedOf } from "./core-settings.js";
import { createDiskReports } from "./create-disk-reports.js";
import { createReplaceHandler } from "./create-replace-handler.js";
import { describeReplica } from "./describe-replica.js";
import { handOverLeadership } from "./hand-over.js";
import { journalRoutes } from "./journal-routes.js";
import type { ProcessContext } from "./process-context.js";

const TICK_INTERVAL_MS = 20;
const DESCRIBE_TIMEOUT_MS = 1_000;
const HANDOVER_TIMEOUT_MS = 2_000;

/** Runs one control replica: connects its state machine to the disk, the network and timers. */
export class ControlRole implements ControlRouteTarget {
    readonly #context: ProcessContext;
    readonly #node: ControlNode;
    readonly #runner: ReplicaRunner;
    readonly #blobs: BlobStore;
    readonly #blobMaintenance: BlobMaintenance;
    readonly #calls = new CallRegistry<ControlReply>();
    readonly #sender: ReplicaSender;
    readonly #replyCollector = new ReplyCollector();
    readonly #listener: ConnectListener;
    #tickTimer: NodeJS.Timeout | undefined;
    #isFlushScheduled = false;
    #isStopped = false;

    private constructor(context: ProcessContext, opened: OpenedStore, blobs: BlobStore) {
        const { settings, metrics } = context;
        this.#context = context;
        this.#blobs = blobs;
        this.#blobMaintenance = new BlobMaintenance(context, blobs, {
            membership: () => this.#runner.replica.membership,
            localDiskId: () => this.diskId,
            liveBlobs: () => this.#node.referencedBlobs(),
        });
        this.#sender = new ReplicaSender(context.clients, {
            onFailure: () => metrics.connectionsReplaced.add({}),
            onReplies: messages => messages.forEach(message => this.#runner.receive(message, monotonicNowMs())),
        });
        this.#node = new ControlNode({
            name: settings.vmName,
            settings: controlSettingsOf(settings),
            schedulerSettings: schedulerSettingsOf(settings),
            random: new SeededRandom(seedOf(settings.vmName)),
            authorizeOperator: context.authorizeOperator,
            log: createReplicatedLogPort(() => this.#runner),
        });
        this.#runner = this.#createRunner(opened);
        this.#listener = new ConnectListener({
            address: settings.listeners.control ?? { host: settings.advertiseHost, port: 0 },
            maxConnections: settings.limits.connectionsPerListener,
            routes: router => {
                controlRoutes(this)(router);
                journalRoutes(context.journal, context.authorizeOperator)(router);
            },
            interceptors: [serverTimeInterceptor(context.journal.clock)],
            onConnectionRefused: () => metrics.rejected.add({ listener: "control", limit: "connections" }),
        });
    }

    /** Opens the log and the blob store and starts listening. Fails with DISK_FAILED, INVALID or UNAVAILABLE. */
    static async start(context: ProcessContext): Promise<ControlRole> {
        const { settings } = context;
        const folder = settings.dataFolder ?? "";
        const opened = await openOrReplaceStore({
            fileSystem: new NodeFileSystem(),
            folder: join(folder, "log"),
            name: settings.vmName,
            address: `${settings.advertiseHost}:${settings.listeners.control?.port ?? 0}`,
        }, createReplaceHandler(context.logger));
        const blobs = await BlobStore.open(join(folder, "blobs"), monotonicNowMs());
        const role = new ControlRole(context, opened, blobs);
        await role.#listener.listen();
        role.#tickTimer = setInterval(() => role.#tick(), TICK_INTERVAL_MS);
        role.#blobMaintenance.start();
        void bootstrap({
            identity: opened.identity,
            peers: settings.bootstrapPeers,
            describe: (address, timeoutMs) =>
                context.clients.for(address).replica.describe({ from: opened.identity }, { timeoutMs }),
            runner: role.#runner,
            logger: context.logger,
            isStopped: () => role.#isStopped,
        });
        return role;
    }

    get name(): string {
        return this.#context.settings.vmName;
    }

    get diskId(): string {
        return this.#runner.replica.identity.diskId;
    }

    get isLeader(): boolean {
        return this.#node.isServing;
    }

    /** True once this replica belongs to a cluster that has a leader. */
    get isReady(): boolean {
        return !this.#isStopped && this.#runner.replica.isFormed && this.#runner.replica.leader !== undefined;
    }

    call<Method extends ControlMethod>(method: Method, request: ControlRequests[Method]): Promise<ControlReply> {
        return this.#calls.start(callId => {
            this.#node.call(callId, { method, request } as ControlCall, monotonicNowMs());
            this.#scheduleFlush();
        });
    }

    receive(messages: readonly ReplicaMessage[]): ReplicaMessage[] {
        messages.forEach(message => this.#runner.receive(message, monotonicNowMs()));
        if (!messages.every(isHeartbeat)) {
            // Other messages lead to disk writes. Handling them together with later ones lets the writes share a sync.
            return [];
        }
        this.#replyCollector.begin(messages[0]?.fromDiskId ?? "");
        this.#runner.flush();
        return this.#replyCollector.end();
    }

    describe(): DescribeResponse {
        return { ...describeReplica(this.#runner.replica), missingBlobs: this.#blobMaintenance.missingCount };
    }

    async putBlob(request: PutBlobRequest): Promise<void> {
        if (request.reference === undefined) {
            throw new StepError(ErrorCode.INVALID, "store blob", this.name, "the request names no blob");
        }
        await this.#blobs.put(request.reference, request.data, monotonicNowMs());
    }

    async getBlob(request: GetBlobRequest): Promise<Uint8Array | undefined> {
        return request.reference === undefined ? undefined : this.#blobs.get(request.reference);
    }

    async obstacleToPromotion(diskId: string): Promise<string | undefined> {
        const member = this.#runner.replica.membership.members.find(item => item.identity?.diskId === diskId);
        if (member?.identity === undefined) {
            return "no replica has this disk id; add it first";
        }
        try {
            const client = this.#context.clients.for(member.identity.address).replica;
            const description = await client.describe({}, { timeoutMs: DESCRIBE_TIMEOUT_MS });
            return description.missingBlobs === 0
                ? undefined
                : `the replica still copies ${description.missingBlobs} blobs`;
        }
        catch {
            return "the replica doesn't answer";
        }
    }

    /** Hands over leadership, waits for calls in progress and closes the log and the blob store. */
    async stop(graceMs: number): Promise<void> {
        await handOverLeadership(this.#runner, HANDOVER_TIMEOUT_MS);
        this.#isStopped = true;
        await this.#listener.close(Math.min(graceMs, HANDOVER_TIMEOUT_MS));
        clearInterval(this.#tickTimer);
        this.#blobMaintenance.stop();
        await this.#runner.stop();
        this.#sender.close();
        await this.#blobs.close();
    }

    #createRunner(opened: OpenedStore): ReplicaRunner {
        const { settings, fail, metrics, logger } = this.#context;
        return new ReplicaRunner({
            opened,
            random: new SeededRandom(seedOf(opened.identity.diskId)),
            timing: settings.timings,
            snapshotIntervalEntries: settings.snapshotIntervalEntries,
            hooks: {
                send: (to, message) => {
                    if (!this.#replyCollector.tryCollect(message)) {
                        this.#sender.send(to.address, message);
                    }
                },
                onCommit: entries => this.#applyCommitted(entries),
                onRestoreSnapshot: (header, bytes) => this.#restoreSnapshot(header, bytes),
                onRoleChange: change => this.#handleRoleChange(change),
                takeSnapshot: () => this.#node.snapshot().bytes,
                onFailed: fail,
                ...createDiskReports(isFull => metrics.diskFull.set({}, isFull ? 1 : 0), logger),
            },
        }, monotonicNowMs());
    }

    #tick(): void {
        const nowMs = monotonicNowMs();
        this.#runner.tick(nowMs);
        this.#node.tick(nowMs);
        this.#handleEffects();
    }

    #scheduleFlush(): void {
        if (this.#isFlushScheduled) {
            return;
        }
        this.#isFlushScheduled = true;
        setImmediate(() => {
            this.#isFlushScheduled = false;
            this.#node.flush(monotonicNowMs());
            this.#handleEffects();
        });
    }

    #applyCommitted(entries: LogEntry[]): void {
        this.#node.applyCommitted(entries, monotonicNowMs());
        this.#handleEffects();
    }

    #restoreSnapshot(header: SnapshotHeader, bytes: Uint8Array): void {
        this.#node.restoreSnapshot(bytes, header.lastIndex);
        this.#handleEffects();
    }

    #handleRoleChange(change: RoleChangedEffect): void {
        const { metrics, logger, journal } = this.#context;
        if (change.role !== ReplicaRole.Leader) {
            this.#node.handleLeadershipLost();
            this.#handleEffects();
        }
        if (change.role === ReplicaRole.Candidate) {
            metrics.elections.add({});
        }
        setReplicaRole(metrics, change.role);
        metrics.term.set({}, change.term);
        const leader = change.leader?.name ?? "";
        logger.info({ role: change.role, term: change.term, leader }, "replica role changed");
        journal.record(
            { name: "replica role changed", peer: leader, detail: `${change.role}, term ${change.term}` },
            Math.floor(monotonicNowMs()),
        );
    }

    #handleEffects(): void {
        for (const effect of this.#node.takeEffects()) {
            this.#handleEffect(effect);
        }
    }

    #handleEffect(effect: ControlEffect): void {
        const { journal, metrics } = this.#context;
        switch (effect.kind) {
            case ControlEffectKind.Reply:
                this.#calls.finish(effect.callId, effect.reply);
                return;
            case ControlEffectKind.Journal:
                journal.record(effect.record, Math.floor(monotonicNowMs()));
                return;
            case ControlEffectKind.BlobsReferenced:
                this.#blobMaintenance.enqueueRepairs(effect.references);
                return;
            case ControlEffectKind.CommitLatency:
                metrics.commit.observeMs({}, effect.latencyMs);
                return;
        }
    }
}

const isHeartbeat = ({ body }: ReplicaMessage): boolean =>
    body.case === "appendRequest" && body.value.entries.length === 0;
