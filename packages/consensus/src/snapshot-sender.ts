import { create } from "@bufbuild/protobuf";
import { SnapshotChunkSchema } from "@waxwingspread/protocol";
import type { SnapshotHeader, SnapshotResponse } from "@waxwingspread/protocol";
import type { ReplicaCore } from "./core.js";
import { PeerMode } from "./peer-progress.js";
import type { PeerProgress, SnapshotTransfer } from "./peer-progress.js";
import { ReplicaEffectKind } from "./types.js";

const RETRANSMIT_TIMEOUT_HEARTBEATS = 3;

interface SnapshotSource {
    header: SnapshotHeader;
    bytes: Uint8Array;
}

/** Sends snapshots to peers; the bytes stay in memory only while a transfer needs them. */
export class SnapshotSender {
    readonly #core: ReplicaCore;
    #source: SnapshotSource | undefined;
    #isRequested = false;

    constructor(core: ReplicaCore) {
        this.#core = core;
    }

    /** Begins a transfer; the first chunk follows once the snapshot is loaded. */
    start(peer: PeerProgress): void {
        peer.mode = PeerMode.Snapshot;
        peer.transfer = undefined;
        const source = this.#source;
        if (source !== undefined && source.header.lastIndex >= this.#core.log.baseIndex) {
            this.#begin(peer, source);
            return;
        }
        this.#request();
    }

    /** Starts the transfers that wait for the requested snapshot. */
    onSnapshotLoaded(header: SnapshotHeader, bytes: Uint8Array, peers: Iterable<PeerProgress>): void {
        this.#isRequested = false;
        this.#source = { header, bytes };
        for (const peer of peers) {
            if (peer.mode === PeerMode.Snapshot && peer.transfer === undefined) {
                this.#begin(peer, this.#source);
            }
        }
    }

    /** Handles a peer's response; returns whether the peer has installed the snapshot. */
    onResponse(peer: PeerProgress, response: SnapshotResponse): boolean {
        const transfer = peer.transfer;
        if (peer.mode !== PeerMode.Snapshot || transfer === undefined) {
            return false;
        }
        if (response.installed && response.lastIndex >= transfer.header.lastIndex) {
            return true;
        }
        if (response.lastIndex === transfer.header.lastIndex) {
            this.#onReceived(peer, transfer, response);
        }
        return false;
    }

    /** Retransmits what the peer has not received if it has made no progress for a while. */
    tick(peer: PeerProgress): void {
        const { transfer } = peer;
        const timeoutMs = this.#core.timing.heartbeatMs * RETRANSMIT_TIMEOUT_HEARTBEATS;
        if (transfer !== undefined && this.#core.nowMs - transfer.progressAtMs >= timeoutMs) {
            this.#sendFrom(peer, transfer, transfer.receivedBytes);
        }
    }

    /** Releases the snapshot's bytes if no peer needs them any more. */
    releaseUnless(isNeeded: boolean): void {
        if (!isNeeded) {
            this.#source = undefined;
        }
    }

    #request(): void {
        if (!this.#isRequested) {
            this.#isRequested = true;
            this.#core.pushEffect({ kind: ReplicaEffectKind.SnapshotNeeded });
        }
    }

    #begin(peer: PeerProgress, source: SnapshotSource): void {
        const progress = { receivedBytes: 0, sentBytes: 0, progressAtMs: this.#core.nowMs };
        peer.transfer = { ...source, ...progress, lastSentAtMs: -Infinity, confirmedSentAtMs: -Infinity };
        this.#sendFrom(peer, peer.transfer, 0);
    }

    #onReceived(peer: PeerProgress, transfer: SnapshotTransfer, { offsetBytes, sentAtMs }: SnapshotResponse): void {
        if (offsetBytes > transfer.receivedBytes) {
            transfer.receivedBytes = offsetBytes;
            transfer.sentBytes = Math.max(transfer.sentBytes, offsetBytes);
            transfer.progressAtMs = this.#core.nowMs;
            transfer.confirmedSentAtMs = Math.max(transfer.confirmedSentAtMs, sentAtMs);
            this.#sendChunks(peer, transfer);
        }
        else if (offsetBytes < transfer.receivedBytes && sentAtMs >= transfer.confirmedSentAtMs) {
            // The peer has restarted, or what it received was damaged.
            this.#sendFrom(peer, transfer, offsetBytes);
        }
    }

    /** Sends the rest of the snapshot again from an offset, at least one chunk so that the peer responds. */
    #sendFrom(peer: PeerProgress, transfer: SnapshotTransfer, offsetBytes: number): void {
        transfer.receivedBytes = offsetBytes;
        transfer.sentBytes = offsetBytes;
        transfer.progressAtMs = this.#core.nowMs;
        transfer.confirmedSentAtMs = transfer.lastSentAtMs;
        this.#sendNextChunk(peer, transfer);
        this.#sendChunks(peer, transfer);
    }

    /** Sends chunks ahead of the peer's responses, up to the limit of bytes in flight. */
    #sendChunks(peer: PeerProgress, transfer: SnapshotTransfer): void {
        const { bytes, receivedBytes } = transfer;
        const limit = Math.min(bytes.length, receivedBytes + this.#core.limits.inFlightBytes);
        while (transfer.sentBytes < limit) {
            this.#sendNextChunk(peer, transfer);
        }
    }

    #sendNextChunk(peer: PeerProgress, transfer: SnapshotTransfer): void {
        const start = transfer.sentBytes;
        const end = Math.min(transfer.bytes.length, start + this.#core.limits.snapshotChunkBytes);
        const chunk = create(SnapshotChunkSchema, {
            header: transfer.header,
            offsetBytes: start,
            data: transfer.bytes.subarray(start, end),
            last: end === transfer.bytes.length,
            sentAtMs: this.#core.nowMs,
        });
        transfer.sentBytes = end;
        transfer.lastSentAtMs = this.#core.nowMs;
        this.#core.send(peer.diskId, { case: "snapshotChunk", value: chunk }, { withAddress: true });
    }
}
