import { create } from "@bufbuild/protobuf";
import type { SeededRandom } from "@waxwingspread/common";
import {
    HardStateSchema,
    MembershipSchema,
    ReplicaIdentitySchema,
    ReplicaMessageSchema,
} from "@waxwingspread/protocol";
import type { LogEntry, Membership, ReplicaIdentity, ReplicaMessage, SnapshotHeader } from "@waxwingspread/protocol";
import { DurabilityTracker } from "./durability.js";
import { ElectionBackoff } from "./election-backoff.js";
import { EntryLog } from "./entry-log.js";
import { isVoter, memberOf } from "./membership.js";
import { RoleEvent, RoleStateMachine } from "./role-machine.js";
import { TimerClock } from "./timer-clock.js";
import { DEFAULT_REPLICA_LIMITS, DEFAULT_REPLICA_TIMING, ReplicaEffectKind, ReplicaRole } from "./types.js";
import type {
    PersistedState,
    ReplicaEffect,
    ReplicaLimits,
    ReplicaOptions,
    ReplicaTiming,
    SendEffect,
} from "./types.js";

/** Body of a message between replicas. */
export type MessageBody = ReplicaMessage["body"];

/** Parts of a message that replace the defaults, which are the current term and no sender address. */
export interface MessageOverrides {
    term?: number;
    withAddress?: boolean;
}

interface IndexedMembership {
    index: number;
    membership: Membership;
}

interface PendingPersist {
    token: number;
    hardStateChanged: boolean;
    truncateFromIndex?: number;
    entries: LogEntry[];
}

interface DeferredSend {
    token: number;
    term: number;
    effect: SendEffect;
}

const EMPTY_MEMBERSHIP = create(MembershipSchema, {});

/** State shared by the parts of a replica: term, vote, log, membership, role, timers and pending effects. */
export class ReplicaCore {
    readonly identity: ReplicaIdentity;
    readonly timing: ReplicaTiming;
    readonly limits: ReplicaLimits;
    readonly log = new EntryLog();
    readonly durability: DurabilityTracker;
    readonly timers = new TimerClock();
    readonly backoff = new ElectionBackoff();
    nowMs: number;
    commitIndex = 0;
    /** Whether the disk takes no writes at present, so that neither terms, votes nor entries become durable. */
    isDiskFull = false;
    snapshotIndex = 0;
    /**
     * Time of the latest contact with a leader; votes are refused for the minimum election timeout after it.
     * Initially the start time, because contacts before a restart are not stored.
     */
    leaderContactMs: number;
    /** Time of the timer clock. */
    electionDeadlineMs = 0;

    readonly #random: SeededRandom;
    readonly #roles = new RoleStateMachine();
    readonly #addresses = new Map<string, ReplicaIdentity>();
    #memberships: IndexedMembership[] = [{ index: 0, membership: EMPTY_MEMBERSHIP }];
    #term: number;
    #votedFor: string;
    #leaderDiskId = "";
    #effects: ReplicaEffect[] = [];
    #pendingPersist: PendingPersist | undefined;
    #hardStateToken = 0;
    #deferredSends: DeferredSend[] = [];

    constructor(options: ReplicaOptions, nowMs: number) {
        this.identity = options.identity;
        this.timing = { ...DEFAULT_REPLICA_TIMING, ...options.timing };
        this.limits = { ...DEFAULT_REPLICA_LIMITS, ...options.limits };
        this.#random = options.random;
        this.#term = options.persisted.hardState.term;
        this.#votedFor = options.persisted.hardState.votedForDiskId;
        this.nowMs = nowMs;
        this.leaderContactMs = nowMs;
        this.#load(options.persisted);
        this.durability = new DurabilityTracker(this.log.lastIndex);
        this.resetElectionTimer();
    }

    get role(): ReplicaRole {
        return this.#roles.role;
    }

    get term(): number {
        return this.#term;
    }

    get votedFor(): string {
        return this.#votedFor;
    }

    get leader(): ReplicaIdentity | undefined {
        return this.#leaderDiskId === "" ? undefined : this.identityOf(this.#leaderDiskId);
    }

    get leaderDiskId(): string {
        return this.#leaderDiskId;
    }

    /** The latest membership in the log, committed or not; single-step changes take effect when appended. */
    get membership(): Membership {
        return this.#lastMembership.membership;
    }

    get membershipIndex(): number {
        return this.#lastMembership.index;
    }

    get isVoter(): boolean {
        return isVoter(this.membership, this.identity.diskId);
    }

    /** Whether votes are refused because a leader is or was recently active. */
    get isLeaderActive(): boolean {
        return this.role === ReplicaRole.Leader
            || this.nowMs - this.leaderContactMs < this.timing.minimumElectionTimeoutMs;
    }

    /** Present time of the timer clock. */
    get timerNowMs(): number {
        return this.timers.at(this.nowMs);
    }

    /** Whether the current term and vote are synced. */
    get isHardStateDurable(): boolean {
        return this.durability.isDurable(this.#hardStateToken);
    }

    membershipAt(index: number): Membership {
        return this.#memberships.findLast(item => item.index <= index)?.membership ?? EMPTY_MEMBERSHIP;
    }

    /** Stores the address of a disk id that may not be a member yet. */
    storeAddress(identity: ReplicaIdentity): void {
        this.#addresses.set(identity.diskId, identity);
    }

    identityOf(diskId: string): ReplicaIdentity {
        return memberOf(this.membership, diskId)?.identity
            ?? this.#addresses.get(diskId)
            ?? create(ReplicaIdentitySchema, { diskId });
    }

    resetElectionTimer(factor = 1): void {
        const { minimumElectionTimeoutMs, maximumElectionTimeoutMs } = this.timing;
        const spreadMs = maximumElectionTimeoutMs - minimumElectionTimeoutMs;
        const timeoutMs = minimumElectionTimeoutMs + spreadMs * this.#random.nextRatio();
        this.electionDeadlineMs = this.timerNowMs + timeoutMs * factor;
    }

    /** Handles an event of the role's state machine and emits an effect if the role changed. */
    handleRoleEvent(event: RoleEvent): void {
        const changed = this.#roles.handle(event);
        if (this.role === ReplicaRole.Leader) {
            this.#leaderDiskId = this.identity.diskId;
        }
        else if (changed) {
            this.#leaderDiskId = "";
        }
        if (changed) {
            this.#emitRoleChanged();
        }
    }

    /** Becomes a follower in `term`, which is at least the current one; an empty disk id is an unknown leader. */
    becomeFollower(term: number, leaderDiskId: string): void {
        const termChanged = term > this.#term;
        if (termChanged) {
            this.setTermAndVote(term, "");
        }
        const roleChanged = this.role !== ReplicaRole.Follower && this.#roles.handle(RoleEvent.StepDown);
        if (roleChanged) {
            this.resetElectionTimer();
        }
        const leaderChanged = this.#leaderDiskId !== leaderDiskId;
        this.#leaderDiskId = leaderDiskId;
        if (termChanged || roleChanged || leaderChanged) {
            this.#emitRoleChanged();
        }
    }

    /** Sets the term and the vote; both are written before any message that depends on them is sent. */
    setTermAndVote(term: number, votedFor: string): void {
        this.#term = term;
        this.#votedFor = votedFor;
        const pending = this.#ensurePendingPersist();
        pending.hardStateChanged = true;
        this.#hardStateToken = pending.token;
    }

    /** Appends to the log; the entry must follow the last one. */
    append(entry: LogEntry): void {
        this.log.append(entry);
        this.#ensurePendingPersist().entries.push(entry);
        if (entry.body.case === "membership") {
            this.#memberships.push({ index: entry.index, membership: entry.body.value });
        }
    }

    /** Removes the uncommitted entries from this index on, which conflict with the leader's. */
    truncateFrom(index: number): void {
        this.log.truncateFrom(index);
        this.durability.truncateFrom(index);
        this.#memberships = this.#memberships.filter(item => item.index < index);
        const pending = this.#ensurePendingPersist();
        pending.entries = pending.entries.filter(entry => entry.index < index);
        pending.truncateFromIndex = Math.min(pending.truncateFromIndex ?? index, index);
    }

    /** Raises the commit index and emits the newly committed entries. */
    commitTo(index: number): void {
        if (index <= this.commitIndex) {
            return;
        }
        const entries = this.log.slice(this.commitIndex + 1, index);
        this.commitIndex = index;
        const last = this.#effects.at(-1);
        if (last?.kind === ReplicaEffectKind.Commit) {
            last.entries = last.entries.concat(entries);
            return;
        }
        this.#effects.push({ kind: ReplicaEffectKind.Commit, entries });
    }

    /** Replaces the whole log with a snapshot. */
    installSnapshot(header: SnapshotHeader, bytes: Uint8Array): void {
        this.#emitPendingPersist();
        this.log.reset(header.lastIndex, header.lastTerm);
        this.durability.truncateFrom(1);
        this.commitIndex = header.lastIndex;
        this.snapshotIndex = header.lastIndex;
        this.#memberships = [{ index: header.lastIndex, membership: header.membership ?? EMPTY_MEMBERSHIP }];
        const token = this.durability.issue(header.lastIndex);
        this.#effects.push({ kind: ReplicaEffectKind.RestoreSnapshot, token, header, bytes });
    }

    /** Drops the log entries that the stored snapshot covers, except for the retained ones. */
    compactLog(snapshotIndex: number): void {
        this.snapshotIndex = Math.max(this.snapshotIndex, snapshotIndex);
        const { retainedEntries, retainedBytes } = this.limits;
        this.log.compact(Math.min(snapshotIndex, this.commitIndex), retainedEntries, retainedBytes);
        const current = this.#memberships.findLastIndex(item => item.index <= this.commitIndex);
        this.#memberships.splice(0, Math.max(0, current));
    }

    /** Sends a message without waiting for outstanding writes. */
    send(diskId: string, body: MessageBody, overrides: MessageOverrides = {}): void {
        this.#effects.push(this.#createSendEffect(diskId, body, overrides));
    }

    /** Sends a message once all writes so far are synced, unless the term has changed by then. */
    sendWhenDurable(diskId: string, body: MessageBody, overrides: MessageOverrides = {}): void {
        const token = this.#pendingPersist?.token ?? this.durability.lastToken;
        if (this.durability.isDurable(token)) {
            this.send(diskId, body, overrides);
            return;
        }
        this.#deferredSends.push({ token, term: this.#term, effect: this.#createSendEffect(diskId, body, overrides) });
    }

    /** Sends the deferred messages whose writes are synced and drops those of earlier terms among them. */
    sendDeferred(): void {
        const waiting: DeferredSend[] = [];
        for (const item of this.#deferredSends) {
            if (!this.durability.isDurable(item.token)) {
                waiting.push(item);
            }
            else if (item.term === this.#term) {
                this.#effects.push(item.effect);
            }
        }
        this.#deferredSends = waiting;
    }

    pushEffect(effect: ReplicaEffect): void {
        this.#effects.push(effect);
    }

    /** Returns the effects since the last call. */
    takeEffects(): ReplicaEffect[] {
        this.#emitPendingPersist();
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    get #lastMembership(): IndexedMembership {
        return this.#memberships.at(-1) ?? { index: 0, membership: EMPTY_MEMBERSHIP };
    }

    #load(persisted: PersistedState): void {
        const { snapshot, entries } = persisted;
        const first = entries[0];
        if (snapshot !== undefined) {
            this.snapshotIndex = snapshot.lastIndex;
            this.commitIndex = snapshot.lastIndex;
            this.#memberships = [{ index: snapshot.lastIndex, membership: snapshot.membership ?? EMPTY_MEMBERSHIP }];
            this.log.reset(snapshot.lastIndex, snapshot.lastTerm);
        }
        if (first !== undefined && first.index !== this.log.lastIndex + 1) {
            throw new RangeError(`first log entry ${first.index} does not follow index ${this.log.lastIndex}`);
        }
        for (const entry of entries) {
            this.log.append(entry);
            if (entry.body.case === "membership") {
                this.#memberships.push({ index: entry.index, membership: entry.body.value });
            }
        }
    }

    #emitRoleChanged(): void {
        this.#effects.push({
            kind: ReplicaEffectKind.RoleChanged,
            role: this.role,
            term: this.#term,
            leader: this.leader,
        });
    }

    #createSendEffect(diskId: string, body: MessageBody, overrides: MessageOverrides): SendEffect {
        const message = create(ReplicaMessageSchema, {
            fromDiskId: this.identity.diskId,
            toDiskId: diskId,
            term: overrides.term ?? this.#term,
            fromAddress: overrides.withAddress ? this.identity.address : "",
            body,
        });
        return { kind: ReplicaEffectKind.Send, to: this.identityOf(diskId), message };
    }

    #ensurePendingPersist(): PendingPersist {
        this.#pendingPersist ??= { token: this.durability.issue(0), hardStateChanged: false, entries: [] };
        return this.#pendingPersist;
    }

    #emitPendingPersist(): void {
        const pending = this.#pendingPersist;
        if (pending === undefined) {
            return;
        }
        this.#pendingPersist = undefined;
        this.durability.setLastIndex(pending.token, this.log.lastIndex);
        this.#effects.push({
            kind: ReplicaEffectKind.Persist,
            token: pending.token,
            hardState: pending.hardStateChanged
                ? create(HardStateSchema, { term: this.#term, votedForDiskId: this.#votedFor })
                : undefined,
            truncateFromIndex: pending.truncateFromIndex,
            entries: pending.entries,
        });
    }
}
