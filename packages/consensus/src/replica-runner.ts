import { StepError } from "@waxwingspread/common";
import type { SeededRandom } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { LogEntry, Membership, ReplicaIdentity, ReplicaMessage, SnapshotHeader } from "@waxwingspread/protocol";
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { OpenedStore, ReplicaStore } from "./replica-store.js";
import { Replica } from "./replica.js";
import { diskFailed } from "./store-errors.js";
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

const DEFAULT_SNAPSHOT_ENTRIES = 10_000;

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
}

/** Construction parameters of a runner. */
export interface RunnerOptions {
    opened: OpenedStore;
    random: SeededRandom;
    hooks: RunnerHooks;
    timing?: Partial<ReplicaTiming>;
    limits?: Partial<ReplicaLimits>;
    /** Number of committed entries after which a snapshot is taken. */
    snapshotEntries?: number;
    /** Schedules the execution of the effects of one event-loop iteration; `setImmediate` by default. */
    defer?: (task: () => void) => void;
}

type DiskJob = PersistEffect | RestoreSnapshotEffect | SnapshotNeededEffect;

/**
 * Runs a replica with a store and executes its effects. All writes that are waiting when one ends are combined into
 * the next one. It has no timers; the caller calls `tick`.
 */
export class ReplicaRunner {
    readonly replica: Replica;
    readonly #store: ReplicaStore;
    readonly #hooks: RunnerHooks;
    readonly #snapshotEntries: number;
    readonly #defer: (task: () => void) => void;
    #nowMs: number;
    #jobs: DiskJob[] = [];
    #isDeferred = false;
    #work: Promise<void> | undefined;
    #snapshotWork: Promise<void> | undefined;
    #lastSnapshotIndex: number;
    #failure: StepError | undefined;
    #isStopped = false;

    constructor(options: RunnerOptions, nowMs: number) {
        const { opened, hooks } = options;
        this.#store = opened.store;
        this.#hooks = hooks;
        this.#snapshotEntries = options.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES;
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
        return this.#work === undefined && this.#snapshotWork === undefined && !this.#isDeferred;
    }

    tick(nowMs: number): void {
        this.#run(nowMs, () => this.replica.tick(nowMs));
    }

    receive(message: ReplicaMessage, nowMs: number): void {
        this.#run(nowMs, () => this.replica.receive(message, nowMs));
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
        this.#run(nowMs, () => this.replica.form(membership, nowMs));
    }

    handOver(nowMs: number): void {
        this.#run(nowMs, () => this.replica.handOver(nowMs));
    }

    hasQuorumLease(nowMs: number): boolean {
        return this.#failure === undefined && !this.#isStopped && this.replica.hasQuorumLease(nowMs);
    }

    /** Executes pending effects now instead of in the deferred task. */
    flush(): void {
        if (this.#failure !== undefined || this.#isStopped) {
            return;
        }
        for (const effect of this.replica.takeEffects()) {
            this.#execute(effect);
        }
        this.#snapshotIfDue();
        this.#startWork();
    }

    /** Resolves when no disk operation is waiting or running. */
    async whenIdle(): Promise<void> {
        while (this.#work !== undefined || this.#snapshotWork !== undefined) {
            await Promise.all([this.#work, this.#snapshotWork]);
        }
    }

    /** Stops without waiting for peers, finishes the write in progress and closes the store. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await this.whenIdle();
        await this.#store.close();
    }

    #run(nowMs: number, event: () => void): void {
        this.#nowMs = Math.max(this.#nowMs, nowMs);
        if (this.#failure === undefined && !this.#isStopped) {
            event();
            this.#scheduleFlush();
        }
    }

    #propose(nowMs: number, event: () => Result<number, StepError>): Result<number, StepError> {
        this.#nowMs = Math.max(this.#nowMs, nowMs);
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
        if (!this.#isDeferred) {
            this.#isDeferred = true;
            this.#defer(() => {
                this.#isDeferred = false;
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
                this.#hooks.onCommit(effect.entries);
                return;
            case ReplicaEffectKind.RoleChanged:
                this.#hooks.onRoleChange(effect);
                return;
            case ReplicaEffectKind.RestoreSnapshot:
                this.#hooks.onRestoreSnapshot(effect.header, effect.bytes);
                this.#lastSnapshotIndex = effect.header.lastIndex;
                this.#jobs.push(effect);
                return;
            default:
                this.#jobs.push(effect);
        }
    }

    #startWork(): void {
        if (this.#work !== undefined || this.#jobs.length === 0) {
            return;
        }
        this.#work = this.#workOff().finally(() => {
            this.#work = undefined;
            this.#startWork();
        });
    }

    async #workOff(): Promise<void> {
        try {
            while (this.#jobs.length > 0 && this.#failure === undefined) {
                await this.#doNextJob();
                this.flush();
            }
        }
        catch (error) {
            this.#fail(error);
        }
    }

    async #doNextJob(): Promise<void> {
        const count = this.#jobs.findIndex(job => job.kind !== ReplicaEffectKind.Persist);
        const writes = this.#jobs.splice(0, count < 0 ? this.#jobs.length : count);
        if (writes.length > 0) {
            const persists = writes.filter((job): job is PersistEffect => job.kind === ReplicaEffectKind.Persist);
            await this.#store.write(persists);
            persists.forEach(persist => this.replica.persisted(persist.token, this.#nowMs));
            return;
        }
        const job = this.#jobs.shift();
        if (job?.kind === ReplicaEffectKind.RestoreSnapshot) {
            await this.#store.restoreSnapshot(job.header, job.bytes);
            this.replica.persisted(job.token, this.#nowMs);
        }
        else if (job?.kind === ReplicaEffectKind.SnapshotNeeded) {
            const snapshot = await this.#store.readSnapshot();
            if (snapshot !== undefined) {
                this.replica.snapshotLoaded(snapshot.header, snapshot.bytes, this.#nowMs);
            }
        }
    }

    /** Takes a snapshot if enough entries were committed; it is written concurrently with the log. */
    #snapshotIfDue(): void {
        const isDue = this.replica.commitIndex - this.#lastSnapshotIndex >= this.#snapshotEntries;
        if (!isDue || this.#snapshotWork !== undefined) {
            return;
        }
        const bytes = this.#hooks.takeSnapshot();
        if (bytes === undefined) {
            return;
        }
        const header = this.replica.snapshotHeader(bytes);
        this.#lastSnapshotIndex = header.lastIndex;
        this.#snapshotWork = this.#saveSnapshot(header, bytes).finally(() => {
            this.#snapshotWork = undefined;
        });
    }

    async #saveSnapshot(header: SnapshotHeader, bytes: Uint8Array): Promise<void> {
        try {
            await this.#store.saveSnapshot(header, bytes);
            this.replica.snapshotTaken(header);
        }
        catch (error) {
            this.#fail(error);
        }
    }

    #fail(error: unknown): void {
        if (this.#failure === undefined) {
            this.#failure = diskFailed("write", this.replica.identity.name, error);
            this.#jobs = [];
            this.#hooks.onFailed(this.#failure);
        }
    }
}
