import { create } from "@bufbuild/protobuf";
import { MembershipChangeKind } from "@waxwingspread/consensus";
import type { MembershipChange, ReplicaRunner } from "@waxwingspread/consensus";
import { MemberRole, ReplicaIdentitySchema } from "@waxwingspread/protocol";
import type { Member, Membership } from "@waxwingspread/protocol";
import type { Logger } from "pino";
import { JoinQueue } from "./join-queue.js";
import type { JoinRequest, VoterStatus } from "./operations.js";
import { majorityOf, planVoters } from "./voter-plan.js";
import type { FaultTolerance, VoterPlan } from "./voter-plan.js";

/**
 * Part of the catch-up time after which a silent voter may be replaced by a learner that has the whole log. The rest is
 * for an election before, if the voter was the leader, and for the changes after it.
 */
const REPLACE_VOTER_RATIO = 1 / 3;
/** Time without contact after which a learner is removed. */
const REMOVE_LEARNER_AFTER_MS = 20_000;

/** Returns the time since the last contact to a member; undefined for this replica. */
export type SinceContactMs = (diskId: string) => number | undefined;

/** What a leader knows about the members. */
export interface MemberContacts {
    sinceContactMs: SinceContactMs;
    /** Returns whether a member has the whole log. */
    isCaughtUp: (diskId: string) => boolean;
}

/** Requirements that the membership has to meet. */
export interface MembershipRequirements {
    tolerance: FaultTolerance;
    /** Time after the start of a replica within which it must count; the next loss may come after it. */
    catchUpMs: number;
}

/** Construction parameters of a {@link MembershipReconciler}. */
export interface MembershipReconcilerOptions {
    runner: ReplicaRunner;
    requirements: MembershipRequirements;
    logger: Logger;
}

/**
 * Maintains the membership without an operator: replicas that request to join become learners, a learner that has the
 * whole log is promoted if a voter is missing, and a voter whose disk was replaced or that is unresponsive is removed.
 */
export class MembershipReconciler {
    readonly #runner: ReplicaRunner;
    readonly #requirements: MembershipRequirements;
    readonly #logger: Logger;
    readonly #joinQueue = new JoinQueue();
    #loggedStatus = "";

    constructor(options: MembershipReconcilerOptions) {
        this.#runner = options.runner;
        this.#requirements = options.requirements;
        this.#logger = options.logger;
    }

    /**
     * Adds a replica as a learner and returns whether it is a member. If another change is in progress, the replica is
     * added after it. Succeeds on the leader only.
     */
    join(request: JoinRequest, nowMs: number): boolean {
        this.#joinQueue.push(request, nowMs);
        this.#addNextLearner(nowMs);
        return this.#isMember(request.diskId);
    }

    /** Proposes the next membership change, if one is needed; otherwise logs a change of the voter status. */
    run(nowMs: number): void {
        if (this.#addNextLearner(nowMs)) {
            return;
        }
        const { membership } = this.#runner.replica;
        const change = nextMembershipChange(membership, this.#requirements, this.#contacts(nowMs));
        if (change === undefined) {
            this.#logStatus(this.status(nowMs));
        }
        else {
            this.#propose(change, nowMs);
        }
    }

    /** Returns how the responsive voters compare with the number that the tolerance requires. */
    status(nowMs: number): VoterStatus {
        const { membership } = this.#runner.replica;
        return voterStatusOf(membership, this.#requirements, this.#contacts(nowMs));
    }

    /** Returns whether a request to join is waiting, which comes before other changes since a copy of the log takes time. */
    #addNextLearner(nowMs: number): boolean {
        const request = this.#joinQueue.next(diskId => this.#isMember(diskId), nowMs);
        if (request === undefined) {
            return false;
        }
        const { name, diskId, address, availabilityZone } = request;
        const identity = create(ReplicaIdentitySchema, { name, diskId, address, availabilityZone });
        this.#propose({ kind: MembershipChangeKind.AddLearner, identity }, nowMs);
        return true;
    }

    #isMember(diskId: string): boolean {
        const { members } = this.#runner.replica.membership;
        return members.some(member => member.identity?.diskId === diskId);
    }

    #contacts(nowMs: number): MemberContacts {
        const { replica } = this.#runner;
        return {
            sinceContactMs: diskId => replica.sinceContactMs(diskId, nowMs),
            isCaughtUp: diskId => replica.isCaughtUp(diskId, nowMs),
        };
    }

    #propose(change: MembershipChange, nowMs: number): void {
        const result = this.#runner.changeMembership(change, nowMs);
        if (result.isOk()) {
            const fields = { change: change.kind, member: memberNameOf(change), lastIndex: result.value };
            this.#logger.info(fields, "membership change proposed");
        }
    }

    #logStatus(status: VoterStatus): void {
        const text = JSON.stringify(status);
        if (text === this.#loggedStatus) {
            return;
        }
        this.#loggedStatus = text;
        if (status.isSufficient) {
            this.#logger.info(status, "voters suffice for the tolerated losses");
        }
        else {
            const { tolerance } = this.#requirements;
            this.#logger.warn({ ...status, tolerance }, "too few voters for the tolerated losses");
        }
    }
}

const memberNameOf = (change: MembershipChange): string =>
    change.kind === MembershipChangeKind.AddLearner ? change.identity.name : change.diskId;

const diskIdOf = (member: Member): string => member.identity?.diskId ?? "";

/** Returns a member's zone. A replica without a recorded zone counts as alone in a zone. */
const zoneOf = ({ identity }: Member): string => {
    const zone = identity?.availabilityZone ?? "";
    return zone === "" ? `disk ${identity?.diskId ?? ""}` : zone;
};

const countByZone = (members: readonly Member[]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const member of members) {
        counts.set(zoneOf(member), (counts.get(zoneOf(member)) ?? 0) + 1);
    }
    return counts;
};

/** Members of a cluster by role and availability, with the plan for their votes. */
class MembershipView {
    readonly voters: Member[];
    readonly learners: Member[];
    readonly plan: VoterPlan;
    readonly #members: Member[];
    readonly #contacts: MemberContacts;
    readonly #replaceVoterAfterMs: number;

    constructor({ members }: Membership, requirements: MembershipRequirements, contacts: MemberContacts) {
        this.#members = members;
        this.#contacts = contacts;
        this.#replaceVoterAfterMs = requirements.catchUpMs * REPLACE_VOTER_RATIO;
        this.voters = members.filter(member => member.role === MemberRole.VOTER);
        this.learners = members.filter(member => member.role === MemberRole.LEARNER);
        const replicas = members.filter(member => !this.isReplaced(member));
        this.plan = planVoters([...countByZone(replicas).values()], requirements.tolerance);
    }

    get availableVoters(): Member[] {
        return this.voters.filter(voter => !this.isUnavailable(voter));
    }

    /** Whether a later member has the same name, which means that this member's disk was lost. */
    isReplaced(member: Member): boolean {
        return this.#members
            .slice(this.#members.indexOf(member) + 1)
            .some(later => later.identity?.name === member.identity?.name);
    }

    isSilent(member: Member, timeoutMs: number): boolean {
        return (this.#contacts.sinceContactMs(diskIdOf(member)) ?? 0) > timeoutMs;
    }

    isUnavailable(member: Member): boolean {
        return this.isReplaced(member) || this.isSilent(member, this.#replaceVoterAfterMs);
    }

    /** Returns the available learner with the whole log whose zone has the fewest available voters. */
    nextCandidate(): Member | undefined {
        return this.learners
            .filter(learner => !this.isUnavailable(learner) && this.#contacts.isCaughtUp(diskIdOf(learner)))
            .toSorted((a, b) => this.#votersInZoneOf(a) - this.#votersInZoneOf(b))[0];
    }

    /** Returns a voter whose disk was lost and whose successor has joined and responds. */
    lostVoter(): Member | undefined {
        return this.voters.find(voter => this.isReplaced(voter) && this.#hasAvailableSuccessor(voter));
    }

    /** Returns a voter of a zone that has more voters than planned, preferably one other than this replica. */
    surplusVoter(): Member | undefined {
        return this.availableVoters
            .filter(voter => this.#votersInZoneOf(voter) > this.plan.maxVotersPerZone)
            .toSorted((a, b) => Number(this.#isThisReplica(a)) - Number(this.#isThisReplica(b)))[0];
    }

    /** Whether the candidate's zone has fewer voters than planned. */
    hasRoomInZoneOf(candidate: Member): boolean {
        return this.#votersInZoneOf(candidate) < this.plan.maxVotersPerZone;
    }

    #hasAvailableSuccessor(voter: Member): boolean {
        return this.#members.some(member =>
            member !== voter && member.identity?.name === voter.identity?.name && !this.isUnavailable(member)
        );
    }

    #votersInZoneOf(member: Member): number {
        return countByZone(this.availableVoters).get(zoneOf(member)) ?? 0;
    }

    #isThisReplica(member: Member): boolean {
        return this.#contacts.sinceContactMs(diskIdOf(member)) === undefined;
    }
}

/** Returns the next change towards the planned number and spread of voters; undefined if none is needed or possible. */
export const nextMembershipChange = (
    membership: Membership,
    requirements: MembershipRequirements,
    contacts: MemberContacts,
): MembershipChange | undefined => {
    const view = new MembershipView(membership, requirements, contacts);
    const unavailableVoter = view.voters.find(voter => view.isUnavailable(voter));
    const surplusVoter = view.surplusVoter();
    const removableVoter = unavailableVoter ?? surplusVoter;
    if (removableVoter !== undefined && view.voters.length > view.plan.voters) {
        return { kind: MembershipChangeKind.Remove, diskId: diskIdOf(removableVoter) };
    }
    // A voter whose disk is lost never votes again. While its successor is promoted beside it, the majority needs one more
    // replica, and the loss of the successor's disk would leave no majority for ever.
    const lostVoter = view.lostVoter();
    if (lostVoter !== undefined && view.voters.length >= view.plan.voters) {
        return { kind: MembershipChangeKind.Remove, diskId: diskIdOf(lostVoter) };
    }
    const candidate = view.nextCandidate();
    if (candidate !== undefined) {
        const isVoteFree = view.voters.length < view.plan.voters || unavailableVoter !== undefined;
        const improvesSpread = surplusVoter !== undefined && view.hasRoomInZoneOf(candidate);
        if (isVoteFree || improvesSpread) {
            return { kind: MembershipChangeKind.Promote, diskId: diskIdOf(candidate) };
        }
    }
    const removableLearner = view.learners.find(learner =>
        view.isReplaced(learner) || view.isSilent(learner, REMOVE_LEARNER_AFTER_MS)
    );
    return removableLearner === undefined
        ? undefined
        : { kind: MembershipChangeKind.Remove, diskId: diskIdOf(removableLearner) };
};

/** Returns how the responsive voters compare with the number that the tolerance requires. */
export const voterStatusOf = (
    membership: Membership,
    requirements: MembershipRequirements,
    contacts: MemberContacts,
): VoterStatus => {
    const view = new MembershipView(membership, requirements, contacts);
    const voters = view.availableVoters.length;
    return {
        voters,
        targetVoters: view.plan.requiredVoters,
        tolerableLosses: Math.max(0, voters - majorityOf(view.voters.length)),
        isSufficient: view.plan.isSufficient && voters >= view.plan.requiredVoters
            && view.surplusVoter() === undefined,
    };
};
