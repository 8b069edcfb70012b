import { create } from "@bufbuild/protobuf";
import { initialMembership } from "@waxwingspread/consensus";
import { ReplicaIdentitySchema } from "@waxwingspread/protocol";
import { Callers } from "./callers.js";
import { ControlHost } from "./control-host.js";
import { EntryHost } from "./entry-host.js";
import { Network, NO_NETWORK_FAULTS } from "./network.js";
import { Operators } from "./operators.js";
import { Oracle } from "./oracle.js";
import { ServerHost } from "./server-host.js";
import type { Host } from "./simulation.js";
import { Simulation } from "./simulation.js";

/** Names of the availability zones. */
export const ZONES = ["a", "b", "c"] as const;
const CHECK_INTERVAL_MS = 50;
const START_TIMEOUT_MS = 10_000;

/** A process that can be frozen, killed and started. */
export type Process = ControlHost | EntryHost | ServerHost;

/** Three control replicas, three entries and some backend servers in three zones, with callers and operators. */
export class Fleet {
    readonly simulation: Simulation;
    readonly network: Network;
    readonly controls: ControlHost[];
    readonly entries: EntryHost[];
    readonly servers: ServerHost[];
    readonly callers: Callers;
    readonly operators: Operators;
    readonly oracle: Oracle;
    /** Commands executed so far. */
    readonly trace: string[] = [];

    constructor(seed: number, serverCount = 6) {
        this.simulation = new Simulation(seed);
        this.network = new Network(this.simulation);
        const control = (address: string): ControlHost | undefined =>
            this.controls.find(({ name }) => name === address);
        const entry = (address: string): EntryHost | undefined => this.entries.find(({ name }) => name === address);
        const server = (address: string): ServerHost | undefined => this.servers.find(({ name }) => name === address);
        this.controls = ZONES.map((zone, number) =>
            new ControlHost(this.simulation, this.network, control, `c${number + 1}`, zone)
        );
        const controlAddresses = this.controls.map(({ name }) => name);
        this.entries = ZONES.map((zone, number) =>
            new EntryHost(this.simulation, this.network, { control, server }, controlAddresses, `e${number + 1}`, zone)
        );
        const entryAddresses = this.entries.map(({ name }) => name);
        this.servers = Array.from({ length: serverCount }, (_unused, number) => {
            const zone = ZONES[number % ZONES.length] ?? "a";
            return new ServerHost(this.simulation, this.network, entry, entryAddresses, `s${number + 1}`, zone);
        });
        this.callers = new Callers(this.simulation, this.network, this.entries);
        this.operators = new Operators(this.simulation, this.network, this.controls);
        this.oracle = new Oracle(this);
    }

    get processes(): Process[] {
        return [...this.controls, ...this.entries, ...this.servers];
    }

    get hosts(): Host[] {
        return [...this.processes.map(({ host }) => host), this.callers.host, this.operators.host];
    }

    get leader(): ControlHost | undefined {
        return this.controls.find(({ isLeader }) => isLeader);
    }

    /** Starts all processes, waits until the contract is in force, and gives the servers time to announce. */
    async start(): Promise<void> {
        const identities = this.controls.map(({ name }) =>
            create(ReplicaIdentitySchema, { name, address: name, diskId: `${name}-disk-1` })
        );
        this.controls.forEach(control => {
            control.start(initialMembership(identities));
        });
        this.entries.forEach(entry => {
            entry.start();
        });
        this.servers.forEach(server => {
            server.start();
        });
        const contract = this.operators.writeContract(1);
        const isReady = (): boolean =>
            contract.outcome?.accepted === true
            && this.entries.every(({ node }) => (node?.configurationRevision ?? 0) > 0);
        await this.waitUntil(isReady, START_TIMEOUT_MS, "the start of the fleet");
        await this.advance(1_500);
    }

    /** Advances the time; the oracle checks the invariants at short intervals. */
    async advance(durationMs: number): Promise<void> {
        const endMs = this.simulation.nowMs + durationMs;
        while (this.simulation.nowMs < endMs) {
            await this.simulation.advance(Math.min(CHECK_INTERVAL_MS, endMs - this.simulation.nowMs));
            this.oracle.checkInvariants();
        }
    }

    /** Advances the time until a condition holds; a timeout is a violation. */
    async waitUntil(condition: () => boolean, timeoutMs: number, description: string): Promise<void> {
        const endMs = this.simulation.nowMs + timeoutMs;
        while (!condition()) {
            if (this.simulation.nowMs >= endMs) {
                this.oracle.violation(
                    [`timed out after ${timeoutMs} ms waiting for ${description}`, ...this.describe()].join("\n    "),
                );
            }
            await this.advance(CHECK_INTERVAL_MS);
        }
    }

    /** Describes the control replicas and the open jobs, for reports of violations. */
    describe(): string[] {
        const controls = this.controls.map(({ name, host, diskId, memberDiskIds, runner, missingBlobs, failure }) => {
            const state = host.isAlive ? `${runner?.replica.role} in term ${runner?.replica.term}` : "down";
            const log = `log ${runner?.replica.commitIndex}/${runner?.replica.lastIndex}`;
            const failed = failure === undefined ? "" : `, previous failure: ${failure.message}`;
            return `${name} (${diskId}): ${state}, ${log}, members ${
                memberDiskIds.join(" ")
            }, lacks ${missingBlobs} blobs${failed}`;
        });
        const jobs = this.callers.open.map(({ requestId, request }) => `${requestId} ${request.workClass}`);
        return [...controls, `open jobs: ${jobs.join(", ")}`];
    }

    /** Clears all faults of the network, disks and processes, and replaces the servers that are leaving. */
    clearFaults(): void {
        this.network.faults = NO_NETWORK_FAULTS;
        this.network.heal();
        this.controls.forEach(control => {
            control.freeDisk();
            control.corruptsReads = false;
        });
        for (const process of this.processes) {
            process.host.thaw();
            if (!process.host.isAlive) {
                process.start();
            }
        }
        for (const server of this.servers) {
            server.setFaults({ speedRatio: 1, silent: false, failEveryTask: false });
            if (server.leavingSinceMs !== undefined) {
                server.kill();
                server.start();
            }
        }
    }
}
