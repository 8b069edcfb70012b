import { MembershipChangeKind } from "@waxwingspread/consensus";
import type { MembershipChange } from "@waxwingspread/consensus";
import { MemberRole } from "@waxwingspread/protocol";
import type { Member, Membership, OperatorCommand } from "@waxwingspread/protocol";

/** A membership change requested by an operator. */
export interface RequestedChange {
    change: MembershipChange;
    /** Whether the membership already is as requested, for example because the command was resent. */
    isAlreadyApplied: boolean;
}

const findMember = (membership: Membership, diskId: string): Member | undefined =>
    membership.members.find(member => member.identity?.diskId === diskId);

/** Returns the membership change that a command requests, or undefined for other commands. */
export const toRequestedChange = (command: OperatorCommand, membership: Membership): RequestedChange | undefined => {
    switch (command.kind.case) {
        case "addReplica":
            return {
                change: { kind: MembershipChangeKind.AddLearner, identity: command.kind.value },
                isAlreadyApplied: findMember(membership, command.kind.value.diskId) !== undefined,
            };
        case "promoteReplicaDiskId":
            return {
                change: { kind: MembershipChangeKind.Promote, diskId: command.kind.value },
                isAlreadyApplied: findMember(membership, command.kind.value)?.role === MemberRole.VOTER,
            };
        case "removeReplicaDiskId":
            return {
                change: { kind: MembershipChangeKind.Remove, diskId: command.kind.value },
                isAlreadyApplied: findMember(membership, command.kind.value) === undefined,
            };
        default:
            return undefined;
    }
};
