import { create } from "@bufbuild/protobuf";
import { MembershipChangeKind } from "@waxwingspread/consensus";
import { MemberRole, MembershipSchema } from "@waxwingspread/protocol";
import type { Membership } from "@waxwingspread/protocol";
import { expect, it } from "vitest";
import { nextMembershipChange } from "./membership-reconciler.js";

const membershipOf = (...members: [name: string, diskId: string, role: MemberRole][]): Membership =>
    create(MembershipSchema, {
        members: members.map(([name, diskId, role]) => ({ identity: { name, diskId, address: `${name}:1` }, role })),
    });

const sinceContactMs = (sinceContactByDisk: Readonly<Record<string, number>>) => (diskId: string): number | undefined =>
    sinceContactByDisk[diskId];

const { LEARNER, VOTER } = MemberRole;

// Guards against a replica that is not promoted after its disk was wiped, so that the next loss breaks the quorum.
it("promotes a replica with a new disk and then removes the former member of the same name", () => {
    const joined = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["c", "c2", LEARNER]);
    expect(nextMembershipChange(joined, 3, sinceContactMs({}))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "c2",
    });
    const promoted = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["c", "c2", VOTER]);
    expect(nextMembershipChange(promoted, 3, sinceContactMs({}))).toEqual({
        kind: MembershipChangeKind.Remove,
        diskId: "c1",
    });
});

// Guards against the removal of a voter without a replacement, which would shrink the quorum.
it("keeps an unresponsive voter until a learner can replace it", () => {
    const voters = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER]);
    expect(nextMembershipChange(voters, 3, sinceContactMs({ c1: 60_000 }))).toBeUndefined();
    const spare = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    expect(nextMembershipChange(spare, 3, sinceContactMs({ c1: 2_000 }))).toBeUndefined();
    expect(nextMembershipChange(spare, 3, sinceContactMs({ c1: 5_000 }))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "d1",
    });
});

// Guards against a cluster that stays at its three initial voters although it must tolerate more failures.
it("promotes learners until the target number of voters is reached", () => {
    const founders = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    expect(nextMembershipChange(founders, 3, sinceContactMs({}))).toBeUndefined();
    expect(nextMembershipChange(founders, 5, sinceContactMs({}))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "d1",
    });
});
