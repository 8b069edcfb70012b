import { create } from "@bufbuild/protobuf";
import { SeededRandom, StepError } from "@waxwingspread/common";
import {
    ContractSchema,
    ErrorCode,
    LogEntrySchema,
    MembershipSchema,
    OperatorCommandSchema,
    PollRequestSchema,
    QueryKind,
    ReplicaIdentitySchema,
} from "@waxwingspread/protocol";
import type { LogEntry, OperatorCommand, OperatorResult, PollResponse } from "@waxwingspread/protocol";
import { defaultSchedulerSettings } from "@waxwingspread/scheduler";
import { Err, Ok } from "ts-results-es";
import { beforeEach, describe, expect, it } from "vitest";
import { ControlMethod } from "./calls.js";
import type { ControlCall, ControlReply } from "./calls.js";
import { ControlEffectKind } from "./control-effects.js";
import { ControlNode } from "./control-node.js";
import { defaultControlSettings } from "./control-settings.js";
import type { ReplicatedLogPort } from "./replicated-log-port.js";

/** Log of one replica; the test controls when entries are committed. */
class FakeLog implements ReplicatedLogPort {
    term = 1;
    isLeader = true;
    isHandingOver = false;
    leaderAddress: string | undefined = "10.0.0.1:1";
    membership = create(MembershipSchema, {});
    commitIndex = 0;
    hasQuorum = true;
    membershipChanges = 0;
    readonly entries: LogEntry[] = [];

    propose(records: Uint8Array[]): ReturnType<ReplicatedLogPort["propose"]> {
        if (!this.isLeader || this.isHandingOver) {
            return Err(new StepError(ErrorCode.NOT_LEADER, "propose", "", "not leader"));
        }
        records.forEach(value => this.append({ case: "data", value }));
        return Ok(this.entries.length);
    }

    changeMembership(): ReturnType<ReplicatedLogPort["changeMembership"]> {
        this.membershipChanges += 1;
        this.append({ case: "membership", value: this.membership });
        return Ok(this.entries.length);
    }

    hasQuorumLease(): boolean {
        return this.hasQuorum;
    }

    append(body: LogEntry["body"]): void {
        this.entries.push(create(LogEntrySchema, { index: this.entries.length + 1, term: this.term, body }));
    }

    takeUncommitted(): LogEntry[] {
        const entries = this.entries.slice(this.commitIndex);
        this.commitIndex = this.entries.length;
        return entries;
    }
}

const contract = create(ContractSchema, {
    customer: "filter-maker",
    weight: 1,
    latencyCriticalShare: 1,
    batchShare: 1,
    quota: { resources: { cpuMillicores: 1_000, memoryMebibytes: 1_000 }, concurrentTasks: 1, queuedJobs: 1 },
});

const writeContract = (commandId: string, expectedRevision: number): OperatorCommand =>
    create(OperatorCommandSchema, {
        commandId,
        expectedRevision,
        operatorToken: "token",
        kind: { case: "writeContract", value: contract },
    });

describe("ControlNode", () => {
    let log: FakeLog;
    let node: ControlNode;
    let replies: Map<number, ControlReply>;
    let nowMs: number;

    const drain = (): void => {
        for (const effect of node.takeEffects()) {
            if (effect.kind === ControlEffectKind.Reply) {
                replies.set(effect.callId, effect.reply);
            }
        }
    };
    const commit = (): void => {
        node.applyCommitted(log.takeUncommitted(), nowMs);
        drain();
    };
    const call = (callId: number, controlCall: ControlCall): void => {
        node.call(callId, controlCall, nowMs);
        node.flush(nowMs);
        drain();
    };
    const execute = (callId: number, command: OperatorCommand): void =>
        call(callId, { method: ControlMethod.Execute, request: command });
    const resultOf = (callId: number): OperatorResult => replies.get(callId)?.response as OperatorResult;
    const poll = (callId: number, knownRevision: number): void =>
        call(callId, {
            method: ControlMethod.Poll,
            request: create(PollRequestSchema, { entryId: "entry-1", knownRevision, sequenceTerm: log.term }),
        });

    beforeEach(() => {
        nowMs = 1_000_000;
        replies = new Map();
        log = new FakeLog();
        node = new ControlNode({
            name: "control-1",
            log,
            settings: defaultControlSettings,
            schedulerSettings: defaultSchedulerSettings,
            random: new SeededRandom(1),
            authorizeOperator: token => token === "token",
        });
        log.append({ case: "noOperation", value: true });
        commit();
        node.flush(nowMs);
        commit();
    });

    it("sends no reply before the decision that it reports is committed", () => {
        execute(1, writeContract("command-1", 0));
        expect(replies.has(1)).toBe(false);
        commit();
        expect(resultOf(1).revision).toBe(1);
        expect(resultOf(1).error).toBeUndefined();
    });

    it("sends no reply while another replica may have been elected", () => {
        execute(1, writeContract("command-1", 0));
        log.hasQuorum = false;
        commit();
        expect(replies.has(1)).toBe(false);
        log.hasQuorum = true;
        node.tick(nowMs);
        drain();
        expect(replies.has(1)).toBe(true);
    });

    it("answers UNCERTAIN and rolls back the decision when leadership is lost before the commit", () => {
        execute(1, writeContract("command-1", 0));
        log.isLeader = false;
        node.handleLeadershipLost();
        drain();
        expect(resultOf(1).error?.code).toBe(ErrorCode.UNCERTAIN);
        expect(node.state.revision).toBe(0);
    });

    it("applies its own rolled-back decision when a later leader commits it", () => {
        execute(1, writeContract("command-1", 0));
        log.isLeader = false;
        node.handleLeadershipLost();
        log.term = 2;
        commit();
        expect(node.state.revision).toBe(1);
    });

    // Guards against a second session in one term, whose first event would contradict the state.
    it("doesn't serve again in a term in which it started a handover", () => {
        execute(1, writeContract("command-1", 0));
        log.isHandingOver = true;
        execute(2, writeContract("command-2", 0));
        commit();
        expect(node.isServing).toBe(false);
        expect(node.state.revision).toBe(1);
        expect(resultOf(2).error?.code).toBe(ErrorCode.UNCERTAIN);
    });

    it("accepts only one of two commands with the same revision and repeats the outcome of a resent one", () => {
        execute(1, writeContract("command-1", 0));
        execute(2, writeContract("command-2", 0));
        execute(3, writeContract("command-1", 0));
        commit();
        expect(resultOf(1).error).toBeUndefined();
        expect(resultOf(2).error).toMatchObject({ code: ErrorCode.REVISION_CONFLICT, currentRevision: 1 });
        expect(resultOf(3)).toMatchObject({ revision: 1, repeatedCommand: true });
        expect(resultOf(3).error).toBeUndefined();
    });

    it("sends an entry a configuration only once it is committed, and then in answer to its held poll", () => {
        poll(1, 0);
        execute(2, writeContract("command-1", 0));
        expect(replies.has(1)).toBe(false);
        commit();
        const response = replies.get(1)?.response as PollResponse;
        expect(response.configuration?.revision).toBe(1);
        expect(response.configurationLeaseMs).toBe(defaultControlSettings.configurationLeaseMs);
    });

    it("answers without delay the poll of an entry that doesn't know the new term yet", () => {
        log.term = 2;
        log.append({ case: "noOperation", value: true });
        node.handleLeadershipLost();
        commit();
        call(1, {
            method: ControlMethod.Poll,
            request: create(PollRequestSchema, { entryId: "entry-1", sequenceTerm: 1 }),
        });
        commit();
        expect((replies.get(1)?.response as PollResponse).term).toBe(2);
    });

    it("grants no configuration lease without its quorum lease", () => {
        poll(1, 0);
        log.hasQuorum = false;
        nowMs += defaultControlSettings.pollHoldMs;
        node.tick(nowMs);
        drain();
        expect(replies.has(1)).toBe(false);
    });

    it("executes a resent membership command only once", () => {
        const identity = create(ReplicaIdentitySchema, { name: "control-4", diskId: "disk-4", address: "10.0.0.4:1" });
        const command = create(OperatorCommandSchema, {
            commandId: "add-4",
            operatorToken: "token",
            kind: { case: "addReplica", value: identity },
        });
        execute(1, command);
        commit();
        execute(2, command);
        commit();
        expect(log.membershipChanges).toBe(1);
        expect(resultOf(2).repeatedCommand).toBe(true);
    });

    it("refuses operator calls with an invalid token", () => {
        execute(1, create(OperatorCommandSchema, { ...writeContract("command-1", 0), operatorToken: "wrong" }));
        expect(resultOf(1).error?.code).toBe(ErrorCode.UNAUTHENTICATED);
        call(2, {
            method: ControlMethod.Query,
            request: { ...create(OperatorCommandSchema), kind: QueryKind.JOBS } as never,
        });
        expect(resultOf(2).error?.code).toBe(ErrorCode.UNAUTHENTICATED);
    });

    it("restores the same state from its snapshot", () => {
        execute(1, writeContract("command-1", 0));
        commit();
        const { bytes, lastIndex } = node.snapshot();
        node.restoreSnapshot(bytes, lastIndex);
        expect(toHex(node.snapshot().bytes)).toBe(toHex(bytes));
    });
});

const toHex = (bytes: Uint8Array): string => Buffer.from(bytes).toString("hex");
