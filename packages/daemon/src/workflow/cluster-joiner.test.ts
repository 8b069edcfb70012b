import { create } from "@bufbuild/protobuf";
import { MemberRole, MembershipSchema, ReplicaIdentitySchema } from "@waxwingspread/protocol";
import { pino } from "pino";
import { expect, it } from "vitest";
import { ClusterJoiner } from "./cluster-joiner.js";
import type { JoiningReplica } from "./cluster-joiner.js";
import type { JsonCall } from "./json-call.js";

const START_MS = 1_000;
const SEED_HOSTS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];

const identity = create(ReplicaIdentitySchema, { name: "10.0.0.3:7700", diskId: "c2", address: "10.0.0.3:7700" });

const emptyReplica: JoiningReplica = {
    identity,
    isFormed: false,
    leader: undefined,
    membership: create(MembershipSchema),
};

const voter: JoiningReplica = {
    identity,
    isFormed: true,
    leader: undefined,
    membership: create(MembershipSchema, { members: [{ identity, role: MemberRole.VOTER }] }),
};

const learner: JoiningReplica = {
    ...voter,
    membership: create(MembershipSchema, { members: [{ identity, role: MemberRole.LEARNER }] }),
};

/** Returns the calls of a replica at a time since its start. All hosts name the same leader. */
const callsAfter = async (sinceStartMs: number, replica: JoiningReplica, leaderHost?: string): Promise<JsonCall[]> => {
    const calls: JsonCall[] = [];
    const joiner = new ClusterJoiner({
        replica,
        caller: {
            call: <Response>(call: JsonCall) => {
                calls.push(call);
                return Promise.resolve({ isMember: false, leaderHost } as Response);
            },
        },
        host: "10.0.0.3",
        internalPort: 7_701,
        formAlone: () => undefined,
        logger: pino({ enabled: false }),
    }, START_MS);
    await joiner.joinIfLeaderless(SEED_HOSTS, START_MS + sinceStartMs);
    return calls;
};

/** Returns the hosts that a replica asks to join at a time since its start. */
const hostsAskedAfter = async (
    sinceStartMs: number,
    replica: JoiningReplica,
    leaderHost?: string,
): Promise<string[]> => (await callsAfter(sinceStartMs, replica, leaderHost)).map(({ host }) => host);

// Guards against a replica with an empty disk that waits before it joins. Until it is a voter, its lost disk counts as a
// failed voter, and the loss of another disk leaves no quorum.
it("requests to join as soon as a replica with an empty disk has started", async () => {
    expect(await hostsAskedAfter(300, emptyReplica)).toEqual(["10.0.0.1", "10.0.0.2"]);
});

// Guards against join requests of a member during an ordinary election.
it("waits for a leader before a member requests to join", async () => {
    expect(await hostsAskedAfter(300, voter)).toEqual([]);
    expect(await hostsAskedAfter(1_500, voter)).toEqual(["10.0.0.1", "10.0.0.2"]);
});

// Guards against a voter that was replaced during an outage and uses up its time to catch up before it asks to join.
it("requests to join when a voter has known no leader for the longest election timeout", async () => {
    expect(await hostsAskedAfter(700, voter)).toEqual([]);
    expect(await hostsAskedAfter(800, voter)).toEqual(["10.0.0.1", "10.0.0.2"]);
});

// Guards against a learner that waits although the leader that was to add it has died. No one sends it the log, and the
// next loss of a disk finds too few voters.
it("requests to join as soon as a learner knows no leader", async () => {
    expect(await hostsAskedAfter(300, learner)).toEqual(["10.0.0.1", "10.0.0.2"]);
});

// Guards against a replica that can never join again after it has lost its disk, because the leader is not a seed. The
// next loss of a disk then takes what was acknowledged.
it("requests to join at the leader that the seeds name", async () => {
    expect(await hostsAskedAfter(300, emptyReplica, "10.0.0.4")).toEqual(["10.0.0.1", "10.0.0.2", "10.0.0.4"]);
    expect(await hostsAskedAfter(300, emptyReplica, "10.0.0.2")).toEqual(["10.0.0.1", "10.0.0.2"]);
    // The seeds may still name this host, at which the replica led before it lost its disk.
    expect(await hostsAskedAfter(300, emptyReplica, "10.0.0.3")).toEqual(["10.0.0.1", "10.0.0.2"]);
});

// Guards against a relay that selects a replica whose log was unreadable to form a new, empty cluster (issue 22).
it("says that a replica belonged to a cluster if it replaces an unreadable log", async () => {
    const replaced = { ...emptyReplica, identity: { ...identity, replacesUnreadableLog: true } };
    const expected: unknown = expect.objectContaining({ isFormed: true });
    const calls = await callsAfter(300, replaced);
    expect(calls.map(({ body }) => body)).toEqual([expected, expected]);
});
