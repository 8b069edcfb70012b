import type { ReplicatedLog } from "./replicated-log.js";

/** A call that is answered once a record is committed. */
export interface PendingCall {
    committed: () => void;
    /** Called with true when the change certainly has no effect, with false when it may still take effect. */
    failed: (isCertain: boolean) => void;
}

/** A read that is answered once a check of the leadership has succeeded. */
export interface PendingRead {
    answer: () => void;
    fail: () => void;
}

interface CheckedRead extends PendingRead {
    checkMs: number;
}

/** Calls that wait for a commit, and reads that wait for the answers of a quorum, in one leader session. */
export class PendingCalls {
    readonly #log: ReplicatedLog;
    #unproposed: PendingCall[] = [];
    readonly #proposed = new Map<number, PendingCall[]>();
    #reads: CheckedRead[] = [];

    constructor(log: ReplicatedLog) {
        this.#log = log;
    }

    get hasUnproposed(): boolean {
        return this.#unproposed.length > 0;
    }

    get hasReads(): boolean {
        return this.#reads.length > 0;
    }

    /** Adds a call that the next record answers. */
    add(call: PendingCall): void {
        this.#unproposed.push(call);
    }

    /** Adds a read that is answered without a record. */
    addRead(read: PendingRead, nowMs: number): void {
        this.#reads.push({ ...read, checkMs: this.#log.startLeadershipCheck(nowMs) });
    }

    /** Records that a record for all calls so far was proposed. */
    recordProposed(index: number): void {
        this.#proposed.set(index, this.#unproposed);
        this.#unproposed = [];
    }

    /** Answers the calls of a committed record; those of another term's record at this index fail. */
    complete(index: number, isCurrentTerm: boolean): void {
        const calls = this.#proposed.get(index) ?? [];
        this.#proposed.delete(index);
        calls.forEach(call => isCurrentTerm ? call.committed() : call.failed(false));
    }

    /** Answers the reads whose checks have succeeded. */
    answerReads(): void {
        const isConfirmed = ({ checkMs }: CheckedRead): boolean => this.#log.isLeadershipConfirmed(checkMs);
        const confirmed = this.#reads.filter(isConfirmed);
        this.#reads = this.#reads.filter(read => !confirmed.includes(read));
        confirmed.forEach(read => read.answer());
    }

    /** Fails all calls and reads after the leadership was lost. */
    failAll(): void {
        const reads = this.#reads;
        const proposed = [...this.#proposed.values()].flat();
        const unproposed = this.#unproposed;
        this.#reads = [];
        this.#proposed.clear();
        this.#unproposed = [];
        reads.forEach(read => read.fail());
        proposed.forEach(call => call.failed(false));
        unproposed.forEach(call => call.failed(true));
    }
}
