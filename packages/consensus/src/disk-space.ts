/** Delay until a write that a full disk has refused is tried again. */
const WRITE_RETRY_INTERVAL_MS = 200;
/** Delay until a snapshot that a full disk has refused is taken again, which costs more than a write of the log. */
const SNAPSHOT_RETRY_INTERVAL_MS = 2_000;

/** Tracks whether a disk has room, by the outcome of the writes, and when refused ones are tried again. */
export class DiskSpace {
    #fullSinceMs: number | undefined;
    #nextWriteAtMs = -Infinity;
    #nextSnapshotAtMs = -Infinity;

    /** Whether the latest write of the log was refused for want of room. */
    get isFull(): boolean {
        return this.#fullSinceMs !== undefined;
    }

    mayWrite(nowMs: number): boolean {
        return nowMs >= this.#nextWriteAtMs;
    }

    /** Whether a snapshot may be taken; not while the disk refuses even the log. */
    mayTakeSnapshot(nowMs: number): boolean {
        return !this.isFull && nowMs >= this.#nextSnapshotAtMs;
    }

    /** Records that a write of the log was refused; returns whether the disk has become full by it. */
    recordRefusedWrite(nowMs: number): boolean {
        const wasFull = this.isFull;
        this.#fullSinceMs ??= nowMs;
        this.#nextWriteAtMs = nowMs + WRITE_RETRY_INTERVAL_MS;
        return !wasFull;
    }

    /** Records that a write of the log has succeeded; returns for how long the disk was full before, if it was. */
    recordWrite(nowMs: number): number | undefined {
        const fullForMs = this.#fullSinceMs === undefined ? undefined : nowMs - this.#fullSinceMs;
        this.#fullSinceMs = undefined;
        return fullForMs;
    }

    recordRefusedSnapshot(nowMs: number): void {
        this.#nextSnapshotAtMs = nowMs + SNAPSHOT_RETRY_INTERVAL_MS;
    }
}
