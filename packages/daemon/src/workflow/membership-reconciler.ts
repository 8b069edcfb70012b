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

/** Construction parameters of a {@link MembershipReconciler}. */
export interface MembershipReconcilerOptions {
    runner: ReplicaRunner;
    /** Number of replicas that may fail at the same time. */
    toleratedLosses: number;
    logger: Logger;
}

/**
 * Maintains the membership without an operator: replicas that request to join become learners, a learner that has the
 * whole log is promoted if a voter is missing, and a voter whose disk was replaced or that is unresponsive is removed.
 */
export class MembershipReconciler {
    readonly #runner: ReplicaRunner;
    readonly #targetVoters: number;
    readonly #logger: Logger;

    constructor(options: MembershipReconcilerOptions) {
        this.#runner = options.runner;
        this.#targetVoters = 2 * options.toleratedLosses + 1;
        this.#logger = options.logger;
    }

    /** Adds a replica as a learner and returns whether it is a member. Succeeds on the leader only. */
    join({ name, diskId, address }: JoinRequest, nowMs: number): boolean {
        const { membership } = this.#runner.replica;
        if (membership.members.some(member => member.identity?.diskId === diskId)) {
            return true;
        }
        const identity = create(ReplicaIdentitySchema, { name, diskId, address });
        return this.#propose({ kind: MembershipChangeKind.AddLearner, identity }, nowMs);
    }

    /** Proposes the next membership change, if one is needed. */
    run(nowMs: number): void {
        const change = nextMembershipChange(
            this.#runner.replica.membership,
            this.#targetVoters,
            diskId => this.#runner.replica.sinceContactMs(diskId, nowMs),
        );
        if (change !== undefined) {
            this.#propose(change, nowMs);
        }
    }

    #propose(change: MembershipChange, nowMs: number): boolean {
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
export const nextMembershipChange = (
    membership: Membership,
    targetVoters: number,
    sinceContactMs: (diskId: string) => number | undefined,
): MembershipChange | undefined => {
    const { members } = membership;
    const isReplaced = (member: Member): boolean =>
        members.slice(members.indexOf(member) + 1).some(later => later.identity?.name === member.identity?.name);
    const sinceContactMsOf = (member: Member): number => sinceContactMs(member.identity?.diskId ?? "") ?? 0;
    const isUnavailable = (member: Member): boolean =>
        isReplaced(member) || sinceContactMsOf(member) > REPLACE_VOTER_AFTER_MS;
    const voters = members.filter(member => member.role === MemberRole.VOTER);
    const learners = members.filter(member => member.role === MemberRole.LEARNER);
    const unavailableVoter = voters.find(isUnavailable);
    if (unavailableVoter !== undefined && votersOf(membership).length > targetVoters) {
        return { kind: MembershipChangeKind.Remove, diskId: unavailableVoter.identity?.diskId ?? "" };
    }
    const candidate = learners.find(learner => !isUnavailable(learner));
    if (candidate !== undefined && (voters.length < targetVoters || unavailableVoter !== undefined)) {
        return { kind: MembershipChangeKind.Promote, diskId: candidate.identity?.diskId ?? "" };
    }
    const removableLearner = learners.find(learner =>
        isReplaced(learner) || sinceContactMsOf(learner) > REMOVE_LEARNER_AFTER_MS
    );
    return removableLearner === undefined
        ? undefined
        : { kind: MembershipChangeKind.Remove, diskId: removableLearner.identity?.diskId ?? "" };
};
