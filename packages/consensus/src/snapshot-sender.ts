import { create } from "@bufbuild/protobuf";
import { SnapshotChunkSchema } from "@waxwingspread/protocol";
import type { SnapshotHeader, SnapshotResponse } from "@waxwingspread/protocol";
import type { ReplicaCore } from "./core.js";
import { PeerMode } from "./peer-progress.js";
import type { PeerProgress } from "./peer-progress.js";
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
        // Only the response to the latest chunk continues the transfer, so that duplicates don't multiply the chunks.
        if (response.lastIndex === transfer.header.lastIndex && response.sentAtMs === transfer.sentAtMs) {
            transfer.offsetBytes = response.offsetBytes;
            this.#sendChunk(peer);
        }
        return false;
    }

    /** Retransmits the current chunk if its response is overdue. */
    tick(peer: PeerProgress): void {
        const timeoutMs = this.#core.timing.heartbeatMs * RETRANSMIT_TIMEOUT_HEARTBEATS;
        if (peer.transfer !== undefined && this.#core.nowMs - peer.transfer.sentAtMs >= timeoutMs) {
            this.#sendChunk(peer);
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
        peer.transfer = { ...source, offsetBytes: 0, sentAtMs: -Infinity };
        this.#sendChunk(peer);
    }

    #sendChunk(peer: PeerProgress): void {
        const transfer = peer.transfer;
        if (transfer === undefined) {
            return;
        }
        const end = Math.min(transfer.bytes.length, transfer.offsetBytes + this.#core.limits.snapshotChunkBytes);
        transfer.sentAtMs = this.#core.nowMs;
        const chunk = create(SnapshotChunkSchema, {
            header: transfer.header,
            offsetBytes: transfer.offsetBytes,
            data: transfer.bytes.subarray(transfer.offsetBytes, end),
            last: end === transfer.bytes.length,
            sentAtMs: this.#core.nowMs,
        });
        this.#core.send(peer.diskId, { case: "snapshotChunk", value: chunk }, { withAddress: true });
    }
}
