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

// Guards against a replica that is not promoted after its disk was wiped, so that the next loss breaks the quorum.
it("promotes a replica with a new disk and then removes the former member of the same name", () => {
    const joined = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["c", "c2", LEARNER]);
    expect(nextChange(joined, 3, silentSince({}))).toEqual({ kind: MembershipChangeKind.Promote, diskId: "c2" });
    const promoted = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["c", "c2", VOTER]);
    expect(nextChange(promoted, 3, silentSince({}))).toEqual({ kind: MembershipChangeKind.Remove, diskId: "c1" });
});

// Guards against the removal of a voter without a replacement, which would leave fewer voters than configured.
it("keeps an unresponsive voter until a learner can replace it", () => {
    const voters = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER]);
    expect(nextChange(voters, 3, silentSince({ c1: 60_000 }))).toBeUndefined();
    const spare = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    expect(nextChange(spare, 3, silentSince({ c1: 2_000 }))).toBeUndefined();
    expect(nextChange(spare, 3, silentSince({ c1: 5_000 }))).toEqual({
        kind: MembershipChangeKind.Promote,
        diskId: "d1",
    });
});

// Guards against a cluster that stays at its three initial voters although it must tolerate more failures.
it("promotes learners until the target number of voters is reached", () => {
    const founders = membershipOf(["a", "a1", VOTER], ["b", "b1", VOTER], ["c", "c1", VOTER], ["d", "d1", LEARNER]);
    expect(nextChange(founders, 3, silentSince({}))).toBeUndefined();
    expect(nextChange(founders, 5, silentSince({}))).toEqual({ kind: MembershipChangeKind.Promote, diskId: "d1" });
});
