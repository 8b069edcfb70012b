import { ReplicaRole } from "@waxwingspread/consensus";
import type { Replica, ReplicaRunner } from "@waxwingspread/consensus";
import type { LogEntry } from "@waxwingspread/protocol";

interface CommittedEntry {
    term: number;
    stateHash: string;
}

/** A check of the leadership that a read has started. */
interface LeadershipCheck {
    checkMs: number;
    term: number;
    /** Highest index that any replica had reported as committed when the check began. */
    commitIndex: number;
}

/** Violation of an invariant of replication. */
export class InvariantError extends Error {}

const fail = (message: string): never => {
    throw new InvariantError(message);
};

/** Checks the invariants of replication across all replicas. `check` also throws violations found by other methods. */
export class ReplicationOracle {
    readonly #committed = new Map<number, CommittedEntry>();
    readonly #leaders = new Map<number, string>();
    readonly #leadershipChecks = new Map<ReplicaRunner, LeadershipCheck>();
    #commitIndex = 0;
    #confirmedChecks = 0;
    #violation: InvariantError | undefined;

    /** Highest index that any replica has reported as committed. */
    get commitIndex(): number {
        return this.#commitIndex;
    }

    /** Number of leadership checks that have succeeded. */
    get confirmedChecks(): number {
        return this.#confirmedChecks;
    }

    get termCount(): number {
        return this.#leaders.size;
    }

    /** Checks election safety and leader completeness. */
    recordLeader(term: number, replica: Replica): void {
        this.#runCheck(() => {
            const other = this.#leaders.get(term);
            if (other !== undefined && other !== replica.identity.diskId) {
                fail(`two leaders in term ${term}: ${other} and ${replica.identity.diskId}`);
            }
            this.#leaders.set(term, replica.identity.diskId);
            if (replica.lastIndex < this.#commitIndex) {
                fail(`leader of term ${term} lacks committed entries after ${replica.lastIndex}`);
            }
            for (let index = this.#commitIndex; index > replica.commitIndex; index -= 1) {
                if (replica.termAt(index) !== this.#committed.get(index)?.term) {
                    fail(`leader of term ${term} has an entry ${index} that differs from the committed one`);
                }
            }
        });
    }

    /** Checks that entries are applied without a gap. */
    checkNextApplied(name: string, appliedIndex: number, index: number): void {
        this.#runCheck(() => {
            if (index !== appliedIndex + 1) {
                fail(`${name} applies entry ${index} after ${appliedIndex}`);
            }
        });
    }

    /** Checks that all replicas commit the same entry at an index and reach the same state. */
    recordCommit(entry: LogEntry, stateHash: string): void {
        this.#runCheck(() => {
            const existing = this.#committed.get(entry.index);
            if (existing !== undefined && (existing.term !== entry.term || existing.stateHash !== stateHash)) {
                fail(`entry ${entry.index} was committed with term ${existing.term} and with term ${entry.term}`);
            }
            this.#committed.set(entry.index, { term: entry.term, stateHash });
            this.#commitIndex = Math.max(this.#commitIndex, entry.index);
        });
    }

    /** Checks that a snapshot contains exactly the committed entries up to its last index. */
    checkSnapshot(index: number, stateHash: string): void {
        this.#runCheck(() => {
            if (this.#committed.get(index)?.stateHash !== stateHash) {
                fail(`snapshot up to index ${index} differs from the committed entries`);
            }
        });
    }

    /**
     * Checks log matching, that no term has two leaders, and that the holder of the quorum lease has every committed
     * entry. Throws the first violation recorded by another method, or the failure of a runner.
     */
    check(runners: readonly ReplicaRunner[], nowMs: number): void {
        if (this.#violation !== undefined) {
            throw this.#violation;
        }
        for (const runner of runners) {
            if (runner.failure !== undefined) {
                throw runner.failure;
            }
            this.#checkConfirmedLeadership(runner, nowMs);
            if (runner.hasQuorumLease(nowMs) && runner.replica.commitIndex < this.#commitIndex) {
                fail(`${runner.replica.identity.name} holds the lease without entry ${this.#commitIndex}`);
            }
        }
        const terms = runners.filter(runner => runner.replica.role === ReplicaRole.Leader)
            .map(runner => runner.replica.term);
        if (new Set(terms).size !== terms.length) {
            fail("two leaders in one term");
        }
        const [first, ...others] = runners;
        others.forEach(other => first !== undefined && this.#checkLogMatching(first.replica, other.replica));
    }

    /** Checks that a leader whose check has succeeded has every entry that was committed before the check began. */
    #checkConfirmedLeadership(runner: ReplicaRunner, nowMs: number): void {
        const { replica } = runner;
        const check = this.#leadershipChecks.get(runner);
        if (check !== undefined && check.term === replica.term && runner.isLeadershipConfirmed(check.checkMs)) {
            this.#confirmedChecks += 1;
            this.#leadershipChecks.delete(runner);
            if (replica.commitIndex < check.commitIndex) {
                fail(`${replica.identity.name} confirmed its leadership without entry ${check.commitIndex}`);
            }
        }
        else if (check?.term !== replica.term && runner.hasQuorumLease(nowMs)) {
            const checkMs = runner.startLeadershipCheck(nowMs);
            this.#leadershipChecks.set(runner, { checkMs, term: replica.term, commitIndex: this.#commitIndex });
        }
    }

    #checkLogMatching(a: Replica, b: Replica): void {
        let isMatched = false;
        for (let index = Math.min(a.lastIndex, b.lastIndex); index > 0; index -= 1) {
            const termA = a.termAt(index);
            const termB = b.termAt(index);
            if (termA === undefined || termB === undefined) {
                return;
            }
            if (isMatched && termA !== termB) {
                fail(`logs differ at index ${index}, before an entry that matches`);
            }
            isMatched ||= termA === termB;
        }
    }

    /** Runs a check. Records the first violation instead of throwing it, since callbacks of a runner must not throw. */
    #runCheck(check: () => void): void {
        try {
            check();
        }
        catch (error) {
            this.#violation ??= error as InvariantError;
        }
    }
}
