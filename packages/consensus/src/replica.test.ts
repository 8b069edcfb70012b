import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import {
    ErrorCode,
    HardStateSchema,
    LogEntrySchema,
    ReplicaIdentitySchema,
    ReplicaMessageSchema,
} from "@waxwingspread/protocol";
import type { HardState, LogEntry, ReplicaMessage } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { initialMembership } from "./membership.js";
import { Replica } from "./replica.js";
import { MembershipChangeKind, ReplicaEffectKind, ReplicaRole } from "./types.js";
import type { PersistEffect, ReplicaEffect, ReplicaLimits, SendEffect } from "./types.js";

const identityOf = (name: string) =>
    create(ReplicaIdentitySchema, { name, diskId: `disk-${name}`, address: `address-${name}` });

const NAMES = ["a", "b", "c"];
const FIRST = create(LogEntrySchema, {
    index: 1,
    term: 1,
    body: { case: "membership", value: initialMembership(NAMES.map(identityOf)) },
});
const RECORD = new Uint8Array([1, 2, 3]);

interface StartOptions {
    entries?: LogEntry[];
    hardState?: HardState;
    nowMs?: number;
    limits?: Partial<ReplicaLimits>;
}

const createReplica = (name: string, options: StartOptions = {}) =>
    new Replica({
        identity: identityOf(name),
        persisted: {
            hardState: options.hardState ?? create(HardStateSchema, { term: 1 }),
            entries: options.entries ?? [FIRST],
        },
        random: new SeededRandom(name.charCodeAt(0)),
        limits: options.limits,
    }, options.nowMs ?? 0);

const sends = (effects: ReplicaEffect[]) =>
    effects.filter((effect): effect is SendEffect => effect.kind === ReplicaEffectKind.Send);
const persists = (effects: ReplicaEffect[]) =>
    effects.filter((effect): effect is PersistEffect => effect.kind === ReplicaEffectKind.Persist);

/** Delivers all messages and completes all writes immediately until no effects remain. */
const exchangeMessages = (replicas: Replica[], nowMs: number) => {
    const byDisk = new Map(replicas.map(replica => [replica.identity.diskId, replica]));
    let isActive = true;
    while (isActive) {
        isActive = false;
        for (const replica of replicas) {
            for (const effect of replica.takeEffects()) {
                isActive = true;
                if (effect.kind === ReplicaEffectKind.Persist || effect.kind === ReplicaEffectKind.RestoreSnapshot) {
                    replica.onPersisted(effect.token, nowMs);
                }
                else if (effect.kind === ReplicaEffectKind.Send) {
                    byDisk.get(effect.to.diskId)?.receive(effect.message, nowMs);
                }
            }
        }
    }
};

/** Makes `a` the leader. */
const startCluster = () => {
    const replicas = NAMES.map(name => createReplica(name));
    const [a, b, c] = replicas as [Replica, Replica, Replica];
    a.tick(1_000);
    exchangeMessages(replicas, 1_000);
    expect(a.role).toBe(ReplicaRole.Leader);
    return { a, b, c, replicas };
};

const message = (from: string, to: string, term: number, body: ReplicaMessage["body"]) =>
    create(ReplicaMessageSchema, { fromDiskId: `disk-${from}`, toDiskId: `disk-${to}`, term, body });

const entry = (index: number, term: number) =>
    create(LogEntrySchema, { index, term, body: { case: "data", value: RECORD } });

const appendRequest = (previousIndex: number, previousTerm: number, entries: LogEntry[]): ReplicaMessage["body"] => ({
    case: "appendRequest",
    value: {
        $typeName: "waxwingspread.v1.AppendRequest",
        previousIndex,
        previousTerm,
        entries,
        commitIndex: 1,
        sentAtMs: 10,
    },
});

const appendResponse = (matchIndex: number): ReplicaMessage["body"] => ({
    case: "appendResponse",
    value: { $typeName: "waxwingspread.v1.AppendResponse", success: true, matchIndex, sentAtMs: 1_000 },
});

// Guards against a new, empty cluster of replicas whose logs were unreadable, whatever asks them to form it (issue 22).
it("forms no cluster if it replaces an unreadable log", () => {
    const identity = create(ReplicaIdentitySchema, { ...identityOf("a"), replacesUnreadableLog: true });
    const persisted = { hardState: create(HardStateSchema), entries: [] };
    const replica = new Replica({ identity, persisted, random: new SeededRandom(1) }, 0);
    replica.form(initialMembership([identity]), 0);
    expect(replica.isFormed).toBe(false);
});

describe("Replica durability", () => {
    it("does not send a granted vote before it is synced, so that a restart cannot vote twice", () => {
        const b = createReplica("b");
        const request = { $typeName: "waxwingspread.v1.VoteRequest", lastIndex: 1, lastTerm: 1 } as const;
        const body = { ...request, preVote: false, handover: false };
        b.receive(message("a", "b", 2, { case: "voteRequest", value: body }), 1_000);
        const effects = b.takeEffects();
        expect(sends(effects)).toEqual([]);
        expect(persists(effects)[0]?.hardState).toMatchObject({ term: 2, votedForDiskId: "disk-a" });
        b.onPersisted(persists(effects)[0]?.token ?? 0, 1_001);
        expect(sends(b.takeEffects())[0]?.message.body.value).toMatchObject({ granted: true });
    });

    it("does not count the leader's own copy before it is synced", () => {
        const { a } = startCluster();
        const index = a.propose([RECORD], 1_010).unwrap();
        const token = persists(a.takeEffects())[0]?.token ?? 0;
        a.receive(message("b", "a", a.term, appendResponse(index)), 1_011);
        expect(a.commitIndex).toBe(index - 1);
        a.onPersisted(token, 1_012);
        expect(a.commitIndex).toBe(index);
    });

    it("does not commit an earlier term's entry by counting its copies, since a later leader may replace it", () => {
        const a = createReplica("a", {
            hardState: create(HardStateSchema, { term: 4 }),
            entries: [FIRST, entry(2, 2)],
        });
        a.tick(1_000);
        const granted = { $typeName: "waxwingspread.v1.VoteResponse", granted: true } as const;
        a.receive(message("b", "a", 5, { case: "voteResponse", value: { ...granted, preVote: true } }), 1_001);
        persists(a.takeEffects()).forEach(effect => a.onPersisted(effect.token, 1_002));
        a.receive(message("b", "a", 5, { case: "voteResponse", value: { ...granted, preVote: false } }), 1_003);
        expect(a.role).toBe(ReplicaRole.Leader);
        persists(a.takeEffects()).forEach(effect => a.onPersisted(effect.token, 1_004));
        a.receive(message("b", "a", 5, appendResponse(2)), 1_005);
        expect(a.commitIndex).toBe(0);
        a.receive(message("b", "a", 5, appendResponse(3)), 1_006);
        expect(a.commitIndex).toBe(3);
    });

    it("does not acknowledge an append before it is synced", () => {
        const b = createReplica("b");
        b.receive(message("a", "b", 2, appendRequest(1, 1, [entry(2, 2)])), 1_000);
        const effects = b.takeEffects();
        expect(sends(effects)).toEqual([]);
        b.onPersisted(persists(effects)[0]?.token ?? 0, 1_001);
        expect(sends(b.takeEffects())[0]?.message.body.value).toMatchObject({ success: true, matchIndex: 2 });
    });

    it.each([
        ["in order", [0, 1, 2]],
        ["in another order", [2, 1, 0]],
    ])("does not count a write whose entries were truncated later, with writes completing %s", (_name, order) => {
        const b = createReplica("b");
        const tokens: number[] = [];
        const receive = (from: string, term: number, entries: LogEntry[]) => {
            b.receive(message(from, "b", term, appendRequest(1, 1, entries)), 1_000);
            tokens.push(...persists(b.takeEffects()).map(effect => effect.token));
        };
        receive("a", 2, [entry(2, 2), entry(3, 2)]);
        receive("c", 3, []);
        receive("c", 3, [entry(2, 3)]);
        expect(tokens).toHaveLength(3);
        const acknowledged = order.map(position => {
            b.onPersisted(tokens[position] ?? 0, 1_010);
            const values = sends(b.takeEffects()).map(effect => effect.message.body.value);
            return Math.max(0, ...values.map(value => value && "matchIndex" in value ? value.matchIndex : 0));
        });
        expect(acknowledged.at(-1)).toBe(2);
        expect(Math.max(...acknowledged.slice(0, -1))).toBeLessThan(2);
    });

    it("does not advance the commit index when a deposed leader's write completes late", () => {
        const { a } = startCluster();
        a.propose([RECORD], 1_010).unwrap();
        const token = persists(a.takeEffects())[0]?.token ?? 0;
        a.receive(message("b", "a", 3, appendRequest(1, 1, [entry(2, 3)])), 1_020);
        a.takeEffects();
        const before = a.commitIndex;
        a.onPersisted(token, 1_030);
        expect(a.commitIndex).toBe(before);
    });

    it("does not truncate for an append of an earlier term", () => {
        const b = createReplica("b", {
            hardState: create(HardStateSchema, { term: 5 }),
            entries: [FIRST, entry(2, 4)],
        });
        b.receive(message("a", "b", 3, appendRequest(1, 1, [entry(2, 3)])), 1_000);
        expect(b.termAt(2)).toBe(4);
        expect(sends(b.takeEffects())[0]?.message).toMatchObject({ term: 5, body: { value: { success: false } } });
    });
});

describe("Replica leadership", () => {
    it("starts the lease at the send time, so that late responses do not extend it", () => {
        const { a, b } = startCluster();
        expect(a.hasQuorumLease(1_100)).toBe(true);
        a.tick(1_100);
        const heartbeat = sends(a.takeEffects()).find(effect => effect.to.name === "b");
        b.receive(heartbeat?.message ?? message("a", "b", 0, { case: undefined }), 1_450);
        const answer = sends(b.takeEffects())[0];
        a.receive(answer?.message ?? message("b", "a", 0, { case: undefined }), 1_480);
        expect(a.hasQuorumLease(1_480)).toBe(true);
        expect(a.hasQuorumLease(1_495)).toBe(false);
        // A young leader steps down 800 ms after the latest answered message was sent.
        a.tick(1_899);
        expect(a.role).toBe(ReplicaRole.Leader);
        expect(a.hasQuorumLease(1_899)).toBe(false);
        a.tick(1_901);
        expect(a.role).toBe(ReplicaRole.Follower);
    });

    it("refuses a candidate while a leader is active, even right after a restart", () => {
        const { b, replicas } = startCluster();
        const restarted = createReplica("c", { nowMs: 1_000 });
        for (const voter of [b, restarted]) {
            const name = voter.identity.name;
            const request = { $typeName: "waxwingspread.v1.VoteRequest", lastIndex: 99, lastTerm: 9 } as const;
            const body = { ...request, preVote: false, handover: false };
            voter.receive(message("a", name, 9, { case: "voteRequest", value: body }), 1_100);
            expect(voter.term).toBeLessThan(9);
        }
        expect(replicas.map(replica => replica.role)).toContain(ReplicaRole.Leader);
    });

    it("ignores messages for another disk and does not count votes of non-members", () => {
        const a = createReplica("a");
        a.receive(message("b", "old-disk", 7, appendRequest(1, 1, [entry(2, 7)])), 10);
        expect(a.lastIndex).toBe(1);
        a.tick(1_000);
        const value = { $typeName: "waxwingspread.v1.VoteResponse", granted: true, preVote: true } as const;
        a.receive(message("wiped", "a", 2, { case: "voteResponse", value }), 1_001);
        expect(a.role).toBe(ReplicaRole.PreCandidate);
        a.receive(message("b", "a", 2, { case: "voteResponse", value }), 1_002);
        expect(a.role).toBe(ReplicaRole.Candidate);
    });

    it("gives up the lease when a handover starts, and loses no record in the handover", () => {
        const { a, replicas } = startCluster();
        const index = a.propose([RECORD], 1_010).unwrap();
        a.handOver(1_011);
        expect(a.hasQuorumLease(1_011)).toBe(false);
        expect(a.propose([RECORD], 1_012).unwrapErr().code).toBe(ErrorCode.NOT_LEADER);
        exchangeMessages(replicas, 1_013);
        const leader = replicas.find(replica => replica.role === ReplicaRole.Leader);
        expect(leader?.identity.name).not.toBe("a");
        expect(leader?.commitIndex).toBeGreaterThan(index);
    });

    // Guards against a second without a leader when the successor fails just before a planned stop (issue 19).
    it("hands over to another voter when the first one does not answer", () => {
        const { a, b, c } = startCluster();
        a.handOver(1_011);
        const requests = sends(a.takeEffects()).filter(({ message: { body } }) => body.case === "handoverRequest");
        const answering = requests[0]?.to.diskId === b.identity.diskId ? c : b;
        for (let nowMs = 1_020; nowMs <= 1_240; nowMs += 20) {
            a.tick(nowMs);
            exchangeMessages([a, answering], nowMs);
        }
        expect(answering.role).toBe(ReplicaRole.Leader);
    });

    // Guards against two candidates at the same time, which split the votes, because a successor is slow.
    it("keeps to a voter that answers during the handover", () => {
        const { a, b, c } = startCluster();
        a.handOver(1_011);
        const targets = new Set<string>();
        for (let nowMs = 1_020; nowMs <= 1_600; nowMs += 20) {
            a.tick(nowMs);
            for (const { to, message: sent } of sends(a.takeEffects())) {
                if (sent.body.case === "handoverRequest") {
                    targets.add(to.diskId);
                }
                else {
                    [b, c].find(peer => peer.identity.diskId === to.diskId)?.receive(sent, nowMs);
                }
            }
            [b, c].forEach(peer => sends(peer.takeEffects()).forEach(({ message: sent }) => a.receive(sent, nowMs)));
        }
        expect(targets.size).toBe(1);
    });

    it("steps down after it has committed its own removal, and not before", () => {
        const { a, b, c, replicas } = startCluster();
        const change = { kind: MembershipChangeKind.Remove, diskId: "disk-a" } as const;
        a.changeMembership(change, 1_010).unwrap();
        expect(a.changeMembership(change, 1_010).unwrapErr().code).toBe(
            ErrorCode.MEMBERSHIP_CHANGE_IN_PROGRESS,
        );
        expect(a.role).toBe(ReplicaRole.Leader);
        exchangeMessages(replicas, 1_011);
        expect(a.role).toBe(ReplicaRole.Follower);
        b.tick(2_500);
        exchangeMessages([b, c], 2_500);
        expect(b.role).toBe(ReplicaRole.Leader);
    });

    it("promotes a learner only once it has caught up", () => {
        const { a, replicas } = startCluster();
        const d = createReplica("d", { entries: [], hardState: create(HardStateSchema, {}) });
        a.changeMembership({ kind: MembershipChangeKind.AddLearner, identity: identityOf("d") }, 1_010).unwrap();
        exchangeMessages(replicas, 1_011);
        const promote = { kind: MembershipChangeKind.Promote, diskId: "disk-d" } as const;
        expect(a.changeMembership(promote, 1_012).unwrapErr().code).toBe(ErrorCode.UNAVAILABLE);
        a.tick(1_120);
        exchangeMessages([...replicas, d], 1_120);
        expect(d.lastIndex).toBe(a.lastIndex);
        a.changeMembership(promote, 1_130).unwrap();
        exchangeMessages([...replicas, d], 1_131);
        expect(a.membership.members.map(member => member.role)).toEqual([2, 2, 2, 2]);
    });

    // Guards against a learner that waits forever for a leader that has died, instead of joining at its successor.
    it("forgets a leader that a learner has not heard from for an election timeout", () => {
        const { a, replicas } = startCluster();
        const d = createReplica("d", { entries: [], hardState: create(HardStateSchema, {}) });
        a.changeMembership({ kind: MembershipChangeKind.AddLearner, identity: identityOf("d") }, 1_010).unwrap();
        exchangeMessages(replicas, 1_011);
        a.tick(1_120);
        exchangeMessages([...replicas, d], 1_120);
        d.tick(1_500);
        expect(d.leader?.diskId).toBe("disk-a");
        // Followers wait for a young leader for at most twice the maximum election timeout.
        d.tick(1_120 + 1_600);
        expect(d.leader).toBeUndefined();
        expect(d.takeEffects().at(-1)).toMatchObject({ kind: ReplicaEffectKind.RoleChanged, leader: undefined });
        expect(d.role).toBe(ReplicaRole.Follower);
    });

    // Guards against a learner that waits for a busy leader after each megabyte of the log, and so misses the time in which
    // it has to count.
    it("sends several megabytes of entries before the first acknowledgement", () => {
        const { a } = startCluster();
        let sentBytes = 0;
        for (let record = 0; record < 64; record += 1) {
            a.propose([new Uint8Array(64 * 1024)], 1_010).unwrap();
            const toB = sends(a.takeEffects()).filter(effect => effect.to.name === "b");
            const requests = toB.flatMap(({ message: { body } }) => body.case === "appendRequest" ? body.value : []);
            const bodies = requests.flatMap(request => request.entries).map(sent => sent.body);
            sentBytes += bodies.reduce((sum, body) => sum + (body.case === "data" ? body.value.length : 0), 0);
        }
        expect(sentBytes).toBeGreaterThan(2 * 1024 * 1024);
        // The transport drops messages above 4 MiB.
        expect(sentBytes).toBeLessThan(3.5 * 1024 * 1024);
    });

    it("limits the entries in flight to a peer that does not answer", () => {
        const { a } = startCluster();
        for (let round = 0; round < 20; round += 1) {
            a.propose(Array.from({ length: 1_000 }, () => RECORD), 1_010).unwrap();
            a.takeEffects();
        }
        a.propose([RECORD], 1_011).unwrap();
        expect(sends(a.takeEffects())).toEqual([]);
    });
});

describe("Replica snapshots", () => {
    const CHUNKS = 10;
    const CHUNK_BYTES = 10;
    const limits = { retainedEntries: 0, snapshotChunkBytes: CHUNK_BYTES, inFlightBytes: 8 * CHUNK_BYTES };

    /** Makes `a` the leader, which sends the first chunks of its snapshot to the new learner `d`. */
    const startTransfer = () => {
        const replicas = NAMES.map(name => createReplica(name, { limits }));
        const [a] = replicas as [Replica];
        a.tick(1_000);
        exchangeMessages(replicas, 1_000);
        a.propose([RECORD, RECORD], 1_001).unwrap();
        exchangeMessages(replicas, 1_001);
        const bytes = new Uint8Array(CHUNKS * CHUNK_BYTES).fill(7);
        const header = a.snapshotHeader(bytes);
        a.onSnapshotStored(header);
        const d = createReplica("d", { entries: [], hardState: create(HardStateSchema, {}) });
        a.changeMembership({ kind: MembershipChangeKind.AddLearner, identity: identityOf("d") }, 1_002).unwrap();
        exchangeMessages(replicas, 1_003);
        a.tick(1_100);
        exchangeMessages([...replicas, d], 1_101);
        a.onSnapshotLoaded(header, bytes, 1_102);
        const chunks = sends(a.takeEffects()).map(effect => effect.message)
            .filter(({ body }) => body.case === "snapshotChunk");
        return { a, d, replicas, header, chunks };
    };

    /** Exchanges all messages in each heartbeat interval until a time. */
    const runUntil = (replicas: Replica[], endMs: number, startMs = 1_150) => {
        for (let nowMs = startMs; nowMs <= endMs; nowMs += 50) {
            replicas.forEach(replica => replica.tick(nowMs));
            exchangeMessages(replicas, nowMs);
        }
    };

    // Guards against a transfer that waits for a busy leader after each chunk, and so takes longer than the time in which a
    // learner has to count.
    it("sends chunks ahead of the responses up to the limit of bytes in flight", () => {
        const { d, replicas, header, chunks } = startTransfer();
        const offsets = chunks.map(({ body }) => body.case === "snapshotChunk" ? body.value.offsetBytes : -1);
        expect(offsets).toEqual([0, 10, 20, 30, 40, 50, 60, 70]);
        chunks.forEach(chunk => d.receive(chunk, 1_103));
        exchangeMessages([...replicas, d], 1_104);
        expect(d.commitIndex).toBeGreaterThanOrEqual(header.lastIndex);
    });

    // Guards against a learner that never gets the snapshot because a chunk was lost or it restarted on the way.
    it.each([0, 2, 7])("sends the chunks from a lost one on again, with chunk %i lost", lost => {
        const { d, replicas, header, chunks } = startTransfer();
        chunks.filter((_chunk, index) => index !== lost).forEach(chunk => d.receive(chunk, 1_103));
        runUntil([...replicas, d], 2_000);
        expect(d.commitIndex).toBeGreaterThanOrEqual(header.lastIndex);
    });

    it("starts again for a learner that has restarted during the transfer", () => {
        const { a, d, replicas, header, chunks } = startTransfer();
        chunks.slice(0, 4).forEach(chunk => d.receive(chunk, 1_103));
        sends(d.takeEffects()).forEach(effect => a.receive(effect.message, 1_104));
        const restarted = createReplica("d", { entries: [], hardState: create(HardStateSchema, {}), nowMs: 1_105 });
        runUntil([...replicas, restarted], 2_500);
        expect(restarted.commitIndex).toBeGreaterThanOrEqual(header.lastIndex);
    });

    // Guards against a replica that stays behind for good: it restarts during a transfer, and what the leader sends to it
    // meanwhile is lost (issue 22).
    it("starts again for a learner that was down while chunks were sent again", () => {
        const { a, d, replicas, header, chunks } = startTransfer();
        chunks.slice(0, 4).forEach(chunk => d.receive(chunk, 1_103));
        sends(d.takeEffects()).forEach(effect => a.receive(effect.message, 1_104));
        runUntil(replicas, 2_000);
        const restarted = createReplica("d", { entries: [], hardState: create(HardStateSchema, {}), nowMs: 2_000 });
        runUntil([...replicas, restarted], 4_000, 2_050);
        expect(restarted.commitIndex).toBeGreaterThanOrEqual(header.lastIndex);
    });
});
