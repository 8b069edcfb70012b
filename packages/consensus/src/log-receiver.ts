import { create } from "@bufbuild/protobuf";
import { AppendResponseSchema, SnapshotResponseSchema } from "@waxwingspread/protocol";
import type { AppendRequest, LogEntry, ReplicaMessage, SnapshotChunk, SnapshotHeader } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import type { ReplicaCore } from "./core.js";

interface IncomingSnapshot {
    header: SnapshotHeader;
    bytes: Uint8Array;
    receivedBytes: number;
}

interface PendingAcknowledgement {
    leaderDiskId: string;
    term: number;
    matchIndex: number;
    sentAtMs: number;
}

const EMPTY_BYTES = new Uint8Array();

const isSameSnapshot = (a: SnapshotHeader, b: SnapshotHeader): boolean =>
    a.lastIndex === b.lastIndex && a.sizeBytes === b.sizeBytes && Buffer.compare(a.sha256, b.sha256) === 0;

/** Receives the log and snapshots from the leader of the current term. */
export class LogReceiver {
    readonly #core: ReplicaCore;
    #incomingSnapshot: IncomingSnapshot | undefined;
    #pendingAcknowledgement: PendingAcknowledgement | undefined;

    constructor(core: ReplicaCore) {
        this.#core = core;
    }

    /** Handles an append of the current term. */
    onAppend(message: ReplicaMessage, request: AppendRequest): void {
        this.#recordLeaderContact(message);
        const core = this.#core;
        const { previousIndex, previousTerm, entries } = request;
        // Positions up to the commit index match the log of any leader of this term.
        if (previousIndex > core.commitIndex && core.log.termAt(previousIndex) !== previousTerm) {
            this.#rejectAppend(message.fromDiskId, request);
            return;
        }
        this.#appendMissing(entries);
        const matchIndex = previousIndex + entries.length;
        core.commitTo(Math.min(request.commitIndex, matchIndex));
        this.#acknowledge(message.fromDiskId, Math.max(matchIndex, core.commitIndex), request);
    }

    /** Handles a snapshot chunk of the current term. */
    onChunk(message: ReplicaMessage, chunk: SnapshotChunk): void {
        this.#recordLeaderContact(message);
        const core = this.#core;
        const header = chunk.header;
        if (header === undefined) {
            return;
        }
        if (header.lastIndex > core.commitIndex && core.log.termAt(header.lastIndex) === header.lastTerm) {
            core.commitTo(header.lastIndex);
        }
        if (header.lastIndex <= core.commitIndex) {
            this.#incomingSnapshot = undefined;
            this.#respondToChunk(message.fromDiskId, chunk, core.commitIndex, 0);
            return;
        }
        const incoming = this.#storeChunk(header, chunk);
        if (!chunk.last || incoming.receivedBytes < incoming.bytes.length) {
            this.#respondToChunk(message.fromDiskId, chunk, undefined, incoming.receivedBytes);
            return;
        }
        this.#incomingSnapshot = undefined;
        const digest = createHash("sha256").update(incoming.bytes).digest();
        if (digest.compare(header.sha256) !== 0) {
            this.#respondToChunk(message.fromDiskId, chunk, undefined, 0);
            return;
        }
        this.#pendingAcknowledgement = undefined;
        core.installSnapshot(header, incoming.bytes);
        this.#respondToChunk(message.fromDiskId, chunk, header.lastIndex, incoming.bytes.length);
    }

    /** Acknowledges the part of the pending append that has been synced since. */
    onDurable(): void {
        const pending = this.#pendingAcknowledgement;
        const core = this.#core;
        if (pending === undefined || !core.isHardStateDurable) {
            return;
        }
        if (pending.term !== core.term) {
            this.#pendingAcknowledgement = undefined;
            return;
        }
        const durableIndex = core.durability.durableIndex;
        if (durableIndex >= pending.matchIndex) {
            this.#pendingAcknowledgement = undefined;
        }
        this.#sendAcknowledgement(pending.leaderDiskId, Math.min(pending.matchIndex, durableIndex), pending.sentAtMs);
    }

    #recordLeaderContact(message: ReplicaMessage): void {
        const core = this.#core;
        core.becomeFollower(message.term, message.fromDiskId);
        core.leaderContactMs = core.nowMs;
        core.backoff.recordLeader(message.term, core.nowMs);
        core.resetElectionTimer(core.backoff.timeoutFactor);
    }

    #rejectAppend(leaderDiskId: string, request: AppendRequest): void {
        const core = this.#core;
        const response = create(AppendResponseSchema, {
            success: false,
            matchIndex: this.#findConflictHint(request.previousIndex),
            sentAtMs: request.sentAtMs,
        });
        core.send(leaderDiskId, { case: "appendResponse", value: response });
    }

    /**
     * Returns the index after which the leader should continue: the end of the log, or the last entry before the
     * conflicting term.
     */
    #findConflictHint(previousIndex: number): number {
        const { log, commitIndex } = this.#core;
        const conflictingTerm = log.termAt(previousIndex);
        if (conflictingTerm === undefined) {
            return Math.min(log.lastIndex, previousIndex - 1);
        }
        let index = previousIndex - 1;
        while (index > commitIndex && log.termAt(index) === conflictingTerm) {
            index -= 1;
        }
        return index;
    }

    #appendMissing(entries: readonly LogEntry[]): void {
        const core = this.#core;
        for (const entry of entries) {
            if (entry.index <= core.commitIndex) {
                continue;
            }
            const term = core.log.termAt(entry.index);
            if (term === entry.term) {
                continue;
            }
            if (term !== undefined) {
                core.truncateFrom(entry.index);
            }
            core.append(entry);
        }
    }

    #acknowledge(leaderDiskId: string, matchIndex: number, request: AppendRequest): void {
        const core = this.#core;
        const durableIndex = core.durability.durableIndex;
        if (matchIndex > durableIndex || !core.isHardStateDurable) {
            const previous = this.#pendingAcknowledgement;
            const isSameTerm = previous?.term === core.term;
            this.#pendingAcknowledgement = {
                leaderDiskId,
                term: core.term,
                matchIndex: isSameTerm ? Math.max(previous.matchIndex, matchIndex) : matchIndex,
                sentAtMs: isSameTerm ? Math.max(previous.sentAtMs, request.sentAtMs) : request.sentAtMs,
            };
        }
        // A heartbeat is answered at once, so that a slow disk does not look like a lost connection.
        if (core.isHardStateDurable && (request.entries.length === 0 || matchIndex <= durableIndex)) {
            this.#sendAcknowledgement(leaderDiskId, Math.min(matchIndex, durableIndex), request.sentAtMs);
        }
    }

    #sendAcknowledgement(leaderDiskId: string, matchIndex: number, sentAtMs: number): void {
        const response = create(AppendResponseSchema, { success: true, matchIndex, sentAtMs });
        this.#core.send(leaderDiskId, { case: "appendResponse", value: response });
    }

    #storeChunk(header: SnapshotHeader, chunk: SnapshotChunk): IncomingSnapshot {
        if (this.#incomingSnapshot === undefined || !isSameSnapshot(this.#incomingSnapshot.header, header)) {
            this.#incomingSnapshot = { header, bytes: new Uint8Array(header.sizeBytes), receivedBytes: 0 };
        }
        const incoming = this.#incomingSnapshot;
        const data = chunk.data ?? EMPTY_BYTES;
        if (chunk.offsetBytes === incoming.receivedBytes && chunk.offsetBytes + data.length <= header.sizeBytes) {
            incoming.bytes.set(data, chunk.offsetBytes);
            incoming.receivedBytes += data.length;
        }
        return incoming;
    }

    /** Responds to a chunk; reports a snapshot as installed only once it is synced. */
    #respondToChunk(
        leaderDiskId: string,
        chunk: SnapshotChunk,
        installedIndex: number | undefined,
        offsetBytes: number,
    ): void {
        const response = create(SnapshotResponseSchema, {
            lastIndex: installedIndex ?? chunk.header?.lastIndex ?? 0,
            offsetBytes,
            installed: installedIndex !== undefined,
            sentAtMs: chunk.sentAtMs,
        });
        if (installedIndex === undefined) {
            this.#core.send(leaderDiskId, { case: "snapshotResponse", value: response });
            return;
        }
        this.#core.sendWhenDurable(leaderDiskId, { case: "snapshotResponse", value: response });
    }
}
