import type { SnapshotHeader } from "@waxwingspread/protocol";

/** How a leader sends the log to a peer. */
export enum PeerMode {
    /** One message at a time until the last matching position is known. */
    Probe = "probe",
    /** Pipelined, up to the limits on entries and bytes in flight. */
    Replicate = "replicate",
    /** Sends a snapshot, because the log no longer contains the entries that the peer needs. */
    Snapshot = "snapshot",
}

/** State of a snapshot transfer to a peer. */
export interface SnapshotTransfer {
    header: SnapshotHeader;
    bytes: Uint8Array;
    /** Bytes that the peer has received. */
    receivedBytes: number;
    /** Bytes that have been sent; the peer discards chunks after one that was lost. */
    sentBytes: number;
    /** Time at which the latest chunk was sent. */
    lastSentAtMs: number;
    /** Time since which the peer has received nothing new, or since the latest retransmission. */
    progressAtMs: number;
    /** Responses to chunks that were sent before this time don't show that the peer has lost what it had received. */
    confirmedSentAtMs: number;
}

interface InFlightBatch {
    lastIndex: number;
    entries: number;
    bytes: number;
}

/** A leader's replication state for one peer. */
export class PeerProgress {
    mode = PeerMode.Probe;
    matchIndex = 0;
    nextIndex: number;
    /** Send time of the latest message that the peer has answered. */
    contactMs = -Infinity;
    /** Send time of the latest probe; refusals of messages sent earlier are outdated. */
    probeSentAtMs = -Infinity;
    isProbeOutstanding = false;
    /** Undefined while the leader is still reading the snapshot. */
    transfer: SnapshotTransfer | undefined;
    readonly #inFlight: InFlightBatch[] = [];
    #inFlightEntries = 0;
    #inFlightBytes = 0;

    constructor(readonly diskId: string, nextIndex: number) {
        this.nextIndex = nextIndex;
    }

    get inFlightEntries(): number {
        return this.#inFlightEntries;
    }

    get inFlightBytes(): number {
        return this.#inFlightBytes;
    }

    recordContact(sentAtMs: number): void {
        this.contactMs = Math.max(this.contactMs, sentAtMs);
    }

    recordSent(lastIndex: number, entries: number, bytes: number): void {
        this.nextIndex = lastIndex + 1;
        this.#inFlight.push({ lastIndex, entries, bytes });
        this.#inFlightEntries += entries;
        this.#inFlightBytes += bytes;
    }

    /** Raises the match index and removes acknowledged batches from those in flight; returns whether it rose. */
    advanceMatch(matchIndex: number): boolean {
        if (matchIndex <= this.matchIndex) {
            return false;
        }
        this.matchIndex = matchIndex;
        this.nextIndex = Math.max(this.nextIndex, matchIndex + 1);
        let head = this.#inFlight[0];
        while (head !== undefined && head.lastIndex <= matchIndex) {
            this.#inFlightEntries -= head.entries;
            this.#inFlightBytes -= head.bytes;
            this.#inFlight.shift();
            head = this.#inFlight[0];
        }
        return true;
    }

    /** Returns to probing, from the given index, and clears the batches in flight. */
    probeFrom(nextIndex: number): void {
        this.mode = PeerMode.Probe;
        this.nextIndex = Math.max(this.matchIndex + 1, nextIndex);
        this.isProbeOutstanding = false;
        this.transfer = undefined;
        this.#inFlight.length = 0;
        this.#inFlightEntries = 0;
        this.#inFlightBytes = 0;
    }
}
