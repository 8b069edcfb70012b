import type { SnapshotHeader } from "@waxwingspread/protocol";

/** How a leader sends the log to a peer. */
export enum PeerMode {
    /** One message at a time until the common position is known. */
    Probe = "probe",
    /** Pipelined. */
    Replicate = "replicate",
    /** The log no longer contains what the peer needs. */
    Snapshot = "snapshot",
}

/** State of a snapshot transfer to a peer. */
export interface SnapshotTransfer {
    header: SnapshotHeader;
    bytes: Uint8Array;
    offsetBytes: number;
    sentAtMs: number;
}

interface InFlightBatch {
    lastIndex: number;
    entries: number;
    bytes: number;
}

/** What a leader knows about one peer. */
export class PeerProgress {
    mode = PeerMode.Probe;
    matchIndex = 0;
    nextIndex: number;
    /** Send time of the latest message that the peer has answered. */
    contactMs = -Infinity;
    /** Send time of the latest probe; earlier refusals are outdated. */
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

    noteContact(sentAtMs: number): void {
        this.contactMs = Math.max(this.contactMs, sentAtMs);
    }

    noteSent(lastIndex: number, entries: number, bytes: number): void {
        this.nextIndex = lastIndex + 1;
        this.#inFlight.push({ lastIndex, entries, bytes });
        this.#inFlightEntries += entries;
        this.#inFlightBytes += bytes;
    }

    /** Raises the match index; returns whether it rose. */
    noteMatch(matchIndex: number): boolean {
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

    /** Goes back to one message at a time from the given index. */
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
