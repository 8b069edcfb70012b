import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import {
    AppendRequestSchema,
    HardStateSchema,
    LogEntrySchema,
    ReplicaIdentitySchema,
    ReplicaMessageSchema,
} from "@waxwingspread/protocol";
import type { ReplicaMessage } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { DiskSpace } from "./disk-space.js";
import { initialMembership } from "./membership.js";
import { Replica } from "./replica.js";
import { ReplicaEffectKind, ReplicaRole } from "./types.js";
import type { ReplicaEffect, SendEffect } from "./types.js";

const identityOf = (name: string) =>
    create(ReplicaIdentitySchema, { name, diskId: `disk-${name}`, address: `address-${name}` });

const FIRST = create(LogEntrySchema, {
    index: 1,
    term: 1,
    body: { case: "membership", value: initialMembership(["a", "b", "c"].map(identityOf)) },
});

const createReplica = (name: string) =>
    new Replica({
        identity: identityOf(name),
        persisted: { hardState: create(HardStateSchema, { term: 1 }), entries: [FIRST] },
        random: new SeededRandom(1),
    }, 0);

const message = (from: string, to: string, term: number, body: ReplicaMessage["body"]) =>
    create(ReplicaMessageSchema, { fromDiskId: `disk-${from}`, toDiskId: `disk-${to}`, term, body });

const voteRequest = (preVote: boolean, handover = false): ReplicaMessage["body"] => ({
    case: "voteRequest",
    value: { $typeName: "waxwingspread.v1.VoteRequest", lastIndex: 1, lastTerm: 1, preVote, handover },
});

const sends = (effects: ReplicaEffect[]) =>
    effects.filter((effect): effect is SendEffect => effect.kind === ReplicaEffectKind.Send);

const completeWrites = (replica: Replica, nowMs: number) => {
    const effects = replica.takeEffects();
    for (const effect of effects) {
        if (effect.kind === ReplicaEffectKind.Persist) {
            replica.onPersisted(effect.token, nowMs);
        }
    }
    return effects;
};

const appendResponse = (matchIndex: number, sentAtMs: number): ReplicaMessage["body"] => ({
    case: "appendResponse",
    value: { $typeName: "waxwingspread.v1.AppendResponse", success: true, matchIndex, sentAtMs },
});

/** Returns replica `a` as the leader of term 2 with entries up to index 2, which `b` and `c` have stored. */
const createLeader = () => {
    const a = createReplica("a");
    a.tick(1_000);
    const granted = { $typeName: "waxwingspread.v1.VoteResponse", granted: true } as const;
    a.receive(message("b", "a", 2, { case: "voteResponse", value: { ...granted, preVote: true } }), 1_001);
    completeWrites(a, 1_002);
    a.receive(message("b", "a", 2, { case: "voteResponse", value: { ...granted, preVote: false } }), 1_003);
    completeWrites(a, 1_004);
    a.receive(message("b", "a", 2, appendResponse(2, 1_004)), 1_005);
    a.receive(message("c", "a", 2, appendResponse(2, 1_004)), 1_005);
    expect(a.role).toBe(ReplicaRole.Leader);
    a.takeEffects();
    return a;
};

describe("a replica whose disk is full", () => {
    // Guards against votes that aren't durable, and against a term in memory that the replica can't store.
    it.each([[true, false], [false, false], [false, true]])(
        "refuses a vote (pre-vote %s, handover %s) without taking over the term",
        (preVote, handover) => {
            const b = createReplica("b");
            b.setDiskFull(true, 1_000);
            b.receive(message("a", "b", 2, voteRequest(preVote, handover)), 1_000);
            const effects = b.takeEffects();
            expect(sends(effects).map(({ message: { body } }) => body.value)).toMatchObject([{
                granted: false,
                preVote,
            }]);
            expect(effects.some(effect => effect.kind === ReplicaEffectKind.Persist)).toBe(false);
            expect(b.term).toBe(1);
            b.setDiskFull(false, 1_001);
            b.receive(message("a", "b", 2, voteRequest(preVote, handover)), 1_001);
            const later = [...completeWrites(b, 1_002), ...b.takeEffects()];
            expect(sends(later)[0]?.message.body.value).toMatchObject({ granted: true });
        },
    );

    // Guards against elections that it can't win.
    it("starts no election, and one as usual when there is room", () => {
        const b = createReplica("b");
        b.setDiskFull(true, 0);
        for (let nowMs = 0; nowMs <= 5_000; nowMs += 20) {
            b.tick(nowMs);
        }
        expect(b.takeEffects()).toEqual([]);
        b.setDiskFull(false, 5_000);
        b.tick(5_900);
        expect(b.role).toBe(ReplicaRole.PreCandidate);
    });

    // Guards against a handover to a replica that can't vote for itself.
    it("takes no leadership over", () => {
        const b = createReplica("b");
        const heartbeat = {
            previousIndex: 1,
            previousTerm: 1,
            commitIndex: 1,
            sentAtMs: 10,
        };
        const value = create(AppendRequestSchema, heartbeat);
        b.receive(message("a", "b", 1, { case: "appendRequest", value }), 10);
        b.setDiskFull(true, 11);
        const request = { $typeName: "waxwingspread.v1.HandoverRequest" } as const;
        b.receive(message("a", "b", 1, { case: "handoverRequest", value: request }), 12);
        expect(b.role).toBe(ReplicaRole.Follower);
        expect(b.term).toBe(1);
    });
});

describe("a leader whose disk becomes full", () => {
    // Guards against a handover to a replica whose disk is full as well, which would leave the cluster without a leader.
    it("hands over as soon as a majority of the others has stored what it couldn't", () => {
        const a = createLeader();
        a.propose([Buffer.from("record")], 1_010).unwrap();
        a.takeEffects();
        a.setDiskFull(true, 1_020);
        a.tick(1_020);
        a.receive(message("b", "a", 2, appendResponse(3, 1_010)), 1_025);
        const handovers = () =>
            sends(a.takeEffects()).filter(({ message: { body } }) => body.case === "handoverRequest");
        expect(handovers()).toEqual([]);
        expect(a.propose([Buffer.from("record")], 1_026).isOk()).toBe(true);
        a.receive(message("c", "a", 2, appendResponse(3, 1_010)), 1_030);
        expect(a.propose([Buffer.from("record")], 1_031).isErr()).toBe(true);
        a.receive(message("b", "a", 2, appendResponse(4, 1_026)), 1_035);
        a.receive(message("c", "a", 2, appendResponse(4, 1_026)), 1_035);
        expect(new Set(handovers().map(({ to }) => to.diskId)).size).toBe(1);
    });

    // Guards against callers that wait for a leader which can commit nothing.
    it("steps down if no majority of the others takes writes", () => {
        const a = createLeader();
        a.propose([Buffer.from("record")], 1_010).unwrap();
        a.setDiskFull(true, 1_020);
        for (let nowMs = 1_020; nowMs <= 1_840; nowMs += 20) {
            a.receive(message("b", "a", 2, appendResponse(3, nowMs)), nowMs);
            a.receive(message("c", "a", 2, appendResponse(2, nowMs)), nowMs);
            a.tick(nowMs);
        }
        expect(a.role).toBe(ReplicaRole.Follower);
    });

    // Guards against a change of the leader for a moment without room.
    it("leads on if the disk takes writes again before", () => {
        const a = createLeader();
        a.propose([Buffer.from("record")], 1_010).unwrap();
        a.setDiskFull(true, 1_020);
        a.tick(1_020);
        a.setDiskFull(false, 1_200);
        for (let nowMs = 1_200; nowMs <= 2_400; nowMs += 20) {
            a.receive(message("b", "a", 2, appendResponse(3, nowMs)), nowMs);
            a.receive(message("c", "a", 2, appendResponse(3, nowMs)), nowMs);
            a.tick(nowMs);
        }
        expect(a.role).toBe(ReplicaRole.Leader);
        expect(a.propose([Buffer.from("record")], 2_401).isOk()).toBe(true);
    });
});

describe("DiskSpace", () => {
    // Guards against a full disk that is tried without pause, or reported with each attempt.
    it("allows an attempt 200 ms after the last one, and reports changes only", () => {
        const space = new DiskSpace();
        expect(space.recordRefusedWrite(100)).toBe(true);
        expect([space.mayWrite(299), space.mayWrite(300), space.mayTakeSnapshot(300)]).toEqual([false, true, false]);
        expect(space.recordRefusedWrite(300)).toBe(false);
        expect(space.recordWrite(500)).toBe(400);
        expect(space.recordWrite(501)).toBeUndefined();
        expect(space.mayTakeSnapshot(501)).toBe(true);
    });
});
