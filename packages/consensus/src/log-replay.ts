import { create, fromBinary } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { ErrorCode, HardStateSchema, LogEntrySchema } from "@waxwingspread/protocol";
import type { HardState, LogEntry, SnapshotHeader } from "@waxwingspread/protocol";
import { FrameKind } from "./frames.js";
import type { Frame } from "./frames.js";
import { corruptError } from "./store-errors.js";

const STEP = "load the log";
const DOUBLE_BYTES = 8;

/** Encodes numbers as doubles. */
export const encodeDoubles = (values: readonly number[]): Uint8Array => {
    const buffer = Buffer.allocUnsafe(values.length * DOUBLE_BYTES);
    values.forEach((value, position) => buffer.writeDoubleLE(value, position * DOUBLE_BYTES));
    return buffer;
};

const readDouble = (payload: Uint8Array): number =>
    new DataView(payload.buffer, payload.byteOffset, payload.byteLength).getFloat64(0, true);

/** Rebuilds the hard state and the log from the records of all segments, in order. */
export class LogReplay {
    hardState: HardState = create(HardStateSchema, {});
    #entries: LogEntry[] = [];
    /** Index after which the log starts; undefined until the first Reset or Entry record. */
    #baseIndex: number | undefined;

    /** Applies a record; returns the index of the entry that it contains, or 0. */
    apply(frame: Frame, path: string): number {
        switch (frame.kind) {
            case FrameKind.HardState:
                this.hardState = fromBinary(HardStateSchema, frame.payload);
                return 0;
            case FrameKind.Truncate:
                this.#truncateFrom(readDouble(frame.payload));
                return 0;
            case FrameKind.Reset:
                this.#entries = [];
                this.#baseIndex = readDouble(frame.payload);
                return 0;
            case FrameKind.Entry:
                return this.#append(fromBinary(LogEntrySchema, frame.payload), path);
            default:
                // Its checksum is right, so that a later version wrote it.
                throw new StepError(ErrorCode.INVALID, STEP, path, `${path}: record of unknown kind ${frame.kind}`);
        }
    }

    /**
     * Returns the entries after the snapshot; undefined if the log does not contain the snapshot's last entry, in
     * which case the snapshot replaces the whole log.
     */
    entriesAfter(snapshot: SnapshotHeader | undefined, path: string): LogEntry[] | undefined {
        const baseIndex = this.#baseIndex ?? snapshot?.lastIndex ?? 0;
        const snapshotIndex = snapshot?.lastIndex ?? 0;
        if (baseIndex > snapshotIndex) {
            throw corruptError(
                STEP,
                path,
                `the log starts after ${baseIndex}, but the snapshot ends at ${snapshotIndex}`,
            );
        }
        if (snapshot === undefined || baseIndex === snapshotIndex) {
            return this.#entries;
        }
        const last = this.#entries[snapshotIndex - baseIndex - 1];
        return last?.term === snapshot.lastTerm ? this.#entries.slice(snapshotIndex - baseIndex) : undefined;
    }

    #truncateFrom(index: number): void {
        if (this.#baseIndex === undefined) {
            return;
        }
        // The oldest segments may have been deleted while later ones still contain entries that were truncated.
        this.#baseIndex = Math.min(this.#baseIndex, index - 1);
        this.#entries.length = Math.min(this.#entries.length, index - this.#baseIndex - 1);
    }

    #append(entry: LogEntry, path: string): number {
        this.#baseIndex ??= entry.index - 1;
        const expectedIndex = this.#baseIndex + this.#entries.length + 1;
        if (entry.index !== expectedIndex) {
            throw corruptError(STEP, path, `entry ${entry.index} found instead of entry ${expectedIndex}`);
        }
        this.#entries.push(entry);
        return entry.index;
    }
}
