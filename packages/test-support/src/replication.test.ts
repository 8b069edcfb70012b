import { MembershipChangeKind, ReplicaRole } from "@waxwingspread/consensus";
import { MemberRole } from "@waxwingspread/protocol";
import { describe, expect, it } from "vitest";
import { NO_FAULTS, SimulatedCluster } from "./simulated-cluster.js";
import type { FaultRates } from "./simulated-cluster.js";

const FAULTS: FaultRates = {
    loss: 0.05,
    duplication: 0.05,
    crash: 0.004,
    partition: 0.01,
    pause: 0.003,
    diskProgress: 0.6,
    maximumDelayMs: 40,
};
const SEEDS = 24;
const MEMBERSHIP_SEEDS = 12;
const HANDOVER_RATIO = 0.1;
const FAULT_PHASE_MS = 15_000;
const HEALING_MS = 5_000;

const heal = async (cluster: SimulatedCluster) => {
    cluster.rates = NO_FAULTS;
    cluster.isolated = new Set();
    for (const node of cluster.nodes.values()) {
        node.pausedUntilMs = 0;
        node.pendingDiskOperations.splice(0).forEach(resume => resume());
        if (node.runner === undefined) {
            await cluster.start(node);
        }
    }
    await cluster.run(HEALING_MS);
    await cluster.run(1_000, false);
};

const formCluster = async (names: string[], seed: number) => {
    const cluster = new SimulatedCluster({ seed, names, snapshotIntervalEntries: 50, limits: { retainedEntries: 10 } });
    await cluster.form();
    await cluster.run(2_000);
    return cluster;
};

describe("replication under faults", () => {
    // Guards against two leaders in a term, diverging logs, lost committed entries, reads under a stale lease,
    // and a cluster that does not recover once the faults end.
    it.each(Array.from({ length: SEEDS }, (_, seed) => seed))("keeps its invariants with seed %i", async seed => {
        const names = ["a", "b", "c", "d", "e"].slice(0, 3 + seed % 3);
        const cluster = new SimulatedCluster({
            seed,
            names,
            rates: FAULTS,
            snapshotIntervalEntries: 30,
            limits: { retainedEntries: 5, batchEntries: 4, inFlightEntries: 16, snapshotChunkBytes: 32 },
        });
        await cluster.form();
        await cluster.run(FAULT_PHASE_MS);
        const before = cluster.oracle.commitIndex;
        await heal(cluster);
        expect(cluster.oracle.commitIndex).toBeGreaterThan(before + 50);
        const commitIndexes = new Set(cluster.runners.map(runner => runner.replica.commitIndex));
        expect([...commitIndexes]).toEqual([cluster.oracle.commitIndex]);
    });
});

/** Removes a voter, adds a removed replica, promotes a learner or transfers the leadership. */
const changeMembership = (cluster: SimulatedCluster) => {
    const leader = cluster.leader;
    if (leader === undefined) {
        return;
    }
    const { members } = leader.replica.membership;
    const isMember = (diskId: string) => members.some(member => member.identity?.diskId === diskId);
    const nonMember = cluster.runners.find(runner => !isMember(runner.replica.identity.diskId));
    const learner = members.find(member => member.role === MemberRole.LEARNER)?.identity;
    const voters = members.filter(member => member.role === MemberRole.VOTER);
    if (cluster.random.nextRatio() < HANDOVER_RATIO) {
        leader.handOver(cluster.nowMs);
    }
    else if (learner !== undefined) {
        leader.changeMembership({ kind: MembershipChangeKind.Promote, diskId: learner.diskId }, cluster.nowMs);
    }
    else if (nonMember !== undefined && cluster.random.nextRatio() < 1 / 2) {
        const { identity } = nonMember.replica;
        leader.changeMembership({ kind: MembershipChangeKind.AddLearner, identity }, cluster.nowMs);
    }
    else if (voters.length > 2) {
        const diskId = cluster.random.pick(voters).identity?.diskId ?? "";
        leader.changeMembership({ kind: MembershipChangeKind.Remove, diskId }, cluster.nowMs);
    }
};

describe("membership changes under faults", () => {
    // Guards against two quorums that do not overlap while members, including the leader, are added and removed.
    it.each(Array.from({ length: MEMBERSHIP_SEEDS }, (_, seed) => 1_000 + seed))("is safe with seed %i", async seed => {
        const cluster = new SimulatedCluster({
            seed,
            names: ["a", "b", "c", "d", "e"],
            rates: { ...FAULTS, crash: 0.002 },
            snapshotIntervalEntries: 30,
            limits: { retainedEntries: 5, snapshotChunkBytes: 32 },
        });
        await cluster.form();
        const sizes = new Set<number>();
        while (cluster.nowMs < FAULT_PHASE_MS) {
            await cluster.run(150);
            changeMembership(cluster);
            sizes.add(cluster.leader?.replica.membership.members.length ?? 0);
        }
        const before = cluster.oracle.commitIndex;
        await heal(cluster);
        expect(sizes.size).toBeGreaterThan(2);
        expect(cluster.oracle.commitIndex).toBeGreaterThan(before + 50);
    });
});

describe("repairs", () => {
    it("forms the cluster although all but one replica crashed before they formed it", async () => {
        const cluster = new SimulatedCluster({ seed: 5, names: ["a", "b", "c"] });
        await cluster.form(1);
        await cluster.run(3_000);
        expect(cluster.runners.map(runner => runner.replica.isFormed)).toEqual([true, true, true]);
        expect(cluster.oracle.commitIndex).toBeGreaterThan(10);
    });

    it("is not disrupted by the return of an isolated replica, which does not raise its term", async () => {
        const cluster = await formCluster(["a", "b", "c"], 1);
        const leader = cluster.leader;
        const isolated = cluster.runners.find(runner => runner !== leader);
        const name = isolated?.replica.identity.name ?? "";
        const term = leader?.replica.term;
        cluster.isolated = new Set([name]);
        await cluster.run(20_000);
        expect(isolated?.replica.term).toBe(term);
        cluster.isolated = new Set();
        await cluster.run(2_000);
        expect(cluster.leader).toBe(leader);
        expect(cluster.leader?.replica.term).toBe(term);
        expect(isolated?.replica.commitIndex).toBeGreaterThan(cluster.oracle.commitIndex - 10);
    });

    it("makes an isolated leader step down and release its lease", async () => {
        const cluster = await formCluster(["a", "b", "c"], 2);
        await cluster.run(3_000);
        const leader = cluster.leader;
        cluster.isolated = new Set([leader?.replica.identity.name ?? ""]);
        await cluster.run(600);
        expect(leader?.replica.role).not.toBe(ReplicaRole.Leader);
        expect(leader?.hasQuorumLease(cluster.nowMs)).toBe(false);
        await cluster.run(2_000);
        expect(cluster.leader).not.toBe(leader);
    });

    // Guards against a young leader that waits for its quorum and serves reads from an outdated state meanwhile.
    it("makes an isolated young leader release its lease at once and step down later", async () => {
        const cluster = await formCluster(["a", "b", "c"], 2);
        const leader = cluster.leader;
        cluster.isolated = new Set([leader?.replica.identity.name ?? ""]);
        await cluster.run(410);
        expect(leader?.hasQuorumLease(cluster.nowMs)).toBe(false);
        await cluster.run(500);
        expect(leader?.replica.role).not.toBe(ReplicaRole.Leader);
    });

    // Guards against reads that wait for late disks although the leader is in contact with its followers (issue 31).
    it("confirms the leadership while no disk takes a write, and commits nothing", async () => {
        const cluster = await formCluster(["a", "b", "c"], 4);
        await cluster.run(1_000);
        const { leader } = cluster;
        cluster.rates.diskProgress = 0;
        await cluster.run(100);
        const { commitIndex, confirmedChecks } = cluster.oracle;
        await cluster.run(5_000);
        expect(cluster.leader).toBe(leader);
        expect(cluster.oracle.commitIndex).toBe(commitIndex);
        expect(cluster.oracle.confirmedChecks - confirmedChecks).toBeGreaterThan(50);
    });

    // Guards against a read that a replaced leader answers: it can't know of changes that its successor has acknowledged.
    it.each([0, 1, 2, 3])("confirms no leadership that began before a pause or a cut, seed %i", async seed => {
        const cluster = await formCluster(["a", "b", "c"], 40 + seed);
        await cluster.run(1_000);
        const former = cluster.leader;
        const checkMs = former?.startLeadershipCheck(cluster.nowMs) ?? 0;
        cluster.isolated = new Set([former?.replica.identity.name ?? ""]);
        const paused = cluster.nodes.get(former?.replica.identity.name ?? "");
        if (paused !== undefined) {
            paused.pausedUntilMs = cluster.nowMs + 1_500;
        }
        while (cluster.leader === former || cluster.leader === undefined) {
            expect(former?.isLeadershipConfirmed(checkMs)).toBe(false);
            await cluster.step(true);
        }
        cluster.isolated = new Set();
        for (let step = 0; step < 300; step += 1) {
            expect(former?.isLeadershipConfirmed(checkMs)).toBe(false);
            await cluster.step(true);
        }
    });

    // Guards against a leader that gives up its term because the other replicas are slow after a restart of all.
    it("keeps a young leader whose followers stall for 700 ms", async () => {
        const cluster = await formCluster(["a", "b", "c"], 9);
        const leader = cluster.leader;
        const term = leader?.replica.term;
        for (const node of cluster.nodes.values()) {
            node.pausedUntilMs = node.runner === leader ? 0 : cluster.nowMs + 700;
        }
        await cluster.run(2_000);
        expect(cluster.leader).toBe(leader);
        expect(leader?.replica.term).toBe(term);
        expect(leader?.hasQuorumLease(cluster.nowMs)).toBe(true);
    });

    it("gives a paused leader no lease once another one can commit, whatever the length of the pause", async () => {
        const cluster = await formCluster(["a", "b", "c"], 6);
        for (let pauseMs = 100; pauseMs <= 1_500; pauseMs += 100) {
            const paused = cluster.nodes.get(cluster.leader?.replica.identity.name ?? "");
            if (paused !== undefined) {
                paused.pausedUntilMs = cluster.nowMs + pauseMs;
            }
            // Each step checks the lease as if the paused process read at that time.
            await cluster.run(2_500);
        }
        expect(cluster.oracle.termCount).toBeGreaterThan(5);
    });

    // Guards against a leader that gives up its term for messages that it has not read yet, and so begins its work again.
    it.each([0, 1, 2, 3])(
        "keeps a leader whose process stalls for 600 ms in its first seconds, seed %i",
        async seed => {
            const cluster = await formCluster(["a", "b", "c"], 20 + seed);
            cluster.crash(cluster.leader?.replica.identity.name ?? "", 200);
            await cluster.run(1_500);
            const leader = cluster.leader;
            const term = leader?.replica.term;
            const stalled = cluster.nodes.get(leader?.replica.identity.name ?? "");
            if (stalled !== undefined) {
                stalled.pausedUntilMs = cluster.nowMs + 600;
            }
            await cluster.run(2_000);
            expect(cluster.leader).toBe(leader);
            expect(cluster.leader?.replica.term).toBe(term);
            expect(leader?.hasQuorumLease(cluster.nowMs)).toBe(true);
        },
    );

    // Guards against a follower that starts an election because it did not read its leader's messages in time.
    it("starts no election in a follower whose process stalls for 1.5 s", async () => {
        const cluster = await formCluster(["a", "b", "c"], 7);
        await cluster.run(3_000);
        const { leader } = cluster;
        const follower = cluster.runners.find(runner => runner !== leader);
        const roles: ReplicaRole[] = [];
        for (let stall = 0; stall < 10; stall += 1) {
            const node = cluster.nodes.get(follower?.replica.identity.name ?? "");
            if (node !== undefined) {
                node.pausedUntilMs = cluster.nowMs + 1_500;
            }
            while (node !== undefined && cluster.nowMs < node.pausedUntilMs + 500) {
                await cluster.step(true);
                roles.push(follower?.replica.role ?? ReplicaRole.Candidate);
            }
        }
        expect(new Set(roles)).toEqual(new Set([ReplicaRole.Follower]));
        expect(cluster.leader).toBe(leader);
    });

    // Guards against leaders that follow one another after a power loss, when each leader's first second is slow.
    it("settles on one leader although each new leader stalls for 900 ms", async () => {
        const cluster = await formCluster(["a", "b", "c"], 8);
        for (const name of cluster.nodes.keys()) {
            cluster.crash(name, 500);
        }
        const stalledTerms = new Set<number>();
        const endMs = cluster.nowMs + 12_000;
        while (cluster.nowMs < endMs) {
            await cluster.step(true);
            const { leader } = cluster;
            const node = cluster.nodes.get(leader?.replica.identity.name ?? "");
            if (leader !== undefined && node !== undefined && !stalledTerms.has(leader.replica.term)) {
                stalledTerms.add(leader.replica.term);
                node.pausedUntilMs = cluster.nowMs + 900;
            }
        }
        expect(stalledTerms.size).toBeLessThanOrEqual(2);
        expect(cluster.leader?.hasQuorumLease(cluster.nowMs)).toBe(true);
    });

    it("does not let a wiped disk vote under its old identity", async () => {
        const cluster = await formCluster(["a", "b", "c"], 3);
        const [wiped, crashed] = cluster.runners.filter(runner => runner !== cluster.leader);
        const wipedNode = cluster.nodes.get(wiped?.replica.identity.name ?? "");
        cluster.crash(wipedNode?.name ?? "");
        wipedNode?.fileSystem.wipe();
        if (wipedNode !== undefined) {
            await cluster.start(wipedNode);
        }
        cluster.crash(crashed?.replica.identity.name ?? "");
        const committed = cluster.oracle.commitIndex;
        await cluster.run(5_000);
        expect(cluster.leader).toBeUndefined();
        expect(cluster.oracle.commitIndex).toBeLessThanOrEqual(committed + 10);
        expect(wipedNode?.runner?.replica.isFormed).toBe(false);
    });

    it("survives a second loss right after a repair", async () => {
        const cluster = await formCluster(["a", "b", "c"], 4);
        const lostIdentity = cluster.runners.find(runner => runner !== cluster.leader)?.replica.identity;
        cluster.crash(lostIdentity?.name ?? "");
        const node = cluster.nodes.get(lostIdentity?.name ?? "");
        node?.fileSystem.wipe();
        await cluster.run(3_000);
        if (node !== undefined) {
            await cluster.start(node);
        }
        const newIdentity = cluster.runner(lostIdentity?.name ?? "").replica.identity;
        const change = async (request: Parameters<NonNullable<typeof cluster.leader>["changeMembership"]>[0]) => {
            for (let attempt = 0; attempt < 20; attempt += 1) {
                const result = cluster.leader?.changeMembership(request, cluster.nowMs);
                await cluster.run(200);
                const index = result?.unwrapOr(Infinity) ?? Infinity;
                if (index <= cluster.oracle.commitIndex) {
                    return;
                }
            }
            throw new Error(`${request.kind} did not succeed`);
        };
        await change({ kind: MembershipChangeKind.Remove, diskId: lostIdentity?.diskId ?? "" });
        await change({ kind: MembershipChangeKind.AddLearner, identity: newIdentity });
        await change({ kind: MembershipChangeKind.Promote, diskId: newIdentity.diskId });
        const committed = cluster.oracle.commitIndex;
        cluster.crash(cluster.leader?.replica.identity.name ?? "");
        await cluster.run(5_000);
        expect(cluster.oracle.commitIndex).toBeGreaterThan(committed + 20);
    });
});
