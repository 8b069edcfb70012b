import { create } from "@bufbuild/protobuf";
import { SeededRandom, StepError } from "@waxwingspread/common";
import { ErrorCode, LogEntrySchema, MembershipSchema, PollRequestSchema } from "@waxwingspread/protocol";
import type { LogEntry } from "@waxwingspread/protocol";
import { defaultSchedulerSettings } from "@waxwingspread/scheduler";
import { Err, Ok } from "ts-results-es";
import { expect, it } from "vitest";
import { ControlMethod, ControlNode, defaultControlSettings } from "./index.js";
import type { ReplicatedLogPort } from "./index.js";

/** Log of one replica; the test controls when entries are committed. */
class FakeLog implements ReplicatedLogPort {
    term = 1;
    isLeader = true;
    leaderAddress = "10.0.0.1:7001";
    membership = create(MembershipSchema);
    commitIndex = 1;
    refusesProposals = false;
    readonly proposed: LogEntry[] = [];

    propose(records: readonly Uint8Array[]): ReturnType<ReplicatedLogPort["propose"]> {
        if (this.refusesProposals) {
            return Err(new StepError(ErrorCode.NOT_LEADER, "propose", "", "handing over"));
        }
        for (const value of records) {
            this.proposed.push(this.#entry({ case: "data", value }));
        }
        return Ok(this.commitIndex + this.proposed.length);
    }

    changeMembership(): ReturnType<ReplicatedLogPort["changeMembership"]> {
        return Err(new StepError(ErrorCode.NOT_LEADER, "change membership", "", "not in this test"));
    }

    hasQuorumLease(): boolean {
        return true;
    }

    commit(node: ControlNode): void {
        const entries = this.proposed.splice(0);
        this.commitIndex += entries.length;
        node.applyCommitted(entries, 0);
    }

    firstEntryOfTerm(): LogEntry {
        return create(LogEntrySchema, { term: this.term, index: this.commitIndex });
    }

    #entry(body: LogEntry["body"]): LogEntry {
        const index = this.commitIndex + this.proposed.length + 1;
        return create(LogEntrySchema, { term: this.term, index, body });
    }
}

// Guards against a leader that hands over, then sees an entry of its own term committed, and fails because it starts
// a second session in that term.
it("doesn't serve a term again after handing it over", () => {
    const log = new FakeLog();
    const node = new ControlNode({
        name: "control-1",
        log,
        settings: defaultControlSettings,
        schedulerSettings: defaultSchedulerSettings,
        random: new SeededRandom(1),
        authorizeOperator: () => false,
    });
    node.applyCommitted([log.firstEntryOfTerm()], 0);
    node.flush(0);
    expect(node.isServing).toBe(true);
    expect(log.proposed).not.toEqual([]);
    log.refusesProposals = true;
    node.call(1, { method: ControlMethod.Poll, request: create(PollRequestSchema, { entryId: "entry-1" }) }, 0);
    node.handleLeadershipLost();
    log.commit(node);
    expect(node.isServing).toBe(false);
    log.refusesProposals = false;
    log.term = 2;
    node.applyCommitted([create(LogEntrySchema, { term: 2, index: log.commitIndex + 1 })], 0);
    expect(node.isServing).toBe(true);
});
