import { Refusal, refused } from "../model/calls.js";
import type { RefusedCall } from "../model/calls.js";
import type { ReplicatedLog } from "./replicated-log.js";

/** Callback for a call that is refused. */
export type RespondRefused = (refusal: RefusedCall) => void;

/** A call that is answered once a record is committed. */
interface PendingCall {
    committed: () => void;
    /** Called with true when the change certainly has no effect, with false when it may still take effect. */
    failed: (isCertain: boolean) => void;
}

/** A read that is answered once a check of the leadership has succeeded. */
interface PendingRead {
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

    /** Calls `committed` once the next record, which may hold changes of this call, is committed. */
    addChange(committed: () => void, respond: RespondRefused): void {
        this.#unproposed.push({
            committed,
            failed: isCertain => respond(refused(isCertain ? Refusal.NotLeader : Refusal.Uncertain)),
        });
    }

    /** Calls `committed` once a record proposed after this call is committed, so that reads see the current state. */
    addBarrier(committed: () => void, respond: RespondRefused): void {
        this.#unproposed.push({ committed, failed: () => respond(refused(Refusal.NotLeader)) });
    }

    /** Calls `answer` once followers have confirmed that this replica still leads. Nothing is written to the log. */
    addRead(answer: () => void, respond: RespondRefused, nowMs: number): void {
        this.#reads.push({
            answer,
            fail: () => respond(refused(Refusal.NotLeader)),
            checkMs: this.#log.startLeadershipCheck(nowMs),
        });
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
        this.#reads = this.#reads.filter(read => !isConfirmed(read));
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
