import { create } from "@bufbuild/protobuf";
import { MembershipSchema } from "@waxwingspread/protocol";
import type { DescribeResponse, Membership, ReplicaIdentity } from "@waxwingspread/protocol";
import { initialMembership, isVoter } from "./membership.js";

const DEFAULT_MAXIMUM_ANSWER_AGE_MS = 5_000;

/** States of the bootstrap handshake. */
export enum BootstrapState {
    /** Some initial peers have not answered recently. */
    Asking = "asking",
    /** All initial peers have answered recently and none of them belongs to a cluster. */
    Ready = "ready",
    /** A cluster already exists, or the settings do not match; an operator has to add this replica. */
    WaitingForOperator = "waiting-for-operator",
}

/** An initial peer as configured. */
export interface BootstrapPeer {
    name: string;
    address: string;
}

/** Construction parameters of the handshake. */
export interface BootstrapOptions {
    identity: ReplicaIdentity;
    /** The other initial replicas, without this one. */
    peers: readonly BootstrapPeer[];
    /** Age above which a peer's answer no longer counts and the peer is called again. */
    maximumAnswerAgeMs?: number;
}

interface PeerAnswer {
    identity: ReplicaIdentity;
    atMs: number;
}

/**
 * Decides whether an uninitialized replica may form a cluster: only after every initial peer has recently reported
 * that it belongs to none. A peer that does not answer could be part of an existing cluster. Peers without a disk are
 * left out of the membership; since a peer never gains a disk, all replicas leave out the same ones.
 */
export class BootstrapHandshake {
    readonly #identity: ReplicaIdentity;
    readonly #peers: readonly BootstrapPeer[];
    readonly #maximumAnswerAgeMs: number;
    readonly #answers = new Map<string, PeerAnswer>();
    /** Names of peers without a disk, which never become replicas. */
    readonly #relays = new Set<string>();
    #obstacle = "";

    constructor(options: BootstrapOptions) {
        this.#identity = options.identity;
        this.#peers = options.peers;
        this.#maximumAnswerAgeMs = options.maximumAnswerAgeMs ?? DEFAULT_MAXIMUM_ANSWER_AGE_MS;
        const names = new Set([options.identity.name, ...options.peers.map(peer => peer.name)]);
        if (names.size !== options.peers.length + 1) {
            this.#obstacle = "the names of the initial replicas are not unique";
        }
        if (options.identity.replacesUnreadableLog) {
            this.#obstacle = "this replica replaces one whose log was unreadable, which belonged to a cluster";
        }
    }

    /** Why an operator is needed; empty in the other states. */
    get obstacle(): string {
        return this.#obstacle;
    }

    state(nowMs: number): BootstrapState {
        if (this.#obstacle !== "") {
            return BootstrapState.WaitingForOperator;
        }
        return this.peersToQuery(nowMs).length === 0 ? BootstrapState.Ready : BootstrapState.Asking;
    }

    /** Returns the peers to which a Describe call is due. */
    peersToQuery(nowMs: number): BootstrapPeer[] {
        return this.#peers.filter(peer => !this.#relays.has(peer.name)).filter(peer => {
            const answer = this.#answers.get(peer.name);
            return answer === undefined || nowMs - answer.atMs > this.#maximumAnswerAgeMs;
        });
    }

    /** Handles a peer's response to a Describe call that was sent at `sentAtMs`. */
    handleResponse(peer: BootstrapPeer, response: DescribeResponse, sentAtMs: number): void {
        const { identity } = response;
        if (response.isRelay) {
            this.#relays.add(peer.name);
            return;
        }
        if (response.formed && isVoter(response.membership ?? create(MembershipSchema), this.#identity.diskId)) {
            // The peer has already formed the cluster with this replica as a voter; the leader will send the log.
            this.#answers.delete(peer.name);
            return;
        }
        if (response.formed) {
            this.#obstacle = `${peer.name} already belongs to a cluster`;
            return;
        }
        if (identity === undefined || identity.name !== peer.name || identity.diskId === "") {
            this.#obstacle = `the replica at ${peer.address} is ${identity?.name ?? "unknown"}, not ${peer.name}`;
            return;
        }
        if (identity.replacesUnreadableLog) {
            this.#obstacle = `${peer.name} replaces a replica whose log was unreadable, which belonged to a cluster`;
            return;
        }
        if (identity.diskId === this.#identity.diskId) {
            this.#obstacle = `${peer.name} has the same disk id; its data folder is a copy of this one`;
            return;
        }
        this.#answers.set(peer.name, { identity, atMs: sentAtMs });
    }

    /** Handles a Describe call that failed. */
    handleFailure(peer: BootstrapPeer): void {
        this.#answers.delete(peer.name);
    }

    /** Returns the initial membership, the same on all initial replicas; undefined unless the state is Ready. */
    membership(nowMs: number): Membership | undefined {
        if (this.state(nowMs) !== BootstrapState.Ready) {
            return undefined;
        }
        // Uses the identities as their owners report them, so that every replica derives the same membership.
        const others = this.#peers.flatMap(peer => this.#answers.get(peer.name)?.identity ?? []);
        return initialMembership([this.#identity, ...others]);
    }
}
