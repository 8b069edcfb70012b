import { StepError } from "@waxwingspread/common";
import type { SeededRandom } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { LogEntry, Membership, ReplicaIdentity, ReplicaMessage, SnapshotHeader } from "@waxwingspread/protocol";
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import { DiskSpace } from "./disk-space.js";
import { approximateSizeBytes } from "./entry-log.js";
import type { OpenedStore, ReplicaStore } from "./replica-store.js";
import { Replica } from "./replica.js";
import { isDiskFullError, toDiskError } from "./store-errors.js";
import { ReplicaEffectKind } from "./types.js";
import type {
    MembershipChange,
    PersistEffect,
    ReplicaEffect,
    ReplicaLimits,
    ReplicaTiming,
    RestoreSnapshotEffect,
    RoleChangedEffect,
    SnapshotNeededEffect,
} from "./types.js";

/** Time without an event, ticks included, after which the process counts as stalled. */
const STALL_THRESHOLD_MS = 100;
const DEFAULT_SNAPSHOT_INTERVAL_ENTRIES = 10_000;
/** Two segments, a snapshot of the same size and the one that it replaces take a few times as much of the disk. */
const DEFAULT_SNAPSHOT_INTERVAL_BYTES = 16 * 1024 * 1024;

/** Callbacks of a runner, which must not throw. */
export interface RunnerHooks {
    /** Sends a message; it may be lost. The address is empty when it is not known. */
    send(to: ReplicaIdentity, message: ReplicaMessage): void;
    /** Applies committed entries, each once and in order. */
    onCommit(entries: LogEntry[]): void;
    /** Replaces the state with a snapshot. */
    onRestoreSnapshot(header: SnapshotHeader, bytes: Uint8Array): void;
    onRoleChange(change: RoleChangedEffect): void;
    /** Returns the encoded state after all committed entries, or undefined to be called again after later ones. */
    takeSnapshot(): Uint8Array | undefined;
    /** The disk failed or is corrupt; the replica has stopped and acknowledges nothing any more. */
    onFailed(error: StepError): void;
    /** The disk has become full; the refused write of the log is repeated until it succeeds. */
    onDiskFull?(error: StepError): void;
    /** The disk takes writes again after it was full for a time. */
    onDiskWritable?(fullForMs: number): void;
    /** A snapshot was not stored because the disk is full; it is taken again later. */
    onSnapshotPostponed?(error: StepError): void;
}

/** Construction parameters of a runner. */
export interface RunnerOptions {
    opened: OpenedStore;
    random: SeededRandom;
    hooks: RunnerHooks;
    timing?: Partial<ReplicaTiming>;
    limits?: Partial<ReplicaLimits>;
    /** Number of committed entries after which a snapshot is taken. */
    snapshotIntervalEntries?: number;
    /** Approximate size of committed entries after which a snapshot is taken, however few they are. */
    snapshotIntervalBytes?: number;
    /** Schedules the execution of the effects of one event-loop iteration; `setImmediate` by default. */
    defer?: (task: () => void) => void;
}

type WriteOperation = PersistEffect | RestoreSnapshotEffect;
type DiskOperation = WriteOperation | SnapshotNeededEffect;

/** What made a snapshot due. */
interface SnapshotProgress {
    /** Last index of the snapshot before. */
    index: number;
    /** Approximate size of the entries committed since then. */
    bytes: number;
}

/**
 * Runs a replica with a store and executes its effects. All writes that are waiting when one ends are combined into
 * the next one. A write that a full disk refuses stays the next one until it succeeds. It has no timers; the caller calls
 * `tick`.
 */
export class ReplicaRunner {
    readonly replica: Replica;
    readonly #store: ReplicaStore;
    readonly #hooks: RunnerHooks;
    readonly #snapshotIntervalEntries: number;
    readonly #snapshotIntervalBytes: number;
    readonly #defer: (task: () => void) => void;
    #nowMs: number;
    #diskOperations: DiskOperation[] = [];
    readonly #diskSpace = new DiskSpace();
    #isFlushScheduled = false;
    #diskLoop: Promise<void> | undefined;
    #snapshotWrite: Promise<void> | undefined;
    #lastSnapshotIndex: number;
    /** Approximate size of the entries committed since the last snapshot. */
    #bytesSinceSnapshot = 0;
    #failure: StepError | undefined;
    #isStopped = false;

    constructor(options: RunnerOptions, nowMs: number) {
        const { opened, hooks } = options;
        this.#store = opened.store;
        this.#hooks = hooks;
        this.#snapshotIntervalEntries = options.snapshotIntervalEntries ?? DEFAULT_SNAPSHOT_INTERVAL_ENTRIES;
        this.#snapshotIntervalBytes = options.snapshotIntervalBytes ?? DEFAULT_SNAPSHOT_INTERVAL_BYTES;
        this.#defer = options.defer ?? setImmediate;
        this.#nowMs = nowMs;
        this.#lastSnapshotIndex = opened.persisted.snapshot?.lastIndex ?? 0;
        this.replica = new Replica({
            identity: opened.identity,
            persisted: opened.persisted,
            random: options.random,
            timing: options.timing,
            limits: options.limits,
        }, nowMs);
        if (opened.persisted.snapshot !== undefined && opened.snapshotBytes !== undefined) {
            hooks.onRestoreSnapshot(opened.persisted.snapshot, opened.snapshotBytes);
        }
    }

    /** The error that stopped the replica, if any. */
    get failure(): StepError | undefined {
        return this.#failure;
    }

    /** Whether no disk operation is waiting or running and no effects are pending. */
    get isIdle(): boolean {
        return this.#diskLoop === undefined && this.#snapshotWrite === undefined && !this.#isFlushScheduled;
    }

    tick(nowMs: number): void {
        this.#handleEvent(nowMs, () => this.replica.tick(nowMs));
    }

    receive(message: ReplicaMessage, nowMs: number): void {
        this.#handleEvent(nowMs, () => this.replica.receive(message, nowMs));
    }

    /** Returns the index of the last record, or NOT_LEADER, UNAVAILABLE once stopped, or the disk's error. */
    propose(records: readonly Uint8Array[], nowMs: number): Result<number, StepError> {
        return this.#propose(nowMs, () => this.replica.propose(records, nowMs));
    }

    /** Returns the index of the change's entry or an error; see {@link Replica.changeMembership}. */
    changeMembership(change: MembershipChange, nowMs: number): Result<number, StepError> {
        return this.#propose(nowMs, () => this.replica.changeMembership(change, nowMs));
    }

    /** Forms a new cluster; see {@link Replica.form}. */
    form(membership: Membership, nowMs: number): void {
        this.#handleEvent(nowMs, () => this.replica.form(membership, nowMs));
    }

    handOver(nowMs: number): void {
        this.#handleEvent(nowMs, () => this.replica.handOver(nowMs));
    }

    hasQuorumLease(nowMs: number): boolean {
        return this.#failure === undefined && !this.#isStopped && this.replica.hasQuorumLease(nowMs);
    }

    /** Starts a check that no other replica leads; see {@link Replica.startLeadershipCheck}. */
    startLeadershipCheck(nowMs: number): number {
        return this.replica.startLeadershipCheck(nowMs);
    }

    /** Whether a check of the leadership has succeeded; see {@link Replica.isLeadershipConfirmed}. */
    isLeadershipConfirmed(checkMs: number): boolean {
        return this.#failure === undefined && !this.#isStopped && this.replica.isLeadershipConfirmed(checkMs);
    }

    /** Executes pending effects now instead of in the deferred task. */
    flush(): void {
        if (this.#failure !== undefined || this.#isStopped) {
            return;
        }
        for (const effect of this.replica.takeEffects()) {
            this.#execute(effect);
        }
        this.#takeSnapshotIfDue();
        this.#startDiskLoop();
    }

    /** Resolves when no disk operation is running or waiting, except for those that a full disk has refused. */
    async whenIdle(): Promise<void> {
        while (this.#diskLoop !== undefined || this.#snapshotWrite !== undefined) {
            await Promise.all([this.#diskLoop, this.#snapshotWrite]);
        }
    }

    /** Stops without waiting for peers, completes the queued disk operations and closes the store. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await this.whenIdle();
        await this.#store.close();
    }

    #handleEvent(nowMs: number, event: () => void): void {
        this.#advanceClock(nowMs);
        if (this.#failure === undefined && !this.#isStopped) {
            event();
            this.#scheduleFlush();
        }
    }

    /** Ticks come every few tens of milliseconds, so a longer time without any event is a stall of this process. */
    #advanceClock(nowMs: number): void {
        const sinceEventMs = nowMs - this.#nowMs;
        this.#nowMs = Math.max(this.#nowMs, nowMs);
        if (sinceEventMs > STALL_THRESHOLD_MS) {
            this.replica.recordStall(sinceEventMs - STALL_THRESHOLD_MS, nowMs);
        }
    }

    #propose(nowMs: number, event: () => Result<number, StepError>): Result<number, StepError> {
        this.#advanceClock(nowMs);
        if (this.#failure !== undefined) {
            return Err(this.#failure);
        }
        if (this.#isStopped) {
            const { name } = this.replica.identity;
            return Err(new StepError(ErrorCode.UNAVAILABLE, "propose", name, "this replica is shutting down"));
        }
        const result = event();
        this.#scheduleFlush();
        return result;
    }

    #scheduleFlush(): void {
        if (!this.#isFlushScheduled) {
            this.#isFlushScheduled = true;
            this.#defer(() => {
                this.#isFlushScheduled = false;
                this.flush();
            });
        }
    }

    #execute(effect: ReplicaEffect): void {
        switch (effect.kind) {
            case ReplicaEffectKind.Send:
                this.#hooks.send(effect.to, effect.message);
                return;
            case ReplicaEffectKind.Commit:
                this.#bytesSinceSnapshot += sizeBytesOf(effect.entries);
                this.#hooks.onCommit(effect.entries);
                return;
            case ReplicaEffectKind.RoleChanged:
                this.#hooks.onRoleChange(effect);
                return;
            case ReplicaEffectKind.RestoreSnapshot:
                this.#hooks.onRestoreSnapshot(effect.header, effect.bytes);
                this.#lastSnapshotIndex = effect.header.lastIndex;
                this.#bytesSinceSnapshot = 0;
                this.#diskOperations.push(effect);
                return;
            default:
                this.#diskOperations.push(effect);
        }
    }

    #startDiskLoop(): void {
        if (this.#diskLoop !== undefined || !this.#mayRunDiskOperation) {
            return;
        }
        this.#diskLoop = this.#runDiskOperations().finally(() => {
            this.#diskLoop = undefined;
            this.#startDiskLoop();
        });
    }

    async #runDiskOperations(): Promise<void> {
        try {
            while (this.#mayRunDiskOperation && this.#failure === undefined) {
                await this.#runNextDiskOperation();
                this.flush();
            }
        }
        catch (error) {
            this.#fail(error);
        }
    }

    /** Whether a disk operation is waiting that need not wait for room on the disk. */
    get #mayRunDiskOperation(): boolean {
        return this.#diskOperations.length > 0 && (this.#diskSpace.mayWrite(this.#nowMs) || this.#nextRead >= 0);
    }

    /** Position of the next operation that only reads, which a full disk doesn't hold up; negative without one. */
    get #nextRead(): number {
        return this.#diskOperations.findIndex(operation => operation.kind === ReplicaEffectKind.SnapshotNeeded);
    }

    async #runNextDiskOperation(): Promise<void> {
        if (
            this.#diskOperations[0]?.kind === ReplicaEffectKind.SnapshotNeeded
            || !this.#diskSpace.mayWrite(this.#nowMs)
        ) {
            this.#diskOperations.splice(this.#nextRead, 1);
            await this.#readSnapshot();
            return;
        }
        const count = this.#diskOperations.findIndex(operation => operation.kind !== ReplicaEffectKind.Persist);
        const persistCount = count < 0 ? this.#diskOperations.length : count;
        const operations = this.#diskOperations.splice(0, Math.max(1, persistCount)).filter(isWrite);
        try {
            await this.#write(operations);
        }
        catch (error) {
            if (!isDiskFullError(error)) {
                throw error;
            }
            this.#diskOperations.unshift(...operations);
            this.#recordRefusedWrite(error);
            return;
        }
        this.#recordWrite();
        operations.forEach(operation => this.replica.onPersisted(operation.token, this.#nowMs));
    }

    /** Writes either consecutive parts of the log or one snapshot from the leader. */
    async #write(operations: readonly WriteOperation[]): Promise<void> {
        const [first] = operations;
        if (first?.kind === ReplicaEffectKind.RestoreSnapshot) {
            await this.#store.restoreSnapshot(first.header, first.bytes);
            return;
        }
        await this.#store.write(operations.filter(operation => operation.kind === ReplicaEffectKind.Persist));
    }

    async #readSnapshot(): Promise<void> {
        const snapshot = await this.#store.readSnapshot();
        if (snapshot !== undefined) {
            this.replica.onSnapshotLoaded(snapshot.header, snapshot.bytes, this.#nowMs);
        }
    }

    #recordRefusedWrite(error: unknown): void {
        if (this.#diskSpace.recordRefusedWrite(this.#nowMs)) {
            this.replica.setDiskFull(true, this.#nowMs);
            this.#hooks.onDiskFull?.(toDiskError("write", this.replica.identity.name, error));
        }
    }

    #recordWrite(): void {
        const fullForMs = this.#diskSpace.recordWrite(this.#nowMs);
        if (fullForMs !== undefined) {
            this.replica.setDiskFull(false, this.#nowMs);
            this.#hooks.onDiskWritable?.(fullForMs);
        }
    }

    /** Takes a snapshot if enough entries, or bytes, were committed; it is written concurrently with the log. */
    #takeSnapshotIfDue(): void {
        const isDue = this.replica.commitIndex - this.#lastSnapshotIndex >= this.#snapshotIntervalEntries
            || this.#bytesSinceSnapshot >= this.#snapshotIntervalBytes;
        if (!isDue || this.#snapshotWrite !== undefined || !this.#diskSpace.mayTakeSnapshot(this.#nowMs)) {
            return;
        }
        const bytes = this.#hooks.takeSnapshot();
        if (bytes === undefined) {
            return;
        }
        const header = this.replica.snapshotHeader(bytes);
        const previous = { index: this.#lastSnapshotIndex, bytes: this.#bytesSinceSnapshot };
        this.#lastSnapshotIndex = header.lastIndex;
        this.#bytesSinceSnapshot = 0;
        this.#snapshotWrite = this.#saveSnapshot(header, bytes, previous).finally(() => {
            this.#snapshotWrite = undefined;
        });
    }

    async #saveSnapshot(header: SnapshotHeader, bytes: Uint8Array, previous: SnapshotProgress): Promise<void> {
        try {
            await this.#store.saveSnapshot(header, bytes);
            this.replica.onSnapshotStored(header);
        }
        catch (error) {
            if (!isDiskFullError(error)) {
                this.#fail(error);
                return;
            }
            this.#postponeSnapshot(header, previous);
            this.#hooks.onSnapshotPostponed?.(toDiskError("write the snapshot", this.replica.identity.name, error));
        }
    }

    /** Makes the snapshot due again, unless the leader's snapshot has replaced the state meanwhile. */
    #postponeSnapshot(header: SnapshotHeader, previous: SnapshotProgress): void {
        this.#diskSpace.recordRefusedSnapshot(this.#nowMs);
        if (this.#lastSnapshotIndex === header.lastIndex) {
            this.#lastSnapshotIndex = previous.index;
            this.#bytesSinceSnapshot += previous.bytes;
        }
    }

    #fail(error: unknown): void {
        if (this.#failure === undefined) {
            this.#failure = toDiskError("write", this.replica.identity.name, error);
            this.#diskOperations = [];
            this.#hooks.onFailed(this.#failure);
        }
    }
}

const isWrite = (operation: DiskOperation): operation is WriteOperation =>
    operation.kind !== ReplicaEffectKind.SnapshotNeeded;

const sizeBytesOf = (entries: readonly LogEntry[]): number =>
    entries.reduce((sum, entry) => sum + approximateSizeBytes(entry), 0);
