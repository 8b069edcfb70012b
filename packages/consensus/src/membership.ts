import { create } from "@bufbuild/protobuf";
import { StepError } from "@waxwingspread/common";
import { ErrorCode, MemberRole, MemberSchema, MembershipSchema } from "@waxwingspread/protocol";
import type { Member, Membership, ReplicaIdentity } from "@waxwingspread/protocol";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { MembershipChangeKind } from "./types.js";
import type { MembershipChange } from "./types.js";

const STEP = "change membership";

/** Returns the voting members' identities. */
export const votersOf = (membership: Membership): ReplicaIdentity[] =>
    membership.members.flatMap(member =>
        member.role === MemberRole.VOTER && member.identity !== undefined ? [member.identity] : []
    );

/** Returns the member with this disk id. */
export const memberOf = (membership: Membership, diskId: string): Member | undefined =>
    membership.members.find(member => member.identity?.diskId === diskId);

/** Returns whether the disk id belongs to a voter. */
export const isVoter = (membership: Membership, diskId: string): boolean =>
    memberOf(membership, diskId)?.role === MemberRole.VOTER;

/**
 * Returns the largest value that a majority has reached, given the value of each voter; `undefined` without
 * voters.
 */
export const majorityValue = (values: number[]): number | undefined => {
    const descending = values.toSorted((a, b) => b - a);
    return descending[Math.floor(values.length / 2)];
};

/** Returns the initial membership: all identities as voters, sorted by name so that all peers derive the same. */
export const initialMembership = (identities: readonly ReplicaIdentity[]): Membership => {
    const sorted = identities.toSorted((a, b) => a.name < b.name ? -1 : Number(a.name > b.name));
    return create(MembershipSchema, {
        members: sorted.map(identity => create(MemberSchema, { identity, role: MemberRole.VOTER })),
    });
};

const invalid = (peer: string, message: string): Err<StepError> =>
    Err(new StepError(ErrorCode.INVALID, STEP, peer, message));

const addLearner = (membership: Membership, identity: ReplicaIdentity): Result<Membership, StepError> => {
    if (identity.diskId === "" || identity.address === "") {
        return invalid(identity.name, "a new member needs a disk id and an address");
    }
    if (memberOf(membership, identity.diskId) !== undefined) {
        return invalid(identity.name, "this disk is already a member");
    }
    const member = create(MemberSchema, { identity, role: MemberRole.LEARNER });
    return Ok(create(MembershipSchema, { members: [...membership.members, member] }));
};

const promote = (membership: Membership, diskId: string): Result<Membership, StepError> => {
    const learner = memberOf(membership, diskId);
    if (learner?.role !== MemberRole.LEARNER) {
        return invalid(diskId, "this disk is not a learner");
    }
    const voter = create(MemberSchema, { identity: learner.identity, role: MemberRole.VOTER });
    const members = membership.members.map(member => member === learner ? voter : member);
    return Ok(create(MembershipSchema, { members }));
};

const remove = (membership: Membership, diskId: string): Result<Membership, StepError> => {
    const removed = memberOf(membership, diskId);
    if (removed === undefined) {
        return invalid(diskId, "this disk is not a member");
    }
    const changed = create(MembershipSchema, { members: membership.members.filter(member => member !== removed) });
    if (votersOf(changed).length === 0) {
        return invalid(diskId, "the last voter cannot be removed");
    }
    return Ok(changed);
};

/** Returns the membership after a change, or INVALID. */
export const applyMembershipChange = (
    membership: Membership,
    change: MembershipChange,
): Result<Membership, StepError> => {
    switch (change.kind) {
        case MembershipChangeKind.AddLearner:
            return addLearner(membership, change.identity);
        case MembershipChangeKind.Promote:
            return promote(membership, change.diskId);
        case MembershipChangeKind.Remove:
            return remove(membership, change.diskId);
    }
};
