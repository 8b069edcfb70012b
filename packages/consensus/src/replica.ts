import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { AppendResponseSchema, ErrorCode, LogEntrySchema, SnapshotHeaderSchema } from "@waxwingspread/protocol";
import type { Membership, ReplicaIdentity, ReplicaMessage, SnapshotHeader } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { ReplicaCore } from "./core.js";
import { Election } from "./election.js";
import { Leadership } from "./leadership.js";
import { LogReceiver } from "./log-receiver.js";
import { ReplicaRole } from "./types.js";
import type { MembershipChange, ReplicaEffect, ReplicaOptions } from "./types.js";

/** Term of the initial membership's entry; elections use later terms. */
const INITIAL_TERM = 1;

/**
 * One replica of the log as a deterministic state machine without I/O. Events and the current time are passed in;
 * `takeEffects` returns the resulting effects, which must be executed in order.
 */
export class Replica {
    readonly #core: ReplicaCore;
    readonly #election: Election;
    readonly #receiver: LogReceiver;
    #leadership: Leadership | undefined;

    constructor(options: ReplicaOptions, nowMs: number) {
        this.#core = new ReplicaCore(options, nowMs);
        this.#election = new Election(this.#core, () => {
            this.#leadership = new Leadership(this.#core);
            this.#leadership.advanceCommit();
        });
        this.#receiver = new LogReceiver(this.#core);
    }

    get identity(): ReplicaIdentity {
        return this.#core.identity;
    }

    get role(): ReplicaRole {
        return this.#core.role;
    }

    get term(): number {
        return this.#core.term;
    }

    get leader(): ReplicaIdentity | undefined {
        return this.#core.leader;
    }

    get commitIndex(): number {
        return this.#core.commitIndex;
    }

    get lastIndex(): number {
        return this.#core.log.lastIndex;
    }

    /** The latest membership in the log; empty until the replica belongs to a cluster. */
    get membership(): Membership {
        return this.#core.membership;
    }

    /** Whether the log or the snapshot contains a membership. */
    get isFormed(): boolean {
        return this.#core.membership.members.length > 0;
    }

    /** Last index covered by the stored snapshot; 0 without one. */
    get snapshotIndex(): number {
        return this.#core.snapshotIndex;
    }

    /** Number of log entries in memory. */
    get logLength(): number {
        return this.#core.log.lastIndex - this.#core.log.baseIndex;
    }

    /** Returns the term of the entry at an index; undefined if the entry isn't in memory. */
    termAt(index: number): number | undefined {
        return this.#core.log.termAt(index);
    }

    /**
     * Appends the initial membership as the first log entry, which is the same on all initial replicas; the first
     * leader commits it. Does nothing on a replica that already belongs to a cluster, has log entries or replaces one with
     * an unreadable log, which belonged to a cluster.
     */
    form(membership: Membership, nowMs: number): void {
        this.#advanceClock(nowMs);
        const core = this.#core;
        if (this.isFormed || core.log.lastIndex > 0 || core.identity.replacesUnreadableLog) {
            return;
        }
        if (core.term < INITIAL_TERM) {
            core.setTermAndVote(INITIAL_TERM, "");
        }
        core.append(
            create(LogEntrySchema, { index: 1, term: INITIAL_TERM, body: { case: "membership", value: membership } }),
        );
    }

    /** Runs elections and heartbeats that are due; to be called every few milliseconds to tens of milliseconds. */
    tick(nowMs: number): void {
        this.#advanceClock(nowMs);
        if (this.#leadership === undefined) {
            this.#election.tick();
        }
        else {
            this.#leadership.tick();
        }
        this.#dropLeadershipIfLost();
    }

    /**
     * Records that the process was stalled for a while until now. Messages may wait unread, so timeouts that judge other
     * replicas don't count this time.
     */
    recordStall(durationMs: number, nowMs: number): void {
        this.#advanceClock(nowMs);
        this.#core.timers.recordStall(this.#core.nowMs, durationMs);
    }

    /** Handles a message; a message to another disk id is ignored. */
    receive(message: ReplicaMessage, nowMs: number): void {
        this.#advanceClock(nowMs);
        const core = this.#core;
        if (message.toDiskId !== core.identity.diskId || message.fromDiskId === core.identity.diskId) {
            return;
        }
        if (message.fromAddress !== "") {
            core.storeAddress({ ...core.identityOf(message.fromDiskId), address: message.fromAddress });
        }
        this.#dispatch(message);
        this.#dropLeadershipIfLost();
    }

    /**
     * Appends records to the log. Returns the index of the last one, or NOT_LEADER. They are committed when a
     * Commit effect contains them with the term in which they were proposed.
     */
    propose(records: readonly Uint8Array[], nowMs: number): Result<number, StepError> {
        this.#advanceClock(nowMs);
        const leadership = this.#leadership;
        if (leadership === undefined || leadership.isHandingOver) {
            return Err(this.#notLeader("propose"));
        }
        return Ok(leadership.propose(records));
    }

    /**
     * Starts a single-step change. Returns the index of its entry, or NOT_LEADER,
     * MEMBERSHIP_CHANGE_IN_PROGRESS, INVALID, or UNAVAILABLE for a learner that is not caught up.
     */
    changeMembership(change: MembershipChange, nowMs: number): Result<number, StepError> {
        this.#advanceClock(nowMs);
        const leadership = this.#leadership;
        if (leadership === undefined || leadership.isHandingOver) {
            return Err(this.#notLeader("change membership"));
        }
        return leadership.changeMembership(change);
    }

    /** Records that the store has synced the write with this token. */
    onPersisted(token: number, nowMs: number): void {
        this.#advanceClock(nowMs);
        if (!this.#core.durability.complete(token)) {
            return;
        }
        this.#core.sendDeferred();
        this.#receiver.onDurable();
        this.#election.onDurable();
        this.#leadership?.advanceCommit();
        this.#dropLeadershipIfLost();
    }

    /**
     * Records whether the disk refuses writes for want of room. Meanwhile this replica gives no votes, starts no elections
     * and leads only until others have taken over; what it receives becomes durable later.
     */
    setDiskFull(isDiskFull: boolean, nowMs: number): void {
        this.#advanceClock(nowMs);
        this.#core.isDiskFull = isDiskFull;
    }

    /** Returns the header of a snapshot of the state after all entries of the Commit effects so far. */
    snapshotHeader(bytes: Uint8Array): SnapshotHeader {
        const core = this.#core;
        return create(SnapshotHeaderSchema, {
            lastIndex: core.commitIndex,
            lastTerm: core.log.termAt(core.commitIndex) ?? 0,
            membership: core.membershipAt(core.commitIndex),
            sizeBytes: bytes.length,
            sha256: createHash("sha256").update(bytes).digest(),
        });
    }

    /** Records that a snapshot of this replica's state is stored; the entries that it covers may be dropped. */
    onSnapshotStored(header: SnapshotHeader): void {
        this.#core.compactLog(header.lastIndex);
    }

    /** Delivers the latest stored snapshot after a SnapshotNeeded effect. */
    onSnapshotLoaded(header: SnapshotHeader, bytes: Uint8Array, nowMs: number): void {
        this.#advanceClock(nowMs);
        this.#leadership?.onSnapshotLoaded(header, bytes);
    }

    /** Transfers the leadership before a planned shutdown; does nothing on a replica that doesn't lead. */
    handOver(nowMs: number): void {
        this.#advanceClock(nowMs);
        this.#leadership?.handOver();
    }

    /** Whether no other leader can exist at this time, so that reads of committed state are current. */
    hasQuorumLease(nowMs: number): boolean {
        this.#advanceClock(nowMs);
        return this.#leadership?.hasQuorumLease ?? false;
    }

    /**
     * Starts a check that no other replica leads, for a read that needs no record of its own. Returns the time for
     * `isLeadershipConfirmed`; Infinity on a replica that doesn't lead.
     */
    startLeadershipCheck(nowMs: number): number {
        this.#advanceClock(nowMs);
        return this.#leadership?.startCheck() ?? Infinity;
    }

    /**
     * Whether a quorum has answered this leader since the check began. No other replica had been elected by then, however
     * long this process was suspended meanwhile, so that the state after all commits of this term is current.
     */
    isLeadershipConfirmed(checkMs: number): boolean {
        return this.#leadership?.isConfirmedAfter(checkMs) ?? false;
    }

    /**
     * Returns the age in milliseconds of this leader's latest message that a member has answered, or the time since the
     * election if that is shorter, without this replica's own stalls; undefined on a replica that doesn't lead, for itself and for non-members.
     */
    sinceContactMs(diskId: string, nowMs: number): number | undefined {
        this.#advanceClock(nowMs);
        return this.#leadership?.sinceContactMs(diskId);
    }

    /** Whether this replica leads and a member has answered it in its term. */
    hasAnswered(diskId: string): boolean {
        return this.#leadership?.hasAnswered(diskId) ?? false;
    }

    /** Whether this replica leads and a member has all that was committed recently, so that a learner may be promoted. */
    isCaughtUp(diskId: string, nowMs: number): boolean {
        this.#advanceClock(nowMs);
        return this.#leadership?.isCaughtUp(diskId) ?? false;
    }

    /** Returns the effects since the last call; the writes and append messages since then are combined. */
    takeEffects(): ReplicaEffect[] {
        this.#leadership?.flush();
        return this.#core.takeEffects();
    }

    #advanceClock(nowMs: number): void {
        this.#core.nowMs = Math.max(this.#core.nowMs, nowMs);
    }

    #dropLeadershipIfLost(): void {
        if (this.#core.role !== ReplicaRole.Leader) {
            this.#leadership = undefined;
        }
    }

    #notLeader(step: string): StepError {
        const { identity, leader } = this.#core;
        const isOtherReplica = leader !== undefined && leader.diskId !== identity.diskId;
        return new StepError(ErrorCode.NOT_LEADER, step, identity.name, "this replica is not the leader", {
            leaderAddress: isOtherReplica && leader.address !== "" ? leader.address : undefined,
        });
    }

    #dispatch(message: ReplicaMessage): void {
        const core = this.#core;
        const body = message.body;
        if (body.case === "voteRequest") {
            this.#election.onVoteRequest(message, body.value);
            return;
        }
        if (message.term < core.term) {
            this.#rejectOutdatedLeader(message);
            return;
        }
        const isGrantedPreVote = body.case === "voteResponse" && body.value.preVote && body.value.granted;
        if (message.term > core.term && !isGrantedPreVote) {
            core.becomeFollower(message.term, "");
            this.#dropLeadershipIfLost();
        }
        switch (body.case) {
            case "voteResponse":
                this.#election.onVoteResponse(message, body.value);
                return;
            case "appendRequest":
                this.#receiver.onAppend(message, body.value);
                return;
            case "appendResponse":
                this.#leadership?.onAppendResponse(message.fromDiskId, body.value);
                return;
            case "snapshotChunk":
                this.#receiver.onChunk(message, body.value);
                return;
            case "snapshotResponse":
                this.#leadership?.onSnapshotResponse(message.fromDiskId, body.value);
                return;
            case "handoverRequest":
                if (message.fromDiskId === core.leaderDiskId) {
                    this.#election.takeOver();
                }
                return;
        }
    }

    /** Sends the current term to a leader of an earlier term; other messages of earlier terms are ignored. */
    #rejectOutdatedLeader(message: ReplicaMessage): void {
        if (message.body.case === "appendRequest" || message.body.case === "snapshotChunk") {
            const response = create(AppendResponseSchema, { success: false, sentAtMs: message.body.value.sentAtMs });
            this.#core.send(message.fromDiskId, { case: "appendResponse", value: response });
        }
    }
}
