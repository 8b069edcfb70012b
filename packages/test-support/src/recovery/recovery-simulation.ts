import { SeededRandom } from "@waxwingspread/common";
import { initialMembership, ReplicaRole } from "@waxwingspread/consensus";
import type { ReplicaRunner } from "@waxwingspread/consensus";
import { ClusterMembership, createLogger } from "@waxwingspread/daemon/workflow";
import type { JoinRequest, JoinResponse, MembershipRequirements } from "@waxwingspread/daemon/workflow";
import { MemberRole } from "@waxwingspread/protocol";
import { SimulatedCluster } from "../simulated-cluster.js";
import type { SimulatedNode } from "../simulated-cluster.js";
import { SimulatedCalls } from "./simulated-calls.js";

const MAX_SEEDS = 3;
const INTERNAL_PORT = 2;
const DISK_PROGRESS_RATIO = 0.8;
const MAX_DELAY_MS = 12;

/** Construction parameters of a {@link RecoverySimulation}. */
export interface RecoverySimulationOptions {
    seed: number;
    /** Number of machines with a disk in each availability zone. */
    machinesPerZone: readonly number[];
    requirements: MembershipRequirements;
}

interface Agent {
    runner: ReplicaRunner;
    membership: ClusterMembership;
}

/** Control replicas that join and change the membership by themselves, in simulated time. */
export class RecoverySimulation {
    readonly random: SeededRandom;
    readonly cluster: SimulatedCluster;
    /** Names of the machines that have not been removed for good. */
    readonly machines = new Set<string>();
    readonly #requirements: MembershipRequirements;
    readonly #calls: SimulatedCalls;
    readonly #agents = new Map<string, Agent>();
    readonly #logger = createLogger({ level: "silent", vmName: "", availabilityZone: "", role: "control" });
    #seedHosts: string[] = [];
    #machineCount = 0;

    constructor({ seed, machinesPerZone, requirements }: RecoverySimulationOptions) {
        this.#requirements = requirements;
        this.random = new SeededRandom(seed);
        this.cluster = new SimulatedCluster({
            seed,
            names: [],
            rates: { diskProgress: DISK_PROGRESS_RATIO, maximumDelayMs: MAX_DELAY_MS },
            snapshotIntervalEntries: 200,
            limits: { retainedEntries: 50, batchEntries: 32, inFlightEntries: 128 },
        });
        this.#calls = new SimulatedCalls({
            random: this.random,
            handle: (host, request, nowMs) => this.#handleJoin(host, request, nowMs),
        });
        machinesPerZone.forEach((count, zone) => {
            for (let machine = 0; machine < count; machine += 1) {
                this.addMachine(`zone-${zone}`);
            }
        });
    }

    /** Starts all machines and forms the cluster of the seeds, which the others join. */
    async start(): Promise<void> {
        this.exchangeSeeds();
        for (const node of this.cluster.nodes.values()) {
            await this.cluster.start(node);
        }
        const seeds = this.#seedHosts.map(host => this.cluster.runner(host));
        const membership = initialMembership(seeds.map(runner => runner.replica.identity));
        seeds.forEach(runner => runner.form(membership, this.cluster.nowMs));
    }

    /** Adds a machine with an empty disk, which is not started yet. */
    addMachine(availabilityZone: string): SimulatedNode {
        this.#machineCount += 1;
        const name = `10.0.0.${this.#machineCount}`;
        this.machines.add(name);
        return this.cluster.addNode(name, availabilityZone);
    }

    /** Removes a machine for good. Processes that start later have another seed in its place. */
    removeMachine(name: string): void {
        this.cluster.crash(name);
        this.machines.delete(name);
        this.cluster.nodes.delete(name);
        if (this.#seedHosts.includes(name)) {
            const others = this.pickMachines(this.machines.size).filter(host => !this.#seedHosts.includes(host));
            this.#seedHosts = [...this.#seedHosts.filter(host => host !== name), ...others.slice(0, 1)];
        }
    }

    /** Names random machines as the seeds in the settings of all machines. */
    exchangeSeeds(): void {
        this.#seedHosts = this.pickMachines(MAX_SEEDS);
        this.#agents.forEach(agent => agent.membership.setSeedHosts(this.#seedHosts));
    }

    /** Returns distinct random machines. */
    pickMachines(count: number): string[] {
        const names = [...this.machines].map(name => ({ name, order: this.random.nextRatio() }));
        return names.toSorted((a, b) => a.order - b.order).slice(0, count).map(({ name }) => name);
    }

    /** Runs for a time while records are proposed. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.cluster.nowMs + durationMs;
        while (this.cluster.nowMs < endMs) {
            await this.cluster.step(true);
            this.#calls.advance(this.cluster.nowMs);
            this.#tickAgents();
        }
    }

    /** Returns what keeps the cluster from surviving the tolerated losses at this time. */
    findShortfalls(): string[] {
        const { nowMs, leader } = this.cluster;
        if (leader?.hasQuorumLease(nowMs) !== true) {
            return ["no leader"];
        }
        const status = this.#agents.get(leader.replica.identity.name)?.membership.voterStatus(nowMs);
        const runningDisks = new Set(this.cluster.runners.map(runner => runner.replica.identity.diskId));
        const lost = leader.replica.membership.members.filter(member =>
            member.role === MemberRole.VOTER && !runningDisks.has(member.identity?.diskId ?? "")
        );
        return [
            ...(status?.isSufficient === true ? [] : [`too few voters: ${JSON.stringify(status)}`]),
            ...lost.map(member => `voter ${member.identity?.name} is gone`),
        ];
    }

    #tickAgents(): void {
        const { nowMs, nodes } = this.cluster;
        for (const { name, runner } of nodes.values()) {
            if (runner === undefined) {
                this.#agents.delete(name);
            }
            else {
                this.#agentOf(name, runner).membership.tick(nowMs);
            }
        }
    }

    #agentOf(name: string, runner: ReplicaRunner): Agent {
        const existing = this.#agents.get(name);
        if (existing?.runner === runner) {
            return existing;
        }
        const membership = new ClusterMembership({
            runner,
            caller: this.#calls.caller(),
            host: name,
            internalPort: INTERNAL_PORT,
            seedHosts: this.#seedHosts,
            requirements: this.#requirements,
            isLeading: () => runner.replica.role === ReplicaRole.Leader,
            formAlone: () => undefined,
            logger: this.#logger,
        }, this.cluster.nowMs);
        const agent = { runner, membership };
        this.#agents.set(name, agent);
        return agent;
    }

    #handleJoin(host: string, request: JoinRequest, nowMs: number): JoinResponse | undefined {
        const agent = this.#agents.get(host);
        const isRunning = agent !== undefined && this.cluster.nodes.get(host)?.runner === agent.runner;
        return isRunning ? agent.membership.handleJoin(request, nowMs) : undefined;
    }
}
