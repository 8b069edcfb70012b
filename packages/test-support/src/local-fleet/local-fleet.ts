import { messageOf } from "@waxwingspread/common";
import { createHash, randomBytes } from "node:crypto";
import { rm } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePorts, LOOPBACK } from "./free-ports.js";
import { ManagedProcess } from "./managed-process.js";
import { waitUntil } from "./wait-until.js";

// Valid from `src` as well as from `dist`: tests run this module from its source, but processes need built scripts.
const DAEMON_SCRIPT = fileURLToPath(new URL("../../../daemon/dist/main.js", import.meta.url));
const BACKEND_SERVER_SCRIPT = fileURLToPath(
    new URL("../../dist/stand-in-backend-server-main.js", import.meta.url),
);
const START_TIMEOUT_MS = 20_000;
const START_ATTEMPTS = 3;
const STOP_GRACE_MS = 10_000;

/** Kind of a process in a local fleet. */
export enum FleetRole {
    Control = "control",
    Entry = "entry",
    BackendServer = "backend-server",
}

/** Planned process with its name and address, which are known before any process is started. */
export interface FleetNode {
    name: string;
    role: FleetRole;
    availabilityZone: string;
    /** Address that the other processes call. */
    address: string;
}

/** Returns the address under which one process reaches another, for example that of a relay. */
export type FleetRoute = (from: FleetNode, to: FleetNode) => Promise<string> | string;

/** Size and settings of a local fleet. */
export interface LocalFleetOptions {
    dataFolder: string;
    availabilityZones: readonly string[];
    controlReplicas: number;
    entries: number;
    backendServers: number;
    /** Further daemon flags, without the leading dashes. */
    daemonFlags?: Record<string, string>;
    backendServerFlags?: Record<string, string>;
    /** Runs all backend servers of an availability zone in one process, to start many of them quickly. */
    oneBackendProcessPerZone?: boolean;
    /** Routes connections through other addresses; direct by default. */
    route?: FleetRoute;
    /** Returns the Node flags for a process, for example to profile it. */
    nodeFlags?: (node: FleetNode) => string[];
}

/** Process of the fleet with its listening addresses. */
export interface FleetMember {
    name: string;
    availabilityZone: string;
    process: ManagedProcess;
    callersAddress?: string;
    controlAddress?: string;
    operatorsAddress?: string;
    backendServerAddress?: string;
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
        for (let attempt = 1;; attempt += 1) {
            try {
                return await LocalFleet.#startOnce(options);
            }
            catch (error) {
                // Another program on this machine may take a port before the process that is to use it listens.
                if (attempt === START_ATTEMPTS || !messageOf(error).includes("EADDRINUSE")) {
                    throw error;
                }
            }
        }
    }

    static async #startOnce(options: LocalFleetOptions): Promise<LocalFleet> {
        const fleet = new LocalFleet(options);
        try {
            const plan = await fleet.#planNodes();
            await fleet.#startControls(plan);
            await fleet.#startEntries(plan);
            await fleet.#startBackendServers(plan);
            await Promise.all([...fleet.controls, ...fleet.entries].map(member => fleet.waitForReady(member)));
        }
        catch (error) {
            const output = fleet.#members().map(member => `${member.name}: ${member.process.output}`).join("\n");
            await fleet.kill();
            throw new Error(`local fleet failed to start:\n${output}`, { cause: error });
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

    /** Waits until a daemon's readiness path returns status 200. */
    async waitForReady(member: FleetMember): Promise<void> {
        await waitUntil(`${member.name} is ready`, START_TIMEOUT_MS, async () => {
            if (member.process.exited !== undefined) {
                throw new Error(`${member.name} exited before it was ready: ${member.process.output}`);
            }
            const response = await fetch(`http://${member.operatorsAddress}/readyz`).catch(() => undefined);
            await response?.arrayBuffer();
            return response?.status === 200 ? true : undefined;
        });
    }

    /** Waits until one of the given control replicas (by default all) serves as leader, and returns it. */
    async leader(among: readonly FleetMember[] = this.controls): Promise<FleetMember> {
        return waitUntil("a leader serves", START_TIMEOUT_MS, async () => {
            for (const member of among) {
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

    /** Kills all processes immediately. */
    async kill(): Promise<void> {
        await Promise.all(this.#members().map(member => member.process.kill()));
    }

    /** Removes the data folders; the processes must have ended. */
    async removeData(): Promise<void> {
        await rm(this.#options.dataFolder, { recursive: true, force: true });
    }

    async #planNodes(): Promise<FleetNode[]> {
        const { controlReplicas, entries, backendServers } = this.#options;
        const counts: [FleetRole, string, number][] = [
            [FleetRole.Control, "control", controlReplicas],
            [FleetRole.Entry, "entry", entries],
            [FleetRole.BackendServer, "backend", backendServers],
        ];
        const ports = await findFreePorts(controlReplicas + entries + backendServers);
        return counts.flatMap(([role, prefix, count]) =>
            Array.from({ length: count }, (unused, position) => ({
                name: `${prefix}-${position + 1}`,
                role,
                availabilityZone: this.#zoneAt(position),
                address: `${LOOPBACK}:${ports.shift()}`,
            }))
        );
    }

    /** Returns the value of `--address-translations` for a process; empty when it reaches all others directly. */
    async #translations(from: FleetNode, plan: readonly FleetNode[], roles: FleetRole[]): Promise<string> {
        const { route } = this.#options;
        const pairs: string[] = [];
        for (const to of plan) {
            if (route !== undefined && to !== from && roles.includes(to.role)) {
                const address = await route(from, to);
                if (address !== to.address) {
                    pairs.push(`${to.address}=${address}`);
                }
            }
        }
        return pairs.join(",");
    }

    async #startControls(plan: readonly FleetNode[]): Promise<void> {
        const nodes = plan.filter(node => node.role === FleetRole.Control);
        const ports = await findFreePorts(nodes.length);
        const peers = nodes.map(node => `${node.name}=${node.address}`).join(",");
        for (const node of nodes) {
            const translations = await this.#translations(node, plan, [FleetRole.Control]);
            this.controls.push(this.#startDaemon(node, {
                "role": "control",
                "listen-control": node.address,
                "listen-operators": `${LOOPBACK}:${ports.shift()}`,
                "data-folder": join(this.#options.dataFolder, node.name),
                "bootstrap-peers": peers,
                ...addressTranslationFlag(translations),
            }));
        }
    }

    async #startEntries(plan: readonly FleetNode[]): Promise<void> {
        const nodes = plan.filter(node => node.role === FleetRole.Entry);
        const ports = await findFreePorts(nodes.length);
        for (const node of nodes) {
            const translations = await this.#translations(node, plan, [FleetRole.Control, FleetRole.BackendServer]);
            this.entries.push(this.#startDaemon(node, {
                "role": "entry",
                "listen-callers": node.address,
                "listen-operators": `${LOOPBACK}:${ports.shift()}`,
                "control-addresses": this.controlAddresses.join(","),
                ...addressTranslationFlag(translations),
            }));
        }
    }

    async #startBackendServers(plan: readonly FleetNode[]): Promise<void> {
        const nodes = plan.filter(node => node.role === FleetRole.BackendServer);
        const groups = this.#options.oneBackendProcessPerZone === true
            ? this.#options.availabilityZones.map(zone => nodes.filter(node => node.availabilityZone === zone))
            : nodes.map(node => [node]);
        let seed = 1;
        for (const group of groups.filter(({ length }) => length > 0)) {
            await this.#startBackendProcess(group, plan, seed);
            seed += group.length;
        }
    }

    async #startBackendProcess(group: FleetNode[], plan: readonly FleetNode[], seed: number): Promise<void> {
        const [first] = group;
        if (first === undefined) {
            return;
        }
        const translations = await this.#translations(first, plan, [FleetRole.Entry]);
        const flags = {
            "host": LOOPBACK,
            "zone": first.availabilityZone,
            "rack": `${first.availabilityZone}-rack-1`,
            "seed": String(seed),
            ...addressTranslationFlag(translations),
            ...this.#options.backendServerFlags,
        };
        const args = [
            ...toArguments(flags),
            ...group.flatMap(node => [`--id=${node.name}`, `--port=${portOf(node.address)}`]),
            ...this.entryAddresses.map(address => `--entry=${address}`),
        ];
        const started = new ManagedProcess(first.name, BACKEND_SERVER_SCRIPT, args);
        for (const node of group) {
            const restart = (): ManagedProcess => new ManagedProcess(first.name, BACKEND_SERVER_SCRIPT, args);
            this.backendServers.push(
                this.#createMember(node, restart, { backendServerAddress: node.address }, started),
            );
        }
    }

    #startDaemon(node: FleetNode, flags: Record<string, string>): FleetMember {
        const allFlags = {
            "vm-name": node.name,
            "availability-zone": node.availabilityZone,
            "operator-token-hash": this.#operatorTokenHash,
            ...flags,
            ...this.#options.daemonFlags,
        };
        const nodeFlags = this.#options.nodeFlags?.(node) ?? [];
        const start = (): ManagedProcess =>
            new ManagedProcess(node.name, DAEMON_SCRIPT, toArguments(allFlags), {}, nodeFlags);
        return this.#createMember(node, start, {
            callersAddress: flags["listen-callers"],
            controlAddress: flags["listen-control"],
            operatorsAddress: flags["listen-operators"],
        });
    }

    #createMember(
        node: FleetNode,
        start: () => ManagedProcess,
        addresses: Partial<FleetMember>,
        started = start(),
    ): FleetMember {
        const member: FleetMember = {
            name: node.name,
            availabilityZone: node.availabilityZone,
            process: started,
            ...addresses,
            restart: () => {
                member.process = start();
                return member.process;
            },
        };
        return member;
    }

    #zoneAt(position: number): string {
        const zones = this.#options.availabilityZones;
        return zones[position % zones.length] ?? "";
    }

    #members(): FleetMember[] {
        return [...this.controls, ...this.entries, ...this.backendServers];
    }
}

const portOf = (address: string): string => address.slice(address.lastIndexOf(":") + 1);

const addressTranslationFlag = (translations: string): Record<string, string> =>
    translations === "" ? {} : { "address-translations": translations };

const toArguments = (flags: Record<string, string>): string[] =>
    Object.entries(flags).map(([name, value]) => `--${name}=${value}`);
