import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import {
    BootstrapHandshake,
    BootstrapState,
    isDiskFullError,
    ReplicaRole,
    ReplicaRunner,
    ReplicaStore,
} from "@waxwingspread/consensus";
import type { ReplicaLimits } from "@waxwingspread/consensus";
import { DescribeResponseSchema } from "@waxwingspread/protocol";
import type { LogEntry, ReplicaIdentity, ReplicaMessage, SnapshotHeader } from "@waxwingspread/protocol";
import { createHash } from "node:crypto";
import { FakeFileSystem, FileOperation } from "./fake-file-system.js";
import { ReplicationOracle } from "./replication-oracle.js";

const DATA_FOLDER = "/data";
const MICROTASKS_PER_STEP = 60;
const MIN_STEP_MS = 4;
const MAX_STEP_MS = 16;
const MAX_OUTAGE_MS = 1_500;
const START_RETRY_INTERVAL_MS = 100;

/** Fault probabilities from 0 to 1, per message (loss, duplication) or per step (the others). */
export interface FaultRates {
    loss: number;
    duplication: number;
    crash: number;
    partition: number;
    /** Probability that a process is suspended for a while; it is not notified. */
    pause: number;
    /** Probability per step that a pending disk operation proceeds. */
    diskProgress: number;
    maximumDelayMs: number;
}

/** Rates without faults and with short message delays. */
export const NO_FAULTS: FaultRates = {
    loss: 0,
    duplication: 0,
    crash: 0,
    partition: 0,
    pause: 0,
    diskProgress: 1,
    maximumDelayMs: 4,
};

/** Construction parameters of a simulated cluster. */
export interface ClusterOptions {
    seed: number;
    names: readonly string[];
    rates?: Partial<FaultRates>;
    snapshotIntervalEntries?: number;
    limits?: Partial<ReplicaLimits>;
}

/** One simulated control VM. */
export interface SimulatedNode {
    name: string;
    availabilityZone: string;
    fileSystem: FakeFileSystem;
    runner?: ReplicaRunner;
    restartAtMs: number;
    pausedUntilMs: number;
    appliedIndex: number;
    stateHash: string;
    pendingDiskOperations: (() => void)[];
    /** True while disk writes wait for a step of the simulation instead of running immediately. */
    areDiskWritesDelayed: boolean;
}

interface InFlightMessage {
    from: string;
    to: ReplicaIdentity;
    message: ReplicaMessage;
    atMs: number;
}

const nextStateHash = (previous: string, entry: LogEntry): string => {
    const content = entry.body.case === "data" ? entry.body.value : String(entry.body.case);
    return createHash("sha1").update(previous).update(`${entry.index}/${entry.term}`).update(content).digest("hex");
};

/** Replicas with fake disks and a faulty network in simulated time. All random choices are derived from the seed. */
export class SimulatedCluster {
    readonly random: SeededRandom;
    readonly oracle = new ReplicationOracle();
    readonly nodes = new Map<string, SimulatedNode>();
    rates: FaultRates;
    nowMs = 1_000;
    /** Names of the nodes that exchange no messages with the others. */
    isolated = new Set<string>();
    /** Number of crashes so far. */
    crashCount = 0;
    readonly #options: ClusterOptions;
    #messages: InFlightMessage[] = [];
    #nextRecord = 0;

    constructor(options: ClusterOptions) {
        this.#options = options;
        this.random = new SeededRandom(options.seed);
        this.rates = { ...NO_FAULTS, ...options.rates };
    }

    /**
     * Starts all nodes with empty disks and forms the cluster through the bootstrap handshake. Only the first `limit`
     * nodes complete the handshake and form it.
     */
    async form(limit = Infinity): Promise<void> {
        for (const name of this.#options.names) {
            await this.start(this.addNode(name));
        }
        const runners = this.runners;
        for (const runner of runners.slice(0, limit)) {
            const peers = runners.filter(peer => peer !== runner).map(peer => peer.replica.identity);
            const handshake = new BootstrapHandshake({ identity: runner.replica.identity, peers });
            for (const identity of peers) {
                handshake.handleResponse(identity, create(DescribeResponseSchema, { identity }), this.nowMs);
            }
            const membership = handshake.membership(this.nowMs);
            if (handshake.state(this.nowMs) === BootstrapState.Ready && membership !== undefined) {
                runner.form(membership, this.nowMs);
            }
        }
    }

    get runners(): ReplicaRunner[] {
        return [...this.nodes.values()].flatMap(node => node.runner ?? []);
    }

    /** Returns the leader with the highest term. */
    get leader(): ReplicaRunner | undefined {
        return this.runners
            .filter(runner => runner.replica.role === ReplicaRole.Leader)
            .sort((a, b) => b.replica.term - a.replica.term)[0];
    }

    runner(name: string): ReplicaRunner {
        const runner = this.nodes.get(name)?.runner;
        if (runner === undefined) {
            throw new Error(`${name} is not running`);
        }
        return runner;
    }

    /** Adds a node that is not started yet. */
    addNode(name: string, availabilityZone = ""): SimulatedNode {
        const node: SimulatedNode = {
            name,
            availabilityZone,
            fileSystem: new FakeFileSystem(new SeededRandom(this.random.nextInteger(0, 1_000_000))),
            restartAtMs: Infinity,
            pausedUntilMs: 0,
            appliedIndex: 0,
            stateHash: "",
            pendingDiskOperations: [],
            areDiskWritesDelayed: false,
        };
        node.fileSystem.delay = operation => {
            const isWrite = operation === FileOperation.Append || operation === FileOperation.Sync
                || operation === FileOperation.Rename;
            if (!node.areDiskWritesDelayed || !isWrite || this.rates.diskProgress >= 1) {
                return undefined;
            }
            return new Promise(resolve => node.pendingDiskOperations.push(resolve));
        };
        this.nodes.set(name, node);
        return node;
    }

    /** Starts a node from what its disk contains. */
    async start(node: SimulatedNode): Promise<void> {
        node.restartAtMs = Infinity;
        node.appliedIndex = 0;
        node.stateHash = "";
        node.areDiskWritesDelayed = false;
        const opened = await ReplicaStore.open({
            fileSystem: node.fileSystem.process(),
            folder: DATA_FOLDER,
            name: node.name,
            address: `${node.name}:1`,
            availabilityZone: node.availabilityZone,
            newDiskId: () => `${node.name}-${this.random.nextInteger(0, 1_000_000)}`,
            segmentBytes: 2_000,
        });
        node.areDiskWritesDelayed = true;
        let isCurrent = true;
        // Ignores the hooks of a runner that a restart has replaced.
        const unlessReplaced = <T extends unknown[]>(hook: (...args: T) => void) => (...args: T) => {
            if (isCurrent && (node.runner === undefined || node.runner === runner)) {
                hook(...args);
            }
            isCurrent = node.runner === undefined || node.runner === runner;
        };
        node.runner = undefined;
        const runner: ReplicaRunner = new ReplicaRunner({
            opened,
            random: new SeededRandom(this.random.nextInteger(0, 1_000_000)),
            snapshotIntervalEntries: this.#options.snapshotIntervalEntries,
            limits: this.#options.limits,
            defer: queueMicrotask,
            hooks: {
                send: unlessReplaced((to: ReplicaIdentity, message: ReplicaMessage) =>
                    this.#send(node.name, to, message)
                ),
                onCommit: unlessReplaced((entries: LogEntry[]) =>
                    entries.forEach(entry => this.#applyEntry(node, entry))
                ),
                onRestoreSnapshot: (header, bytes) => this.#restoreSnapshot(node, header, bytes),
                onRoleChange: unlessReplaced(change => {
                    if (change.role === ReplicaRole.Leader) {
                        this.oracle.recordLeader(change.term, runner.replica);
                    }
                }),
                takeSnapshot: () => Buffer.from(node.stateHash.repeat(this.random.nextInteger(1, 4))),
                onFailed: () => undefined,
            },
        }, this.nowMs);
        node.runner = runner;
    }

    /** Cuts the power of a node; unsynced data on its disk is lost or torn. */
    crash(name: string, restartInMs = Infinity): void {
        this.#end(name, restartInMs, fileSystem => fileSystem.crash());
    }

    /** Ends the process of a node; unsynced data is still there at its restart, but may be lost with the power later. */
    kill(name: string, restartInMs = Infinity): void {
        this.#end(name, restartInMs, fileSystem => fileSystem.endProcess());
    }

    #end(name: string, restartInMs: number, affectDisk: (fileSystem: FakeFileSystem) => void): void {
        const node = this.nodes.get(name);
        if (node?.runner === undefined) {
            return;
        }
        this.crashCount += 1;
        affectDisk(node.fileSystem);
        node.runner = undefined;
        node.pendingDiskOperations.splice(0).forEach(resume => resume());
        node.restartAtMs = this.nowMs + restartInMs;
    }

    /** Proposes a unique record at every running replica; those that are not leader by their own state refuse it. */
    propose(): void {
        const running = [...this.nodes.values()].filter(node => !this.#isPaused(node));
        for (const runner of running.flatMap(node => node.runner ?? [])) {
            this.#nextRecord += 1;
            runner.propose([Buffer.from(`record ${this.#nextRecord}`)], this.nowMs);
        }
    }

    /** Runs the simulation for a time at the configured fault rates; with `withProposals`, proposes records. */
    async run(durationMs: number, withProposals = true): Promise<void> {
        const endMs = this.nowMs + durationMs;
        while (this.nowMs < endMs) {
            await this.step(withProposals);
        }
    }

    async step(withProposals: boolean): Promise<void> {
        this.nowMs += this.random.nextInteger(MIN_STEP_MS, MAX_STEP_MS);
        await this.#injectFaults();
        for (const node of this.nodes.values()) {
            const pending = node.pendingDiskOperations;
            while (pending.length > 0 && this.random.nextRatio() < this.rates.diskProgress) {
                pending.shift()?.();
                await this.#runMicrotasks(1);
            }
            if (!this.#isPaused(node)) {
                node.runner?.tick(this.nowMs);
            }
        }
        if (withProposals && this.random.nextRatio() < 1 / 2) {
            this.propose();
        }
        this.#deliver();
        await this.#runMicrotasks(MICROTASKS_PER_STEP);
        this.oracle.check(this.runners, this.nowMs);
    }

    /** Starts a node, or tries again later if its disk is too full to open the log. */
    async #startUnlessFull(node: SimulatedNode): Promise<void> {
        try {
            await this.start(node);
        }
        catch (error) {
            if (!isDiskFullError(error)) {
                throw error;
            }
            node.restartAtMs = this.nowMs + START_RETRY_INTERVAL_MS;
        }
    }

    async #runMicrotasks(count: number): Promise<void> {
        for (let microtask = 0; microtask < count; microtask += 1) {
            await Promise.resolve();
        }
    }

    async #injectFaults(): Promise<void> {
        for (const node of this.nodes.values()) {
            if (node.runner === undefined && this.nowMs >= node.restartAtMs) {
                await this.#startUnlessFull(node);
            }
            else if (this.random.nextRatio() < this.rates.crash) {
                const outageMs = this.random.nextInteger(1, MAX_OUTAGE_MS);
                if (this.random.nextRatio() < 1 / 2) {
                    this.crash(node.name, outageMs);
                }
                else {
                    this.kill(node.name, outageMs);
                }
            }
            else if (this.random.nextRatio() < this.rates.pause) {
                node.pausedUntilMs = this.nowMs + this.random.nextInteger(1, MAX_OUTAGE_MS);
            }
        }
        if (this.random.nextRatio() < this.rates.partition) {
            const isHealed = this.random.nextRatio() < 1 / 2;
            this.isolated = new Set(isHealed ? [] : [this.random.pick([...this.nodes.keys()])]);
        }
    }

    #send(from: string, to: ReplicaIdentity, message: ReplicaMessage): void {
        if (this.random.nextRatio() < this.rates.loss || to.address === "") {
            return;
        }
        const copies = this.random.nextRatio() < this.rates.duplication ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            const atMs = this.nowMs + this.random.nextInteger(1, this.rates.maximumDelayMs);
            this.#messages.push({ from, to, message, atMs });
        }
    }

    #isPaused(node: SimulatedNode): boolean {
        return this.nowMs < node.pausedUntilMs;
    }

    /** Delivers the messages that are due; those to a paused process wait. */
    #deliver(): void {
        const isDue = (item: InFlightMessage) => {
            const target = this.#targetOf(item);
            return item.atMs <= this.nowMs && (target === undefined || !this.#isPaused(target));
        };
        const due = this.#messages.filter(isDue).sort((a, b) => a.atMs - b.atMs);
        this.#messages = this.#messages.filter(item => !isDue(item));
        for (const item of due) {
            const target = this.#targetOf(item);
            if (target !== undefined && !this.isolated.has(item.from) && !this.isolated.has(target.name)) {
                target.runner?.receive(item.message, this.nowMs);
            }
        }
    }

    #targetOf(item: InFlightMessage): SimulatedNode | undefined {
        return this.nodes.get(item.to.address.split(":")[0] ?? "");
    }

    #applyEntry(node: SimulatedNode, entry: LogEntry): void {
        this.oracle.checkNextApplied(node.name, node.appliedIndex, entry.index);
        node.appliedIndex = entry.index;
        node.stateHash = nextStateHash(node.stateHash, entry);
        this.oracle.recordCommit(entry, node.stateHash);
    }

    #restoreSnapshot(node: SimulatedNode, header: SnapshotHeader, bytes: Uint8Array): void {
        node.appliedIndex = header.lastIndex;
        node.stateHash = Buffer.from(bytes).toString().slice(0, "0".repeat(40).length);
        this.oracle.checkSnapshot(header.lastIndex, node.stateHash);
    }
}
