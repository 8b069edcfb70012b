// Starts the project's programs as separate processes, with the commands of the deploy file and one loopback address for
// each machine.
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { send } from "./http.mjs";

const repository = fileURLToPath(new URL("../../", import.meta.url));
const CONTROL_PORT = 18166;
const FRONTEND_PORT = 18161;
const READINESS_PORT = 18167;
const INTERNAL_PORTS = [17720, 17735];
const METRICS_PORTS = { entry: 9464, control: 9465 };
const RUN = {
    entry: ["--max-old-space-size=120", "--max-semi-space-size=1", "target/entry.mjs"],
    control: ["--max-old-space-size=200", "--max-semi-space-size=2", "target/control.mjs"],
};

/** Bounds of the smaller deployments, from the settings file on the page DEPLOY. */
export const BOUNDS = {
    seed_lag_s: 3,
    addr_reuse_s: 2,
    contact_ms: 3000,
    ack_timeout_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_s: 6,
    loss_slack_ms: 200,
    config_apply_ms: 2000,
    rollback_slack_ms: 250,
    max_stretch_ms: 5000,
    cold_overage: 1.5,
    cold_slack: 5,
    evacuate_ms: 5000,
    recovery_s: 12,
    max_hold_ms: 6000,
    stop_ms: 400,
    gang_timeout_ms: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    remote_slowdown: 3,
    checkpoint_s: 2,
    restore_ms: 250,
    notice_ms: 4500,
    migrate_s: 1.5,
    maintenance_s: 2,
    fencing_required: true,
    lease_ms: 3000,
    thaw_slack_ms: 300,
    pace_ms: 100,
    impact_ms: 5500,
};

const isFree = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** Returns the first three parts of loopback addresses on which nothing listens. */
const freePrefix = async count => {
    for (;;) {
        const prefix = `127.${2 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
        const ports = [CONTROL_PORT, FRONTEND_PORT, READINESS_PORT, INTERNAL_PORTS[0], ...Object.values(METRICS_PORTS)];
        const checks = Array.from(
            { length: count },
            (unused, index) => ports.map(port => isFree(`${prefix}.${index + 1}`, port)),
        ).flat();
        if ((await Promise.all(checks)).every(Boolean)) {
            return prefix;
        }
    }
};

/** Machines of three zones; the first one of each zone has a disk. */
export class Fleet {
    constructor(prefix, zones, machinesPerZone, overrides) {
        this.folder = mkdtempSync(join(tmpdir(), "waxwingspread-review-"));
        this.overrides = overrides;
        this.zones = zones;
        this.processes = new Map();
        this.machines = [];
        for (let index = 0; index < machinesPerZone; index += 1) {
            for (const zone of zones) {
                const number = this.machines.length + 1;
                this.machines.push({
                    name: `edge-${zone}-${index + 1}`,
                    zone,
                    ip: `${prefix}.${number}`,
                    hasDisk: index === 0,
                });
            }
        }
        this.seeds = this.machines.slice(0, 3).map(machine => `${machine.ip}:${CONTROL_PORT}`);
    }

    static async create({ zones = ["zone-a", "zone-b", "zone-c"], machinesPerZone = 2, overrides = {} } = {}) {
        const prefix = await freePrefix(zones.length * machinesPerZone);
        return new Fleet(prefix, zones, machinesPerZone, overrides);
    }

    get controlAddresses() {
        return this.machines.map(machine => `${machine.ip}:${CONTROL_PORT}`);
    }

    get frontends() {
        return this.machines.map(machine => `http://${machine.ip}:${FRONTEND_PORT}`);
    }

    startAll() {
        for (const machine of this.machines) {
            this.start("control", machine, true);
            this.start("entry", machine, true);
        }
    }

    start(role, machine, isFirstStart = false) {
        const dataFolder = join(this.folder, `${role}-${machine.name}`);
        const hasDisk = role === "control" && machine.hasDisk;
        if (hasDisk) {
            mkdirSync(dataFolder, { recursive: true });
        }
        const settings = {
            node_name: machine.name,
            role,
            machine_class: "edge",
            serves: [role === "entry" ? "edge" : "control"],
            ip: machine.ip,
            zone: machine.zone,
            region: "region-1",
            internal_port_range: INTERNAL_PORTS,
            seed_nodes: this.seeds,
            bootstrap: isFirstStart,
            loss_counts: machine.hasDisk,
            data_dir: hasDisk ? dataFolder : null,
            discovery: "registry",
            entrypoint: "vip",
            heartbeat_ms: 1500,
            contracts: ["base", "drain", "config", "cost", "recover", "sched", "places", "advice", "upkeep", "sharing"],
            config_mode: "highest",
            orders: "heartbeat",
            advice: "",
            zones: Object.fromEntries(this.zones.map(zone => [zone, "region-1"])),
            bind_addrs: role === "entry"
                ? { frontend: `${machine.ip}:${FRONTEND_PORT}`, readiness: `${machine.ip}:${READINESS_PORT}` }
                : { control_plane: `${machine.ip}:${CONTROL_PORT}` },
            limits: { cpu_share: 0.945, cpu_cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 128 },
            fault_tolerance: { machines: 1, zones: 1, regions: 0 },
            bounds: BOUNDS,
            cloud_api: { address: "", rate_per_s: 60, duties: [], duty_per_s: 60 },
            ...this.overrides,
        };
        const path = join(this.folder, `${role}-${machine.name}.json`);
        writeFileSync(path, JSON.stringify(settings));
        const log = openSync(join(this.folder, `${role}-${machine.name}.log`), "a");
        const child = spawn(process.execPath, RUN[role], {
            cwd: repository,
            env: {
                PATH: process.env.PATH,
                HOME: process.env.HOME,
                WAXWINGSPREAD_BOOT: path,
                WAXWINGSPREAD_METRICS_PORT: String(METRICS_PORTS[role]),
            },
            stdio: ["ignore", log, log],
        });
        this.processes.set(`${role} ${machine.name}`, child);
    }

    /** Sends a signal to one process. */
    signal(role, machine, signal) {
        this.processes.get(`${role} ${machine.name}`)?.kill(signal);
    }

    /** Names of the processes that have ended by themselves. */
    get ended() {
        return [...this.processes].filter(([, child]) => child.exitCode !== null).map(([name]) => name);
    }

    /** Ends all processes and removes their folder. */
    async close() {
        const exits = [...this.processes.values()].map(child =>
            child.exitCode !== null || child.signalCode !== null
                ? undefined
                : new Promise(resolve => {
                    child.once("exit", resolve);
                    child.kill("SIGKILL");
                    child.kill("SIGCONT");
                })
        );
        await Promise.all(exits);
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            console.log(`logs are in ${this.folder}`);
        }
    }
}

/** Returns the machine to which the nodes without a disk redirect the callers of `control`; undefined without a leader. */
export const findLeader = async fleet => {
    for (const relay of fleet.machines.filter(machine => !machine.hasDisk)) {
        const response = await send({ method: "GET", url: `http://${relay.ip}:${CONTROL_PORT}/v1/leader` });
        const host = response.location === undefined ? undefined : new URL(response.location).hostname;
        const leader = fleet.machines.find(machine => machine.ip === host);
        if (leader !== undefined) {
            return leader;
        }
    }
    return undefined;
};
