import { describe, expect, it } from "vitest";
import { FileOperation } from "./fake-file-system.js";
import { NO_FAULTS, SimulatedCluster } from "./simulated-cluster.js";

const NAMES = ["a", "b", "c"];
const FULL_MS = 5_000;
const RETURN_MS = 2_000;
const SEEDS = 12;
const REFUSED: ReadonlySet<FileOperation> = new Set([
    FileOperation.Append,
    FileOperation.Truncate,
    FileOperation.Rename,
]);

const setFull = (cluster: SimulatedCluster, name: string, isFull: boolean) => {
    const fileSystem = cluster.nodes.get(name)?.fileSystem;
    if (fileSystem !== undefined) {
        fileSystem.fault = isFull ? operation => REFUSED.has(operation) ? "ENOSPC" : undefined : undefined;
    }
};

const formCluster = async (names: string[], seed: number, snapshotIntervalEntries = 50) => {
    const cluster = new SimulatedCluster({ seed, names, snapshotIntervalEntries, limits: { retainedEntries: 10 } });
    await cluster.form();
    await cluster.run(2_000);
    return cluster;
};

const leaderName = ({ leader }: SimulatedCluster) => leader?.replica.identity.name ?? "";
const termsOf = (cluster: SimulatedCluster) => cluster.runners.map(runner => runner.replica.term);

/** Expects that all replicas run without a failure and have the same log. */
const expectWhole = async (cluster: SimulatedCluster) => {
    await cluster.run(1_000, false);
    expect(cluster.runners.map(runner => runner.failure)).toEqual(cluster.runners.map(() => undefined));
    expect(new Set(cluster.runners.map(runner => runner.replica.commitIndex)).size).toBe(1);
};

describe("a cluster with full disks", () => {
    // Guards against a replica that ends, disturbs the others with elections, or doesn't catch up, when its disk is full.
    it("goes on with a full follower, which catches up", async () => {
        const cluster = await formCluster(NAMES, 1);
        const leader = leaderName(cluster);
        const follower = NAMES.find(name => name !== leader) ?? "";
        const before = { terms: termsOf(cluster), commitIndex: cluster.oracle.commitIndex };
        setFull(cluster, follower, true);
        await cluster.run(FULL_MS);
        expect(cluster.oracle.commitIndex).toBeGreaterThan(before.commitIndex + 100);
        setFull(cluster, follower, false);
        await cluster.run(RETURN_MS);
        expect(termsOf(cluster)).toEqual(before.terms);
        expect(leaderName(cluster)).toBe(leader);
        await expectWhole(cluster);
    });

    // Guards against a leader that keeps the leadership, or gets it back, while its disk is full.
    it.each([1, 2, 3])(
        "has another leader at once when the leader's disk is full, and keeps it (seed %i)",
        async seed => {
            const cluster = await formCluster(NAMES, seed);
            const former = leaderName(cluster);
            const term = cluster.leader?.replica.term ?? 0;
            setFull(cluster, former, true);
            await cluster.run(300);
            expect(leaderName(cluster)).not.toBe(former);
            const before = cluster.oracle.commitIndex;
            await cluster.run(FULL_MS);
            expect(cluster.oracle.commitIndex).toBeGreaterThan(before + 100);
            setFull(cluster, former, false);
            await cluster.run(RETURN_MS);
            expect(termsOf(cluster)).toEqual([term + 1, term + 1, term + 1]);
            await expectWhole(cluster);
        },
    );

    // Guards against records that are acknowledged without a majority of disks, and against rising terms meanwhile.
    it.each([
        ["the leader and a follower", (leader: string) => [leader, ...NAMES.filter(name => name !== leader).slice(1)]],
        ["both followers", (leader: string) => NAMES.filter(name => name !== leader)],
        ["all replicas", () => NAMES],
    ])("commits nothing while the disks of %s are full, and goes on afterwards", async (_names, select) => {
        const cluster = await formCluster(NAMES, 4);
        await cluster.run(500, false);
        const full = select(leaderName(cluster));
        const before = { terms: termsOf(cluster), commitIndex: cluster.oracle.commitIndex };
        full.forEach(name => setFull(cluster, name, true));
        await cluster.run(FULL_MS);
        expect(cluster.oracle.commitIndex).toBe(before.commitIndex);
        expect(termsOf(cluster)).toEqual(before.terms);
        setFull(cluster, full[0] ?? "", false);
        setFull(cluster, full[1] ?? "", false);
        await cluster.run(RETURN_MS);
        expect(cluster.oracle.commitIndex).toBeGreaterThan(before.commitIndex + 20);
        full.forEach(name => setFull(cluster, name, false));
        await cluster.run(RETURN_MS);
        await expectWhole(cluster);
    });

    it("goes on with two full disks of five, the leader's among them", async () => {
        const cluster = await formCluster([...NAMES, "d", "e"], 5);
        const full = [leaderName(cluster), leaderName(cluster) === "e" ? "d" : "e"];
        full.forEach(name => setFull(cluster, name, true));
        await cluster.run(1_000);
        expect(full).not.toContain(leaderName(cluster));
        const before = cluster.oracle.commitIndex;
        await cluster.run(FULL_MS);
        expect(cluster.oracle.commitIndex).toBeGreaterThan(before + 100);
        full.forEach(name => setFull(cluster, name, false));
        await cluster.run(RETURN_MS);
        await expectWhole(cluster);
    });

    // Guards against a snapshot from the leader that is lost, or acknowledged before it is stored.
    it.each([false, true])(
        "restores a snapshot of the leader once there is room (power lost before: %s)",
        async isLost => {
            const cluster = await formCluster(NAMES, 6);
            const follower = NAMES.find(name => name !== leaderName(cluster)) ?? "";
            const before = cluster.oracle.commitIndex;
            cluster.isolated = new Set([follower]);
            await cluster.run(FULL_MS);
            cluster.isolated = new Set();
            setFull(cluster, follower, true);
            await cluster.run(RETURN_MS, false);
            expect(cluster.nodes.get(follower)?.appliedIndex).toBeGreaterThan(before + 100);
            if (isLost) {
                cluster.crash(follower, 1);
            }
            setFull(cluster, follower, false);
            await cluster.run(RETURN_MS);
            await expectWhole(cluster);
        },
    );

    // Guards against a process that ends, or votes, when it is started on a full disk.
    it("starts a replica on a full disk, which catches up", async () => {
        const cluster = await formCluster(NAMES, 7);
        const follower = NAMES.find(name => name !== leaderName(cluster)) ?? "";
        cluster.kill(follower);
        setFull(cluster, follower, true);
        await cluster.run(1_000);
        const node = cluster.nodes.get(follower);
        if (node !== undefined) {
            await cluster.start(node);
        }
        await cluster.run(1_000);
        setFull(cluster, follower, false);
        await cluster.run(RETURN_MS);
        await expectWhole(cluster);
    });

    // Guards against records that were acknowledged and are lost, or against two leaders, whatever else happens meanwhile.
    it.each(Array.from({ length: SEEDS }, (_, seed) => seed))(
        "loses nothing under other faults (seed %i)",
        async seed => {
            const names = [...NAMES, "d", "e"].slice(0, 3 + 2 * (seed % 2));
            const cluster = await formCluster(names, seed, 30);
            const before = cluster.oracle.commitIndex;
            cluster.rates = {
                ...NO_FAULTS,
                loss: 0.03,
                crash: 0.002,
                partition: 0.005,
                diskProgress: 0.6,
                maximumDelayMs: 40,
            };
            for (let phase = 0; phase < 20; phase += 1) {
                names.forEach(name => setFull(cluster, name, cluster.random.nextRatio() < 1 / 4));
                await cluster.run(500);
            }
            cluster.rates = NO_FAULTS;
            cluster.isolated = new Set();
            names.forEach(name => setFull(cluster, name, false));
            for (const node of cluster.nodes.values()) {
                node.pendingDiskOperations.splice(0).forEach(resume => resume());
                node.restartAtMs = node.runner === undefined ? cluster.nowMs : node.restartAtMs;
            }
            await cluster.run(5_000);
            expect(cluster.oracle.commitIndex).toBeGreaterThan(before);
            await expectWhole(cluster);
        },
    );
});
