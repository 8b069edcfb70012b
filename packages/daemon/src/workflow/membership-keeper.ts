import { create } from "@bufbuild/protobuf";
import { MembershipChangeKind, votersOf } from "@waxwingspread/consensus";
import type { MembershipChange, ReplicaRunner } from "@waxwingspread/consensus";
import { MemberRole, ReplicaIdentitySchema } from "@waxwingspread/protocol";
import type { Member, Membership } from "@waxwingspread/protocol";
import type { Logger } from "pino";
import type { JoinRequest } from "./operations.js";

/** Time without contact after which a voter may be replaced by a learner that has the whole log. */
const REPLACE_VOTER_AFTER_MS = 4_000;
/** Time without contact after which a learner is removed. */
const REMOVE_LEARNER_AFTER_MS = 20_000;

/** Construction parameters of a {@link MembershipKeeper}. */
export interface MembershipKeeperOptions {
    runner: ReplicaRunner;
    /** Number of replicas that may fail at the same time. */
    toleratedLosses: number;
    logger: Logger;
}

/**
 * Maintains the membership without an operator: replicas that request to join become learners, a learner that has the
 * whole log is promoted if a voter is missing, and a voter whose disk was replaced or that is unresponsive is removed.
 */
export class MembershipKeeper {
    readonly #runner: ReplicaRunner;
    readonly #voters: number;
    readonly #logger: Logger;

    constructor(options: MembershipKeeperOptions) {
        this.#runner = options.runner;
        this.#voters = 2 * options.toleratedLosses + 1;
        this.#logger = options.logger;
    }

    /** Adds a replica as a learner and returns whether it is a member. Succeeds on the leader only. */
    join({ name, diskId, address }: JoinRequest, nowMs: number): boolean {
        const { membership } = this.#runner.replica;
        if (membership.members.some(member => member.identity?.diskId === diskId)) {
            return true;
        }
        const identity = create(ReplicaIdentitySchema, { name, diskId, address });
        return this.#change({ kind: MembershipChangeKind.AddLearner, identity }, nowMs);
    }

    /** Proposes the next membership change, if one is needed. */
    run(nowMs: number): void {
        const change = nextChange(
            this.#runner.replica.membership,
            this.#voters,
            diskId => this.#runner.replica.silenceMs(diskId, nowMs),
        );
        if (change !== undefined) {
            this.#change(change, nowMs);
        }
    }

    #change(change: MembershipChange, nowMs: number): boolean {
        const result = this.#runner.changeMembership(change, nowMs);
        if (result.isOk()) {
            this.#logger.info({ change: change.kind, member: memberNameOf(change) }, "membership change proposed");
        }
        return result.isOk();
    }
}

const memberNameOf = (change: MembershipChange): string =>
    change.kind === MembershipChangeKind.AddLearner ? change.identity.name : change.diskId;

/** Returns the next change towards the target number of responsive voters; undefined if none is needed or possible. */
export const nextChange = (
    membership: Membership,
    wantedVoters: number,
    silenceMs: (diskId: string) => number | undefined,
): MembershipChange | undefined => {
    const { members } = membership;
    const isReplaced = (member: Member): boolean =>
        members.slice(members.indexOf(member) + 1).some(later => later.identity?.name === member.identity?.name);
    const silence = (member: Member): number => silenceMs(member.identity?.diskId ?? "") ?? 0;
    const isGone = (member: Member): boolean => isReplaced(member) || silence(member) > REPLACE_VOTER_AFTER_MS;
    const voters = members.filter(member => member.role === MemberRole.VOTER);
    const learners = members.filter(member => member.role === MemberRole.LEARNER);
    const goneVoter = voters.find(isGone);
    if (goneVoter !== undefined && votersOf(membership).length > wantedVoters) {
        return { kind: MembershipChangeKind.Remove, diskId: goneVoter.identity?.diskId ?? "" };
    }
    const candidate = learners.find(learner => !isGone(learner));
    if (candidate !== undefined && (voters.length < wantedVoters || goneVoter !== undefined)) {
        return { kind: MembershipChangeKind.Promote, diskId: candidate.identity?.diskId ?? "" };
    }
    const goneLearner = learners.find(learner => isReplaced(learner) || silence(learner) > REMOVE_LEARNER_AFTER_MS);
    return goneLearner === undefined
        ? undefined
        : { kind: MembershipChangeKind.Remove, diskId: goneLearner.identity?.diskId ?? "" };
};
