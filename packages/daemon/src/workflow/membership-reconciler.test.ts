import { create } from "@bufbuild/protobuf";
import { MembershipChangeKind } from "@waxwingspread/consensus";
import type { MembershipChange } from "@waxwingspread/consensus";
import { MemberRole, MembershipSchema } from "@waxwingspread/protocol";
import type { Membership } from "@waxwingspread/protocol";
import { expect, it } from "vitest";
import { nextMembershipChange, voterStatusOf } from "./membership-reconciler.js";
import type { SinceContactMs } from "./membership-reconciler.js";
import type { VoterStatus } from "./operations.js";
import type { FaultTolerance } from "./voter-plan.js";

const membershipOf = (...members: [name: string, diskId: string, role: MemberRole][]): Membership =>
    create(MembershipSchema, {
        members: members.map(([name, diskId, role]) => ({ identity: { name, diskId, address: `${name}:1` }, role })),
    });

const sinceContactMs = (sinceContactByDisk: Readonly<Record<string, number>>) => (diskId: string): number | undefined =>
    sinceContactByDisk[diskId];

const { LEARNER, VOTER } = MemberRole;

const CATCH_UP_MS = 6_000;

/** Returns the next change if the learners with these disks don't have the whole log yet. */
const changeFor = (
    membership: Membership,
    tolerance: FaultTolerance,
    contact: SinceContactMs,
    laggingDisks: readonly string[] = [],
): MembershipChange | undefined =>
    nextMembershipChange(membership, { tolerance, catchUpMs: CATCH_UP_MS }, {
        sinceContactMs: contact,
        isCaughtUp: diskId => !laggingDisks.includes(diskId),
    });

const statusFor = (membership: Membership, tolerance: FaultTolerance, contact: SinceContactMs): VoterStatus =>
    voterStatusOf(membership, { tolerance, catchUpMs: CATCH_UP_MS }, {
        sinceContactMs: contact,
        isCaughtUp: () => true,
    });

/** Requires three voters. */
const ONE_LOSS = { machines: 1, zones: 1 };
/** Requires five voters. */
const TWO_LOSSES = { machines: 2, zones: 1 };

/** Creates members named after their zone and a number, such as `x1` in zone `x`; voters first. */
const zonedMembership = (voters: readonly string[], learners: readonly string[]): Membership => {
    const memberOf = (name: string, role: MemberRole) => ({
        identity: { name, diskId: name, address: `${name}:1`, availabilityZone: name.slice(0, 1) },
        role,
    });
    return create(MembershipSchema, {
        members: [...voters.map(name => memberOf(name, VOTER)), ...learners.map(name => memberOf(name, LEARNER))],
    });
};

// Guards against a replica that is not promoted after its disk was wiped, so that the next loss breaks the quorum.
it("removes the former member of the same name and then promotes a replica with a new disk", () => {
    const joined = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["c", "c2", LEARNER]);
    expect(changeFor(joined, ONE_LOSS, sinceContactMs({}))).toEqual({
        kind: MembershipChangeKind.Remove,
        diskId: "c1",
    });
    const removed = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c2", LEARNER]);
    expect(changeFor(removed, ONE_LOSS, sinceContactMs({}))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "c2",
    });
    const promoted = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c2", VOTER]);
    expect(changeFor(promoted, ONE_LOSS, sinceContactMs({}))).toBeUndefined();
});

// Guards against a majority that needs the successor of a lost voter while both have votes. When the successor's disk is
// lost as well before the first one is removed, no majority comes back.
it("never has a lost voter and its successor vote together when several disks are lost", () => {
    let members: [name: string, diskId: string, role: MemberRole][] = [
        ["a", "a1", VOTER],
        ["b", "b1", VOTER],
        ["c", "c1", VOTER],
        ["d", "d1", VOTER],
        ["e", "e1", VOTER],
        ["d", "d2", LEARNER],
        ["e", "e2", LEARNER],
    ];
    const voters: string[][] = [];
    for (;;) {
        const change = changeFor(membershipOf(...members), TWO_LOSSES, sinceContactMs({}));
        if (change === undefined || change.kind === MembershipChangeKind.AddLearner) {
            break;
        }
        const { kind, diskId } = change;
        members = kind === MembershipChangeKind.Remove
            ? members.filter(member => member[1] !== diskId)
            : members.map(member => member[1] === diskId ? [member[0], diskId, VOTER] : member);
        voters.push(members.filter(member => member[2] === VOTER).map(member => member[1]));
    }
    expect(voters).toEqual([
        ["a1", "b1", "c1", "e1"],
        ["a1", "b1", "c1", "e1", "d2"],
        ["a1", "b1", "c1", "d2"],
        ["a1", "b1", "c1", "d2", "e2"],
    ]);
});

// Guards against the removal of a voter for a successor that never answers, such as one of a delayed request to join.
it("keeps a voter whose successor does not respond", () => {
    const joined = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["c", "c2", LEARNER]);
    expect(changeFor(joined, ONE_LOSS, sinceContactMs({ c2: 5_000 }))).toBeUndefined();
});

// Guards against a learner without the whole log that keeps the others from being promoted.
it("promotes a learner with the whole log before one that lags in a better zone", () => {
    const membership = zonedMembership(["x1", "x2", "y1"], ["x3", "z1"]);
    expect(changeFor(membership, TWO_LOSSES, sinceContactMs({}), ["z1"])).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "x3",
    });
    expect(changeFor(membership, TWO_LOSSES, sinceContactMs({}), ["x3", "z1"])).toBeUndefined();
});

// Guards against the removal of a voter without a replacement, which would shrink the quorum.
it("keeps an unresponsive voter until a learner can replace it", () => {
    const voters = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER]);
    expect(changeFor(voters, ONE_LOSS, sinceContactMs({ c1: 60_000 }))).toBeUndefined();
    const spare = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    expect(changeFor(spare, ONE_LOSS, sinceContactMs({ c1: 2_000 }))).toBeUndefined();
    expect(changeFor(spare, ONE_LOSS, sinceContactMs({ c1: 5_000 }))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "d1",
    });
});

// Guards against a voter that is replaced only after the time in which its successor must count, so that the next loss of
// a disk takes what was acknowledged.
it("replaces a silent voter well within the catch-up time", () => {
    const spare = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    const changeAfter = (sinceContact: number, catchUpMs: number): MembershipChange | undefined =>
        nextMembershipChange(spare, { tolerance: ONE_LOSS, catchUpMs }, {
            sinceContactMs: sinceContactMs({ c1: sinceContact }),
            isCaughtUp: () => true,
        });
    const promotion = { kind: MembershipChangeKind.Promote, diskId: "d1" };
    expect(changeAfter(1_300, 4_000)).toBeUndefined();
    expect(changeAfter(1_400, 4_000)).toEqual(promotion);
    expect(changeAfter(1_400, 6_000)).toBeUndefined();
    expect(changeAfter(2_100, 6_000)).toEqual(promotion);
});

// Guards against a cluster that stays at its three initial voters although it must tolerate more failures.
it("promotes learners until the target number of voters is reached", () => {
    const founders = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    expect(changeFor(founders, ONE_LOSS, sinceContactMs({}))).toBeUndefined();
    expect(changeFor(founders, TWO_LOSSES, sinceContactMs({}))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "d1",
    });
});

// Guards against too few voters on two VMs with a disk per zone, where two lost disks took all copies (issue 19).
it("grows six replicas in three zones to five voters, at most two in a zone", () => {
    let voters = ["x1", "y1", "z1"];
    let learners = ["x2", "y2", "z2"];
    for (;;) {
        const change = changeFor(zonedMembership(voters, learners), TWO_LOSSES, sinceContactMs({}));
        if (change?.kind !== MembershipChangeKind.Promote) {
            expect(change).toBeUndefined();
            break;
        }
        const promoted = change.diskId;
        voters = [...voters, promoted];
        learners = learners.filter(name => name !== promoted);
    }
    expect(voters).toHaveLength(5);
    expect(learners).toHaveLength(1);
    expect(["x", "y", "z"].every(zone => voters.filter(name => name.startsWith(zone)).length <= 2)).toBe(true);
});

// Guards against a zone that gains the votes of other zones, so that its loss takes the majority.
it("promotes the learner in the zone with the fewest voters", () => {
    const membership = zonedMembership(["x1", "x2", "y1"], ["x3", "z1"]);
    expect(changeFor(membership, TWO_LOSSES, sinceContactMs({}))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "z1",
    });
});

// Guards against votes that stay concentrated in one zone after the replicas of another zone have come back.
it("moves a vote from a zone with too many voters to a zone with too few", () => {
    const gathered = zonedMembership(["x1", "x2", "y1"], ["z1"]);
    expect(changeFor(gathered, ONE_LOSS, sinceContactMs({}))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "z1",
    });
    const promoted = zonedMembership(["x1", "x2", "y1", "z1"], []);
    const isThisReplica = (diskId: string): number | undefined => diskId === "x1" ? undefined : 0;
    expect(changeFor(promoted, ONE_LOSS, isThisReplica)).toEqual({
        kind: MembershipChangeKind.Remove,
        diskId: "x2",
    });
    expect(changeFor(zonedMembership(["x1", "y1", "z1"], ["x2"]), ONE_LOSS, isThisReplica)).toBeUndefined();
});

// Guards against a shortfall of voters that nothing reports (issue 19).
it("reports whether the voters suffice for the tolerated losses", () => {
    const tooFew = zonedMembership(["x1", "y1", "z1"], []);
    expect(statusFor(tooFew, TWO_LOSSES, sinceContactMs({})))
        .toEqual({ voters: 3, targetVoters: 5, tolerableLosses: 1, isSufficient: false });
    const enough = zonedMembership(["x1", "x2", "y1", "y2", "z1"], ["z2"]);
    expect(statusFor(enough, TWO_LOSSES, sinceContactMs({})))
        .toEqual({ voters: 5, targetVoters: 5, tolerableLosses: 2, isSufficient: true });
    expect(statusFor(enough, TWO_LOSSES, sinceContactMs({ x2: 5_000 })))
        .toEqual({ voters: 4, targetVoters: 5, tolerableLosses: 1, isSufficient: false });
});
