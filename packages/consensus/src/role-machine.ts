import { createMachine, initialTransition, transition } from "xstate";
import type { SnapshotFrom } from "xstate";
import { ReplicaRole } from "./types.js";

/** Events that may change the role of a replica. */
export enum RoleEvent {
    ElectionTimeout = "election-timeout",
    PreVoteWon = "pre-vote-won",
    ElectionWon = "election-won",
    /** Another leader or a higher term was seen, the quorum was lost, or the replica was removed. */
    StepDown = "step-down",
    /** The leader requested a handover to this replica. */
    Handover = "handover",
}

const { Follower, PreCandidate, Candidate, Leader } = ReplicaRole;

const roleMachine = createMachine({
    id: "replica-role",
    types: {} as { events: { type: RoleEvent } },
    initial: Follower,
    states: {
        [Follower]: {
            on: { [RoleEvent.ElectionTimeout]: PreCandidate, [RoleEvent.Handover]: Candidate },
        },
        [PreCandidate]: {
            on: {
                [RoleEvent.ElectionTimeout]: PreCandidate,
                [RoleEvent.PreVoteWon]: Candidate,
                [RoleEvent.StepDown]: Follower,
                [RoleEvent.Handover]: Candidate,
            },
        },
        [Candidate]: {
            on: {
                [RoleEvent.ElectionTimeout]: PreCandidate,
                [RoleEvent.ElectionWon]: Leader,
                [RoleEvent.StepDown]: Follower,
            },
        },
        [Leader]: {
            on: { [RoleEvent.StepDown]: Follower },
        },
    },
});

/** State machine of one replica's role; events without a transition in the current role change nothing. */
export class RoleStateMachine {
    #snapshot: SnapshotFrom<typeof roleMachine> = initialTransition(roleMachine)[0];
    #role: ReplicaRole = Follower;

    get role(): ReplicaRole {
        return this.#role;
    }

    /** Handles an event; returns whether the role changed. */
    handle(type: RoleEvent): boolean {
        const before = this.#role;
        this.#snapshot = transition(roleMachine, this.#snapshot, { type })[0];
        this.#role = this.#snapshot.value as ReplicaRole;
        return this.#role !== before;
    }
}
