import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { AppendRequestSchema, ErrorCode, HandoverRequestSchema, LogEntrySchema } from "@waxwingspread/protocol";
import type { AppendResponse, LogEntry, Membership, SnapshotHeader, SnapshotResponse } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { ReplicaCore } from "./core.js";
import { applyMembershipChange, isVoter, majorityValue, votersOf } from "./membership.js";
import { PeerMode, PeerProgress } from "./peer-progress.js";
import { SnapshotSender } from "./snapshot-sender.js";
import { MembershipChangeKind } from "./types.js";
import type { MembershipChange } from "./types.js";

/** Quorum lease as a fraction of the minimum election timeout; allows for clock rates that differ by up to 1%. */
const LEASE_RATIO = 0.98;
/** Time limit of a handover as a multiple of the minimum election timeout. */
const HANDOVER_TIMEOUT_FACTOR = 2;
/** Time in which the target of a handover must answer a message, as a multiple of the minimum election timeout. */
const HANDOVER_ANSWER_FACTOR = 0.5;
/** Time in which a majority must store what this replica's full disk refuses, as a multiple of the minimum election timeout. */
const FULL_DISK_TIMEOUT_FACTOR = 2;
const PROMOTION_STEP = "promote a learner";

/** The leader's disk has become full. */
interface FullDisk {
    /** Last index of the log at that time; a voter that has stored it takes writes. */
    lastIndex: number;
    /** Time at which the leader steps down if no majority of other voters takes writes. */
    deadlineMs: number;
}

/** A leader's state during one term: replication, commits, membership changes and the handover. */
export class Leadership {
    readonly #core: ReplicaCore;
    readonly #peers = new Map<string, PeerProgress>();
    readonly #snapshots: SnapshotSender;
    readonly #electedAtMs: number;
    /** Index of the first entry of this term. */
    readonly #firstIndexOfTerm: number;
    #nextHeartbeatMs: number;
    /** Start of the latest leadership check for which no heartbeat has been sent yet. */
    #unsentCheckMs: number | undefined;
    /** The commit index at the last heartbeat; a learner that has reached it counts as caught up. */
    #recentCommitIndex = Infinity;
    #fullDisk: FullDisk | undefined;
    #handoverDeadlineMs: number | undefined;
    #handoverTarget: string | undefined;
    #handoverTargetAtMs = -Infinity;

    constructor(core: ReplicaCore) {
        this.#core = core;
        this.#snapshots = new SnapshotSender(core);
        this.#electedAtMs = core.nowMs;
        this.#nextHeartbeatMs = core.nowMs + core.timing.heartbeatMs;
        this.#firstIndexOfTerm = core.log.lastIndex + 1;
        this.#updatePeers();
        this.#append({ case: "noOperation", value: true });
    }

    /** Whether leadership is being transferred; no proposals are accepted then. */
    get isHandingOver(): boolean {
        return this.#handoverDeadlineMs !== undefined;
    }

    /** Whether a quorum has answered recently enough that no other leader can exist. */
    get hasQuorumLease(): boolean {
        const contactMs = this.#quorumContactMs(-Infinity);
        const leaseMs = this.#core.timing.minimumElectionTimeoutMs * LEASE_RATIO;
        return !this.isHandingOver
            && this.#core.commitIndex >= this.#firstIndexOfTerm
            && this.#core.nowMs - contactMs < leaseMs;
    }

    /** Starts a check of the leadership and returns its time; the next tick sends a heartbeat for it. */
    startCheck(): number {
        this.#unsentCheckMs = this.#core.nowMs;
        return this.#core.nowMs;
    }

    /** Whether a quorum has answered a message that was sent after this time. */
    isConfirmedAfter(timeMs: number): boolean {
        return this.#quorumContactMs(-Infinity) > timeMs;
    }

    /**
     * Returns the age in milliseconds of the latest message that a member has answered, counted from when it was sent,
     * or the time since the election if that is shorter, without the time for which this replica's process was stalled;
     * undefined for this replica and for non-members.
     */
    sinceContactMs(diskId: string): number | undefined {
        const peer = this.#peers.get(diskId);
        return peer === undefined ? undefined : this.#timerMsSince(Math.max(peer.contactMs, this.#electedAtMs));
    }

    /** Whether a member has answered this leader. */
    hasAnswered(diskId: string): boolean {
        const contactMs = this.#peers.get(diskId)?.contactMs ?? -Infinity;
        return contactMs > -Infinity;
    }

    /** Whether a member answers and has all entries that were committed at the last heartbeat. */
    isCaughtUp(diskId: string): boolean {
        const peer = this.#peers.get(diskId);
        return this.#isReachable(peer) && peer.matchIndex >= this.#recentCommitIndex;
    }

    propose(records: readonly Uint8Array[]): number {
        for (const record of records) {
            this.#append({ case: "data", value: record });
        }
        return this.#core.log.lastIndex;
    }

    changeMembership(change: MembershipChange): Result<number, StepError> {
        const core = this.#core;
        if (core.commitIndex < this.#firstIndexOfTerm || core.membershipIndex > core.commitIndex) {
            return Err(
                new StepError(
                    ErrorCode.MEMBERSHIP_CHANGE_IN_PROGRESS,
                    "change membership",
                    core.identity.name,
                    "the previous membership or the leader's first entry is not committed yet",
                    { retryAfterMs: core.timing.heartbeatMs },
                ),
            );
        }
        return applyMembershipChange(core.membership, change)
            .andThen(membership => this.#checkCaughtUp(change, membership))
            .map(membership => {
                this.#append({ case: "membership", value: membership });
                this.#updatePeers();
                return core.log.lastIndex;
            });
    }

    /** Starts to transfer the leadership to the voter with the highest match index, if there is another voter. */
    handOver(): void {
        if (this.isHandingOver) {
            return;
        }
        this.#selectHandoverTarget();
        if (this.#handoverTarget !== undefined) {
            const timing = this.#core.timing;
            this.#handoverDeadlineMs = this.#core.nowMs + timing.minimumElectionTimeoutMs * HANDOVER_TIMEOUT_FACTOR;
        }
    }

    tick(): void {
        const core = this.#core;
        core.backoff.recordLeader(core.term, core.nowMs);
        this.#checkDisk();
        const sinceQuorumContactMs = this.#timerMsSince(this.#quorumContactMs(this.#electedAtMs));
        if (
            sinceQuorumContactMs >= core.timing.minimumElectionTimeoutMs * core.backoff.timeoutFactor
            || core.nowMs >= (this.#handoverDeadlineMs ?? Infinity)
            || (!this.isHandingOver && core.nowMs >= (this.#fullDisk?.deadlineMs ?? Infinity))
        ) {
            core.becomeFollower(core.term, "");
            return;
        }
        if (this.isHandingOver && this.#isHandoverTargetSilent()) {
            this.#selectHandoverTarget(this.#handoverTarget);
        }
        if (core.nowMs >= this.#nextHeartbeatMs || core.nowMs > (this.#unsentCheckMs ?? Infinity)) {
            this.#unsentCheckMs = undefined;
            this.#nextHeartbeatMs = core.nowMs + core.timing.heartbeatMs;
            this.#sendHeartbeats();
        }
    }

    onAppendResponse(diskId: string, response: AppendResponse): void {
        const peer = this.#peers.get(diskId);
        if (peer === undefined) {
            return;
        }
        peer.recordContact(response.sentAtMs);
        if (!response.success) {
            this.#onRefused(peer, response);
            return;
        }
        const hasMatchAdvanced = peer.advanceMatch(Math.min(response.matchIndex, this.#core.log.lastIndex));
        if (peer.mode === PeerMode.Probe) {
            peer.mode = PeerMode.Replicate;
            peer.isProbeOutstanding = false;
        }
        else if (peer.mode === PeerMode.Snapshot && this.#core.log.termAt(peer.matchIndex) !== undefined) {
            this.#endTransfer(peer, peer.matchIndex);
        }
        if (hasMatchAdvanced) {
            this.#onMatchAdvanced(peer);
        }
    }

    onSnapshotResponse(diskId: string, response: SnapshotResponse): void {
        const peer = this.#peers.get(diskId);
        if (peer === undefined) {
            return;
        }
        peer.recordContact(response.sentAtMs);
        if (this.#snapshots.onResponse(peer, response)) {
            this.#endTransfer(peer, response.lastIndex);
            this.#onMatchAdvanced(peer);
        }
    }

    onSnapshotLoaded(header: SnapshotHeader, bytes: Uint8Array): void {
        this.#snapshots.onSnapshotLoaded(header, bytes, this.#peers.values());
        this.#releaseSnapshot();
    }

    /** Commits the entries that a quorum has synced; those of earlier terms only together with one of this term. */
    advanceCommit(): void {
        const core = this.#core;
        const matches = votersOf(core.membership).map(voter =>
            voter.diskId === core.identity.diskId
                ? core.durability.durableIndex
                : this.#peers.get(voter.diskId)?.matchIndex ?? 0
        );
        const index = majorityValue(matches) ?? 0;
        if (index <= core.commitIndex || index < this.#firstIndexOfTerm) {
            return;
        }
        core.commitTo(index);
        if (core.membershipIndex <= core.commitIndex && !core.isVoter) {
            this.#sendHeartbeats();
            core.becomeFollower(core.term, "");
        }
    }

    /** Sends as many entries as the limits allow; called once for all proposals since the last call. */
    flush(): void {
        for (const peer of this.#peers.values()) {
            this.#replicate(peer);
        }
    }

    #append(body: LogEntry["body"]): void {
        const core = this.#core;
        core.append(create(LogEntrySchema, { index: core.log.lastIndex + 1, term: core.term, body }));
    }

    #checkCaughtUp(change: MembershipChange, membership: Membership): Result<Membership, StepError> {
        if (change.kind !== MembershipChangeKind.Promote || this.isCaughtUp(change.diskId)) {
            return Ok(membership);
        }
        const peer = this.#peers.get(change.diskId);
        const message = `the learner has ${peer?.matchIndex ?? 0} of ${this.#core.commitIndex} entries`
            + (this.#isReachable(peer) ? "" : " and does not answer");
        return Err(
            new StepError(ErrorCode.UNAVAILABLE, PROMOTION_STEP, change.diskId, message, {
                retryAfterMs: this.#core.timing.heartbeatMs,
            }),
        );
    }

    #isReachable(peer: PeerProgress | undefined): peer is PeerProgress {
        return peer !== undefined
            && this.#core.nowMs - peer.contactMs < this.#core.timing.minimumElectionTimeoutMs;
    }

    #updatePeers(): void {
        const members = this.#core.membership.members.map(member => member.identity?.diskId ?? "");
        const peerDiskIds = new Set(members.filter(diskId => diskId !== this.#core.identity.diskId));
        for (const diskId of this.#peers.keys()) {
            if (!peerDiskIds.has(diskId)) {
                this.#peers.delete(diskId);
            }
        }
        for (const diskId of peerDiskIds) {
            if (!this.#peers.has(diskId)) {
                this.#peers.set(diskId, new PeerProgress(diskId, this.#core.log.lastIndex + 1));
            }
        }
        this.#releaseSnapshot();
    }

    #onRefused(peer: PeerProgress, response: AppendResponse): void {
        const isOutdated = peer.mode === PeerMode.Snapshot
            || (peer.mode === PeerMode.Probe && response.sentAtMs < peer.probeSentAtMs);
        if (!isOutdated) {
            peer.probeFrom(Math.min(response.matchIndex + 1, peer.nextIndex));
        }
    }

    #onMatchAdvanced(peer: PeerProgress): void {
        this.advanceCommit();
        if (peer.diskId === this.#handoverTarget) {
            this.#requestHandover(peer);
        }
        this.#checkDisk();
    }

    #endTransfer(peer: PeerProgress, matchIndex: number): void {
        peer.advanceMatch(matchIndex);
        peer.probeFrom(peer.matchIndex + 1);
        this.#releaseSnapshot();
    }

    #releaseSnapshot(): void {
        const isNeeded = [...this.#peers.values()].some(peer => peer.mode === PeerMode.Snapshot);
        this.#snapshots.releaseUnless(isNeeded);
    }

    /** Hands over from a full disk as soon as other voters that take writes can elect one of themselves. */
    #checkDisk(): void {
        const core = this.#core;
        if (!core.isDiskFull) {
            this.#fullDisk = undefined;
            return;
        }
        this.#fullDisk ??= {
            lastIndex: core.log.lastIndex,
            deadlineMs: core.nowMs + core.timing.minimumElectionTimeoutMs * FULL_DISK_TIMEOUT_FACTOR,
        };
        const voters = votersOf(core.membership);
        const { lastIndex } = this.#fullDisk;
        const stored = voters.filter(({ diskId }) => (this.#peers.get(diskId)?.matchIndex ?? 0) >= lastIndex);
        if (stored.length > voters.length / 2) {
            this.handOver();
        }
    }

    /** Requests the handover to the voter with the highest match index other than the excluded one. */
    #selectHandoverTarget(excludedDiskId?: string): void {
        const [target] = [...this.#peers.values()]
            .filter(({ diskId }) => diskId !== excludedDiskId && isVoter(this.#core.membership, diskId))
            .sort((a, b) => b.matchIndex - a.matchIndex || b.contactMs - a.contactMs);
        if (target !== undefined) {
            this.#handoverTarget = target.diskId;
            this.#handoverTargetAtMs = this.#core.nowMs;
            this.#requestHandover(target);
        }
    }

    /** Whether the target of the handover has answered no message that was sent since it was selected. */
    #isHandoverTargetSilent(): boolean {
        const { nowMs, timing } = this.#core;
        const contactMs = this.#peers.get(this.#handoverTarget ?? "")?.contactMs ?? -Infinity;
        return contactMs < this.#handoverTargetAtMs
            && nowMs - this.#handoverTargetAtMs >= timing.minimumElectionTimeoutMs * HANDOVER_ANSWER_FACTOR;
    }

    #requestHandover(target: PeerProgress): void {
        if (target.matchIndex === this.#core.log.lastIndex) {
            const body = create(HandoverRequestSchema, {});
            this.#core.send(target.diskId, { case: "handoverRequest", value: body });
        }
    }

    /** Returns the time of the timer clock since a real time. */
    #timerMsSince(realMs: number): number {
        return this.#core.timerNowMs - this.#core.timers.at(realMs);
    }

    #quorumContactMs(floorMs: number): number {
        const core = this.#core;
        const contacts = votersOf(core.membership).map(voter =>
            voter.diskId === core.identity.diskId
                ? core.nowMs
                : Math.max(floorMs, this.#peers.get(voter.diskId)?.contactMs ?? -Infinity)
        );
        return majorityValue(contacts) ?? -Infinity;
    }

    #sendHeartbeats(): void {
        this.#recentCommitIndex = this.#core.commitIndex;
        for (const peer of this.#peers.values()) {
            if (peer.mode === PeerMode.Snapshot) {
                // Position 0 always matches, so this is only a heartbeat.
                this.#sendAppend(peer, 0, 0, []);
                this.#snapshots.tick(peer);
                continue;
            }
            const previousTerm = this.#core.log.termAt(peer.nextIndex - 1);
            if (previousTerm === undefined) {
                this.#snapshots.start(peer);
                continue;
            }
            this.#sendAppend(peer, peer.nextIndex - 1, previousTerm, []);
            if (peer.diskId === this.#handoverTarget) {
                this.#requestHandover(peer);
            }
        }
    }

    #replicate(peer: PeerProgress): void {
        const { log, limits } = this.#core;
        while (peer.mode !== PeerMode.Snapshot && peer.nextIndex <= log.lastIndex) {
            const previousTerm = log.termAt(peer.nextIndex - 1);
            if (previousTerm === undefined) {
                this.#snapshots.start(peer);
                return;
            }
            const isWindowFull = peer.mode === PeerMode.Probe
                ? peer.isProbeOutstanding
                : peer.inFlightEntries >= limits.inFlightEntries || peer.inFlightBytes >= limits.inFlightBytes;
            if (isWindowFull) {
                return;
            }
            const previousIndex = peer.nextIndex - 1;
            const { entries, bytes } = log.batch(peer.nextIndex, limits.batchEntries, limits.batchBytes);
            this.#sendAppend(peer, previousIndex, previousTerm, entries);
            peer.recordSent(previousIndex + entries.length, entries.length, bytes);
            if (peer.mode === PeerMode.Probe) {
                peer.isProbeOutstanding = true;
                peer.probeSentAtMs = this.#core.nowMs;
            }
        }
    }

    #sendAppend(peer: PeerProgress, previousIndex: number, previousTerm: number, entries: LogEntry[]): void {
        const core = this.#core;
        const request = create(AppendRequestSchema, {
            previousIndex,
            previousTerm,
            entries,
            commitIndex: core.commitIndex,
            sentAtMs: core.nowMs,
        });
        // A peer without the current membership may not know this replica's address.
        const withAddress = peer.matchIndex < core.membershipIndex;
        core.send(peer.diskId, { case: "appendRequest", value: request }, { withAddress });
    }
}
