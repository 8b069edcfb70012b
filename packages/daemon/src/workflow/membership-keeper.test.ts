import { create } from "@bufbuild/protobuf";
import { MembershipChangeKind } from "@waxwingspread/consensus";
import { MemberRole, MembershipSchema } from "@waxwingspread/protocol";
import type { Membership } from "@waxwingspread/protocol";
import { expect, it } from "vitest";
import { nextChange } from "./membership-keeper.js";

const membershipOf = (...members: [name: string, diskId: string, role: MemberRole][]): Membership =>
    create(MembershipSchema, {
        members: members.map(([name, diskId, role]) => ({ identity: { name, diskId, address: `${name}:1` }, role })),
    });

const silentSince = (silences: Readonly<Record<string, number>>) => (diskId: string): number | undefined =>
    silences[diskId];

const { LEARNER, VOTER } = MemberRole;

// Guards against a wiped replica that stays without a vote, so that the next loss stops the cluster.
it("promotes the replica on a new disk, and then removes the former one of the same name", () => {
    const joined = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["c", "c2", LEARNER]);
    expect(nextChange(joined, 3, silentSince({}))).toEqual({ kind: MembershipChangeKind.Promote, diskId: "c2" });
    const promoted = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["c", "c2", VOTER]);
    expect(nextChange(promoted, 3, silentSince({}))).toEqual({ kind: MembershipChangeKind.Remove, diskId: "c1" });
});

// Guards against a voter removed without a successor, which would shrink the quorum.
it("keeps a silent voter until a learner can replace it", () => {
    const voters = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER]);
    expect(nextChange(voters, 3, silentSince({ c1: 60_000 }))).toBeUndefined();
    const spare = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    expect(nextChange(spare, 3, silentSince({ c1: 2_000 }))).toBeUndefined();
    expect(nextChange(spare, 3, silentSince({ c1: 5_000 }))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "d1",
    });
});

// Guards against a cluster that stays at its three founders where more losses are to be borne.
it("promotes learners until there are as many voters as wanted", () => {
    const founders = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    expect(nextChange(founders, 3, silentSince({}))).toBeUndefined();
    expect(nextChange(founders, 5, silentSince({}))).toEqual({ kind: MembershipChangeKind.Promote, diskId: "d1" });
});
