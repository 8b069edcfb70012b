import { createHash, randomBytes } from "node:crypto";
import { rm } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePorts, LOOPBACK } from "./free-ports.js";
import { ManagedProcess } from "./managed-process.js";
import { waitUntil } from "./wait-until.js";

const DAEMON_SCRIPT = fileURLToPath(import.meta.resolve("../../../daemon/dist/main.js"));
const BACKEND_SERVER_SCRIPT = fileURLToPath(import.meta.resolve("../stand-in-backend-server-main.js"));
const START_TIMEOUT_MS = 20_000;
const STOP_GRACE_MS = 10_000;

/** Shape of a local fleet. */
export interface LocalFleetOptions {
    dataFolder: string;
    availabilityZones: readonly string[];
    controlReplicas: number;
    entries: number;
    backendServers: number;
    /** Further daemon flags, without the leading dashes. */
    daemonFlags?: Record<string, string>;
    backendServerFlags?: Record<string, string>;
}

/** One process of the fleet and where it listens. */
export interface FleetMember {
    name: string;
    availabilityZone: string;
    process: ManagedProcess;
    callersAddress?: string;
    controlAddress?: string;
    operatorsAddress?: string;
    /** Starts the process again with the same settings. */
    restart: () => ManagedProcess;
}

/** Daemons and stand-in backend servers as processes on loopback, for development, tests and benchmarks. */
export class LocalFleet {
    readonly operatorToken = randomBytes(32).toString("base64url");
    readonly controls: FleetMember[] = [];
    readonly entries: FleetMember[] = [];
    readonly backendServers: FleetMember[] = [];
    readonly #options: LocalFleetOptions;
    readonly #operatorTokenHash: string;

    private constructor(options: LocalFleetOptions) {
        this.#options = options;
        const salt = randomBytes(16);
        const digest = createHash("sha256").update(salt).update(this.operatorToken).digest("hex");
        this.#operatorTokenHash = `${salt.toString("hex")}:${digest}`;
    }

    /** Starts all processes and waits until every daemon is ready. */
    static async start(options: LocalFleetOptions): Promise<LocalFleet> {
        const fleet = new LocalFleet(options);
        try {
            await fleet.#startControls();
            await fleet.#startEntries();
            fleet.#startBackendServers();
            await Promise.all([...fleet.controls, ...fleet.entries].map(member => fleet.waitForReady(member)));
        }
        catch (error) {
            const output = fleet.#members().map(member => `${member.name}: ${member.process.output}`).join("\n");
            await fleet.kill();
            throw new Error(`the fleet did not start:\n${output}`, { cause: error });
        }
        return fleet;
    }

    get controlAddresses(): string[] {
        return this.controls.map(member => member.controlAddress ?? "");
    }

    get entryAddresses(): string[] {
        return this.entries.map(member => member.callersAddress ?? "");
    }

    dataFolderOf(control: FleetMember): string {
        return join(this.#options.dataFolder, control.name);
    }

    /** Waits until a daemon's readiness path answers 200. */
    async waitForReady(member: FleetMember): Promise<void> {
        await waitUntil(`${member.name} is ready`, START_TIMEOUT_MS, async () => {
            if (member.process.exited !== undefined) {
                throw new Error(`${member.name} ended: ${member.process.output}`);
            }
            const response = await fetch(`http://${member.operatorsAddress}/readyz`).catch(() => undefined);
            await response?.arrayBuffer();
            return response?.status === 200 ? true : undefined;
        });
    }

    /** Returns the control replica that serves as leader. */
    async leader(): Promise<FleetMember> {
        return waitUntil("a leader serves", START_TIMEOUT_MS, async () => {
            for (const member of this.controls) {
                const response = await fetch(`http://${member.operatorsAddress}/leaderz`).catch(() => undefined);
                await response?.arrayBuffer();
                if (response?.status === 200) {
                    return member;
                }
            }
            return undefined;
        });
    }

    /** Stops all processes in order: backend servers, entries, controls. */
    async stop(): Promise<void> {
        for (const group of [this.backendServers, this.entries, this.controls]) {
            await Promise.all(group.map(member => member.process.terminate(STOP_GRACE_MS)));
        }
    }

    /** Ends all processes at once. */
    async kill(): Promise<void> {
        await Promise.all(this.#members().map(member => member.process.kill()));
    }

    /** Removes the data folders; the processes must have ended. */
    async removeData(): Promise<void> {
        await rm(this.#options.dataFolder, { recursive: true, force: true });
    }

    async #startControls(): Promise<void> {
        const count = this.#options.controlReplicas;
        const ports = await findFreePorts(count * 2);
        const names = Array.from({ length: count }, (unused, position) => `control-${position + 1}`);
        const addresses = names.map((name, position) => `${LOOPBACK}:${ports[position]}`);
        const peers = names.map((name, position) => `${name}=${addresses[position]}`).join(",");
        names.forEach((name, position) =>
            this.controls.push(this.startDaemon(name, this.#zone(position), {
                "role": "control",
                "listen-control": addresses[position] ?? "",
                "listen-operators": `${LOOPBACK}:${ports[count + position]}`,
                "data-folder": join(this.#options.dataFolder, name),
                "bootstrap-peers": peers,
            }))
        );
    }

    async #startEntries(): Promise<void> {
        const count = this.#options.entries;
        const ports = await findFreePorts(count * 2);
        for (let position = 0; position < count; position += 1) {
            this.entries.push(this.startDaemon(`entry-${position + 1}`, this.#zone(position), {
                "role": "entry",
                "listen-callers": `${LOOPBACK}:${ports[position]}`,
                "listen-operators": `${LOOPBACK}:${ports[count + position]}`,
                "control-addresses": this.controlAddresses.join(","),
            }));
        }
    }

    #startBackendServers(): void {
        for (let position = 0; position < this.#options.backendServers; position += 1) {
            const name = `backend-${position + 1}`;
            const availabilityZone = this.#zone(position);
            const flags = {
                "id": name,
                "host": LOOPBACK,
                "zone": availabilityZone,
                "rack": `${availabilityZone}-rack-1`,
                "seed": String(position + 1),
                ...this.#options.backendServerFlags,
            };
            const entries = this.entryAddresses.map(address => `--entry=${address}`);
            const start = (): ManagedProcess =>
                new ManagedProcess(name, BACKEND_SERVER_SCRIPT, [...toArguments(flags), ...entries]);
            this.backendServers.push(this.#member(name, availabilityZone, start, {}));
        }
    }

    /** Starts one more daemon with the given flags. */
    startDaemon(name: string, availabilityZone: string, flags: Record<string, string>): FleetMember {
        const allFlags = {
            "vm-name": name,
            "availability-zone": availabilityZone,
            "operator-token-hash": this.#operatorTokenHash,
            ...flags,
            ...this.#options.daemonFlags,
        };
        const start = (): ManagedProcess => new ManagedProcess(name, DAEMON_SCRIPT, toArguments(allFlags));
        return this.#member(name, availabilityZone, start, {
            callersAddress: flags["listen-callers"],
            controlAddress: flags["listen-control"],
            operatorsAddress: flags["listen-operators"],
        });
    }

    #member(
        name: string,
        availabilityZone: string,
        start: () => ManagedProcess,
        addresses: Partial<FleetMember>,
    ): FleetMember {
        const member: FleetMember = {
            name,
            availabilityZone,
            process: start(),
            ...addresses,
            restart: () => {
                member.process = start();
                return member.process;
            },
        };
        return member;
    }

    #zone(position: number): string {
        const zones = this.#options.availabilityZones;
        return zones[position % zones.length] ?? "";
    }

    #members(): FleetMember[] {
        return [...this.controls, ...this.entries, ...this.backendServers];
    }
}

const toArguments = (flags: Record<string, string>): string[] =>
    Object.entries(flags).map(([name, value]) => `--${name}=${value}`);
