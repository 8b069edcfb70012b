import { create } from "@bufbuild/protobuf";
import { VoteRequestSchema, VoteResponseSchema } from "@waxwingspread/protocol";
import type { ReplicaMessage, VoteRequest, VoteResponse } from "@waxwingspread/protocol";
import type { ReplicaCore } from "./core.js";
import { isVoter, votersOf } from "./membership.js";
import { RoleEvent } from "./role-machine.js";
import { ReplicaRole } from "./types.js";

/** Runs this replica's pre-votes and elections and answers the vote requests of other replicas. */
export class Election {
    readonly #core: ReplicaCore;
    readonly #onWon: () => void;
    #grantedDiskIds = new Set<string>();
    #isHandover = false;

    constructor(core: ReplicaCore, onWon: () => void) {
        this.#core = core;
        this.#onWon = onWon;
    }

    /**
     * Requests pre-votes if the election timeout has passed. A replica without a vote, or that can't store its own, only
     * forgets its leader.
     */
    tick(): void {
        const core = this.#core;
        if (core.timerNowMs < core.electionDeadlineMs) {
            return;
        }
        core.resetElectionTimer();
        if (!core.isVoter || core.isDiskFull) {
            core.becomeFollower(core.term, "");
            return;
        }
        this.#isHandover = false;
        this.#grantedDiskIds = new Set([core.identity.diskId]);
        core.handleRoleEvent(RoleEvent.ElectionTimeout);
        this.#requestVotes(core.term + 1, true);
        this.#countPreVotes();
    }

    /** Starts an election without a pre-vote, because the leader requested a handover to this replica. */
    takeOver(): void {
        const core = this.#core;
        if (!core.isVoter || core.isDiskFull || core.role !== ReplicaRole.Follower) {
            return;
        }
        this.#isHandover = true;
        core.handleRoleEvent(RoleEvent.Handover);
        this.#campaign();
    }

    /** Counts the replica's own vote once it is synced. */
    onDurable(): void {
        const core = this.#core;
        if (core.role === ReplicaRole.Candidate && core.isHardStateDurable) {
            this.#grantedDiskIds.add(core.identity.diskId);
            this.#countVotes();
        }
    }

    onVoteRequest(message: ReplicaMessage, request: VoteRequest): void {
        const core = this.#core;
        const isUpToDate = this.#isUpToDate(request);
        const isRefused = core.isDiskFull || (core.isLeaderActive && !request.handover);
        if (request.preVote) {
            const granted = isUpToDate && !isRefused && message.term > core.term;
            const body = create(VoteResponseSchema, { granted, preVote: true });
            // A granted response carries the requested term, which has not started yet.
            core.send(message.fromDiskId, { case: "voteResponse", value: body }, {
                term: granted ? message.term : core.term,
            });
            return;
        }
        if (isRefused || message.term < core.term) {
            this.#rejectVote(message.fromDiskId);
            return;
        }
        if (message.term > core.term) {
            core.becomeFollower(message.term, "");
        }
        const canVote = core.votedFor === "" || core.votedFor === message.fromDiskId;
        if (!canVote || !isUpToDate || core.role === ReplicaRole.Leader) {
            this.#rejectVote(message.fromDiskId);
            return;
        }
        if (core.votedFor === "") {
            core.setTermAndVote(core.term, message.fromDiskId);
        }
        core.resetElectionTimer();
        const body = create(VoteResponseSchema, { granted: true, preVote: false });
        core.sendWhenDurable(message.fromDiskId, { case: "voteResponse", value: body });
    }

    onVoteResponse(message: ReplicaMessage, response: VoteResponse): void {
        const core = this.#core;
        if (!response.granted || !isVoter(core.membership, message.fromDiskId)) {
            return;
        }
        if (response.preVote) {
            if (core.role === ReplicaRole.PreCandidate && message.term === core.term + 1) {
                this.#grantedDiskIds.add(message.fromDiskId);
                this.#countPreVotes();
            }
            return;
        }
        if (core.role === ReplicaRole.Candidate && message.term === core.term) {
            this.#grantedDiskIds.add(message.fromDiskId);
            this.#countVotes();
        }
    }

    /** Whether the sender's log has at least what this replica's has. */
    #isUpToDate(request: VoteRequest): boolean {
        const { lastIndex, lastTerm } = this.#core.log;
        return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex);
    }

    #rejectVote(diskId: string): void {
        const body = create(VoteResponseSchema, { granted: false, preVote: false });
        this.#core.send(diskId, { case: "voteResponse", value: body });
    }

    #countPreVotes(): void {
        if (this.#core.role === ReplicaRole.PreCandidate && this.#hasMajority()) {
            this.#core.handleRoleEvent(RoleEvent.PreVoteWon);
            this.#campaign();
        }
    }

    /**
     * Starts a new term as a candidate. The requests are sent once the term, this replica's vote and the log that
     * they describe are synced. Otherwise a restarted replica could use votes that were granted for entries which it
     * has lost.
     */
    #campaign(): void {
        const core = this.#core;
        this.#grantedDiskIds = new Set();
        core.setTermAndVote(core.term + 1, core.identity.diskId);
        core.resetElectionTimer();
        this.#requestVotes(core.term, false);
    }

    #countVotes(): void {
        // This replica's own vote must be synced even if the other votes already form a majority.
        if (this.#grantedDiskIds.has(this.#core.identity.diskId) && this.#hasMajority()) {
            this.#core.handleRoleEvent(RoleEvent.ElectionWon);
            this.#onWon();
        }
    }

    #hasMajority(): boolean {
        const voters = votersOf(this.#core.membership);
        const granted = voters.filter(voter => this.#grantedDiskIds.has(voter.diskId)).length;
        return granted > voters.length / 2;
    }

    #requestVotes(term: number, preVote: boolean): void {
        const core = this.#core;
        const request = create(VoteRequestSchema, {
            lastIndex: core.log.lastIndex,
            lastTerm: core.log.lastTerm,
            preVote,
            handover: this.#isHandover,
        });
        // The address lets a receiver answer whose membership is not formed yet or doesn't contain this replica yet.
        for (const voter of votersOf(core.membership)) {
            if (voter.diskId === core.identity.diskId) {
                continue;
            }
            if (preVote) {
                core.send(voter.diskId, { case: "voteRequest", value: request }, { term, withAddress: true });
            }
            else {
                core.sendWhenDurable(voter.diskId, { case: "voteRequest", value: request }, { withAddress: true });
            }
        }
    }
}
