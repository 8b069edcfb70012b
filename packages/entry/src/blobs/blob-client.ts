import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { BlobReferenceSchema, ErrorCode, GetBlobRequestSchema, PutBlobRequestSchema } from "@waxwingspread/protocol";
import type { BlobReference, GetBlobResponse, PutBlobRequest, PutBlobResponse } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { LeaderClient } from "../calls/leader-client.js";
import type { CallDone, PendingCalls } from "../calls/pending-calls.js";
import { EntryMetric } from "../effects.js";
import type { EntryTiming } from "../settings.js";
import { matchesReference, sha256Of } from "./blob-cache.js";
import type { BlobCache } from "./blob-cache.js";

interface PendingWrite {
    reference: BlobReference;
    request: PutBlobRequest;
    /** Confirmations still needed for a majority. */
    missing: number;
    deadlineMs: number;
    finished: boolean;
    expiry: Timer | undefined;
    done: CallDone<BlobReference>;
}

interface PendingRead {
    reference: BlobReference;
    deadlineMs: number;
    /** Addresses of the replicas not yet asked in this round. */
    remaining: string[];
    /** True while every replica asked in this round has replied that it doesn't have the blob. */
    allLackIt: boolean;
    done: CallDone<Uint8Array>;
}

interface Timer {
    atMs: number;
    run: (nowMs: number) => void;
}

/** Writes blobs to a majority of the control replicas and reads them from any replica. */
export class BlobClient {
    readonly #timers = new Set<Timer>();
    #nextReadOffset = 0;

    constructor(
        readonly calls: PendingCalls,
        readonly leader: LeaderClient,
        readonly cache: BlobCache,
        readonly timing: EntryTiming,
        /** Blobs up to this size are kept inline in their references; larger ones are written to the replicas. */
        readonly inlineLimitBytes: number,
    ) {}

    /** Calls `done` with the reference once a majority of the control replicas has synced the bytes to disk. */
    put(bytes: Uint8Array, deadlineMs: number, done: CallDone<BlobReference>, nowMs: number): void {
        const reference = create(BlobReferenceSchema, { sha256: sha256Of(bytes), sizeBytes: bytes.length });
        if (bytes.length > 0 && bytes.length <= this.inlineLimitBytes) {
            done(Ok({ ...reference, inline: bytes }), nowMs);
            return;
        }
        this.cache.add(reference, bytes);
        const addresses = this.leader.addresses;
        const write: PendingWrite = {
            reference,
            request: create(PutBlobRequestSchema, { reference, data: bytes }),
            missing: Math.floor(addresses.length / 2) + 1,
            deadlineMs,
            finished: false,
            expiry: undefined,
            done,
        };
        for (const address of addresses) {
            this.#sendWrite(write, address, nowMs);
        }
        write.expiry = this.#scheduleAt(deadlineMs, atMs => {
            const message = "a majority of the blob stores did not confirm in time";
            this.#finishWrite(write, Err(new StepError(ErrorCode.UNAVAILABLE, "put-blob", "control", message)), atMs);
        });
    }

    /** Calls `done` with the verified bytes, or with UNKNOWN_REQUEST when every replica replies that it lacks them. */
    get(reference: BlobReference, deadlineMs: number, done: CallDone<Uint8Array>, nowMs: number): void {
        if (reference.inline.length > 0) {
            done(this.#verifyInline(reference), nowMs);
            return;
        }
        const cached = this.cache.get(reference);
        if (cached) {
            done(Ok(cached), nowMs);
            return;
        }
        this.#startRound({ reference, deadlineMs, remaining: [], allLackIt: true, done }, nowMs);
    }

    tick(nowMs: number): void {
        for (const timer of [...this.#timers]) {
            if (timer.atMs <= nowMs) {
                this.#timers.delete(timer);
                timer.run(nowMs);
            }
        }
    }

    #verifyInline(reference: BlobReference): Result<Uint8Array, StepError> {
        if (matchesReference(reference, reference.inline)) {
            return Ok(reference.inline);
        }
        this.calls.effects.count(EntryMetric.CorruptBlobs);
        const message = "the content does not match its digest";
        return Err(new StepError(ErrorCode.CORRUPT, "get-blob", "control", message));
    }

    #scheduleAt(atMs: number, run: (nowMs: number) => void): Timer {
        const timer = { atMs, run };
        this.#timers.add(timer);
        return timer;
    }

    #sendWrite(write: PendingWrite, address: string, nowMs: number): void {
        if (write.finished) {
            return;
        }
        const timeoutMs = this.timing.callTimeoutMs;
        const call = { target: { kind: "replica" as const, address }, method: "putBlob" as const, timeoutMs };
        this.calls.callControl({ ...call, request: write.request }, (result, atMs) => {
            this.#handleWriteResponse(write, address, result, atMs);
        }, nowMs);
    }

    #handleWriteResponse(
        write: PendingWrite,
        address: string,
        result: Result<PutBlobResponse, StepError>,
        nowMs: number,
    ): void {
        if (result.isErr() || result.value.error) {
            const retryAtMs = nowMs + this.timing.blobRetryDelayMs;
            if (!write.finished && retryAtMs < write.deadlineMs) {
                this.#scheduleAt(retryAtMs, atMs => {
                    this.#sendWrite(write, address, atMs);
                });
            }
            return;
        }
        write.missing -= 1;
        if (write.missing === 0) {
            this.#finishWrite(write, Ok(write.reference), nowMs);
        }
    }

    #finishWrite(write: PendingWrite, result: Result<BlobReference, StepError>, nowMs: number): void {
        if (!write.finished) {
            write.finished = true;
            if (write.expiry) {
                this.#timers.delete(write.expiry);
            }
            write.done(result, nowMs);
        }
    }

    #startRound(read: PendingRead, nowMs: number): void {
        const { addresses } = this.leader;
        const first = this.#nextReadOffset % Math.max(1, addresses.length);
        this.#nextReadOffset += 1;
        read.remaining = [...addresses.slice(first), ...addresses.slice(0, first)];
        read.allLackIt = true;
        this.#readFromNextReplica(read, nowMs);
    }

    #readFromNextReplica(read: PendingRead, nowMs: number): void {
        const address = read.remaining.shift();
        if (address === undefined || read.deadlineMs <= nowMs) {
            this.#endRound(read, address === undefined, nowMs);
            return;
        }
        const request = create(GetBlobRequestSchema, { reference: read.reference });
        const timeoutMs = Math.max(1, Math.min(this.timing.getBlobTimeoutMs, read.deadlineMs - nowMs));
        const call = { target: { kind: "replica" as const, address }, method: "getBlob" as const, timeoutMs };
        this.calls.callControl({ ...call, request }, (result, atMs) => {
            this.#handleReadResponse(read, result, atMs);
        }, nowMs);
    }

    #handleReadResponse(read: PendingRead, result: Result<GetBlobResponse, StepError>, nowMs: number): void {
        if (result.isOk() && !result.value.error && matchesReference(read.reference, result.value.data)) {
            this.cache.add(read.reference, result.value.data);
            read.done(Ok(result.value.data), nowMs);
            return;
        }
        if (result.isOk() && !result.value.error) {
            this.calls.effects.count(EntryMetric.CorruptBlobs);
        }
        const isMissing = result.isOk() && result.value.error?.code === ErrorCode.UNKNOWN_REQUEST;
        read.allLackIt &&= isMissing;
        this.#readFromNextReplica(read, nowMs);
    }

    #endRound(read: PendingRead, allReplicasAsked: boolean, nowMs: number): void {
        if (allReplicasAsked && read.allLackIt) {
            const message = "no blob store has the data";
            read.done(Err(new StepError(ErrorCode.UNKNOWN_REQUEST, "get-blob", "control", message)), nowMs);
            return;
        }
        const retryAtMs = nowMs + this.timing.blobRetryDelayMs;
        if (retryAtMs >= read.deadlineMs) {
            const message = "no blob store returned the data in time";
            read.done(Err(new StepError(ErrorCode.UNAVAILABLE, "get-blob", "control", message)), nowMs);
            return;
        }
        this.#scheduleAt(retryAtMs, atMs => {
            this.#startRound(read, atMs);
        });
    }
}
