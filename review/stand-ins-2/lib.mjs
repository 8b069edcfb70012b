// Stand-ins of the second review: a small deployment of the project's own programs, workers, clients and operators.
// They speak what PROTOCOL.md says, on loopback addresses, and do nothing that the page does not allow.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Time after which the platform starts a process again. */
const RESTART_MS = 1000;
const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
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

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes what was sent, answered and run to record.txt in the folder of the case. */
export class Record {
    constructor(folder) {
        this.path = join(folder, "record.txt");
        this.t0 = performance.now();
        writeFileSync(this.path, "");
    }
    now() {
        return (performance.now() - this.t0) / 1000;
    }
    line(text) {
        appendFileSync(this.path, `${this.now().toFixed(3).padStart(8)}  ${text}\n`);
    }
}

/** Sends one HTTP request; status 0 if there is no complete response in time. */
export const call = ({ host, port, method, path, headers = {}, body, timeoutMs = 1000 }) =>
    new Promise(resolve => {
        const text = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
        const sent = performance.now();
        let settled = false;
        const done = value => {
            if (!settled) {
                settled = true;
                clearTimeout(timer);
                resolve({ ...value, ms: performance.now() - sent, sent });
            }
        };
        const all = { ...headers };
        if (text !== undefined) {
            all["content-type"] = "application/json";
            all["content-length"] = Buffer.byteLength(text);
        }
        const outgoing = request({ host, port, method, path, headers: all, agent: false }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => done({ status: 0 }));
            response.on("aborted", () => done({ status: 0 }));
            response.on("end", () => {
                const content = Buffer.concat(chunks).toString();
                let json;
                try {
                    json = content === "" ? {} : JSON.parse(content);
                }
                catch {
                    json = undefined;
                }
                done({ status: response.statusCode, json, text: content, location: response.headers.location });
            });
        });
        const timer = setTimeout(() => {
            outgoing.destroy();
            done({ status: 0 });
        }, timeoutMs);
        outgoing.on("error", () => done({ status: 0 }));
        outgoing.end(text);
    });

/** The same, and follows a 307 twice. */
export const callFollowing = async options => {
    let response = await call(options);
    for (let hop = 0; hop < 2 && response.status === 307 && response.location !== undefined; hop += 1) {
        const url = new URL(response.location);
        response = await call({ ...options, host: url.hostname, port: Number(url.port), path: url.pathname });
    }
    return response;
};

const isFree = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** A deployment: machines with a disk, each with an entry and a control process, and machines without one. */
export class Deployment {
    constructor(record, { disks = 3, others = 0, zones = ["a", "b", "c"], advice = "", cloud = "" } = {}) {
        this.record = record;
        this.children = new Map();
        this.ownEnds = 0;
        /** Ends of their own by process. */
        this.endsOf = new Map();
        this.isClosing = false;
        this.folder = mkdtempSync(join(tmpdir(), "waxwingspread-review-"));
        this.machines = [];
        this.count = disks + others;
        this.disks = disks;
        this.zones = zones;
        this.advice = advice;
        this.cloud = cloud;
    }

    async place() {
        for (let attempt = 0; attempt < 50; attempt += 1) {
            const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
            const base = 20000 + 100 * Math.floor(Math.random() * 100);
            this.ports = {
                frontend: base,
                readiness: base + 1,
                control: base + 2,
                internal: base + 10,
                metrics: { entry: base + 3, control: base + 4 },
            };
            const hosts = Array.from({ length: this.count }, (unused, index) => `${net}.${index + 1}`);
            const ports = [base, base + 1, base + 2, base + 3, base + 4, base + 10, base + 11, base + 12];
            const free = await Promise.all(hosts.flatMap(host => ports.map(port => isFree(host, port))));
            if (free.every(Boolean)) {
                this.machines = hosts.map((host, index) => ({
                    host,
                    zone: this.zones[index % this.zones.length],
                    hasDisk: index < this.disks,
                    name: `edge-${this.zones[index % this.zones.length]}-${index + 1}`,
                }));
                return;
            }
        }
        throw new Error("no free addresses");
    }

    settings(machine, role, bootstrap) {
        const { ports } = this;
        const data = join(this.folder, `${machine.name}-data`);
        if (machine.hasDisk) {
            mkdirSync(data, { recursive: true });
        }
        return {
            node_name: machine.name,
            role,
            machine_class: "edge",
            serves: [role === "entry" ? "edge" : "control"],
            ip: machine.host,
            zone: machine.zone,
            region: "r",
            internal_port_range: [ports.internal, ports.internal + 15],
            seed_nodes: this.machines.slice(0, 3).map(({ host }) => `${host}:${ports.control}`),
            bootstrap,
            loss_counts: machine.hasDisk,
            data_dir: role === "control" && machine.hasDisk ? data : "",
            discovery: "registry",
            entrypoint: "vip",
            heartbeat_ms: 1500,
            contracts: ["base", "drain", "config", "cost", "recover", "sched", "places", "advice", "upkeep", "sharing"],
            config_mode: "highest",
            orders: "heartbeat",
            advice: this.advice,
            zones: Object.fromEntries(this.zones.map(zone => [zone, "r"])),
            bind_addrs: {
                frontend: `${machine.host}:${ports.frontend}`,
                readiness: `${machine.host}:${ports.readiness}`,
                control_plane: `${machine.host}:${ports.control}`,
            },
            limits: {
                cpu_share: 0.945,
                cpu_cores: 1,
                memory_mb: 350,
                max_fds: 4100,
                link_mbps: 1000,
                disk_mb: machine.hasDisk ? 128 : 0,
            },
            fault_tolerance: { machines: 1, zones: 1, regions: 0 },
            bounds: BOUNDS,
            cloud_api: { address: this.cloud, rate_per_s: 60, duties: [], duty_per_s: 60 },
        };
    }

    /** Starts a role with the command of the deploy file. */
    start(machine, role, bootstrap = false) {
        const deploy = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
        const section = deploy.split(`[roles.${role}]`)[1] ?? "";
        const command = /^run = "([^"]+)"/m.exec(section)?.[1] ?? "";
        const path = join(this.folder, `${machine.name}-${role}.json`);
        writeFileSync(path, JSON.stringify(this.settings(machine, role, bootstrap)));
        const [program, ...args] = command.split(" ");
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: ROOT,
            env: {
                PATH: process.env.PATH,
                HOME: this.folder,
                LANG: "C.UTF-8",
                WAXWINGSPREAD_BOOT: path,
                WAXWINGSPREAD_METRICS_PORT: String(this.ports.metrics[role]),
            },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const key = `${machine.name}/${role}`;
        child.log = "";
        const keep = chunk => {
            child.log = (child.log + chunk).slice(-2_000_000);
        };
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.on("exit", (code, signal) => {
            this.record.line(`process ${key} ended (${signal ?? code})`);
            // The platform starts a process again that has ended by itself.
            if (!this.isClosing) {
                this.ownEnds += 1;
                this.endsOf.set(key, (this.endsOf.get(key) ?? 0) + 1);
                setTimeout(() => this.isClosing || this.start(machine, role), RESTART_MS);
            }
        });
        this.children.set(key, child);
        this.record.line(`process ${key} started`);
    }

    child(machine, role) {
        return this.children.get(`${machine.name}/${role}`);
    }

    signal(machine, role, signal) {
        this.record.line(`signal ${signal} to ${machine.name}/${role}`);
        this.child(machine, role)?.kill(signal);
    }

    async startAll() {
        await this.place();
        for (const machine of this.machines) {
            this.start(machine, "control", true);
            this.start(machine, "entry", true);
        }
    }

    get controls() {
        return this.machines.map(({ host }) => ({ host, port: this.ports.control }));
    }
    get entries() {
        return this.machines.map(({ host }) => ({ host, port: this.ports.frontend }));
    }

    /** The machine that leads, by what a process without the leadership answers; undefined if none is known. */
    leaderFromLogs() {
        let latest;
        for (const machine of this.machines) {
            for (const text of (this.child(machine, "control")?.log ?? "").split("\n")) {
                if (text.includes("replica role changed")) {
                    try {
                        const entry = JSON.parse(text);
                        const time = Date.parse(entry.time) || Number(entry.time);
                        if (entry.replicaRole === "leader" && (latest === undefined || entry.term > latest.term)) {
                            latest = { machine, term: entry.term, time };
                        }
                    }
                    catch { /* a line that is cut off */ }
                }
            }
        }
        return latest?.machine;
    }

    async close() {
        this.isClosing = true;
        const open = [...this.children.values()].filter(child => child.exitCode === null && child.signalCode === null);
        const ended = open.map(child => new Promise(resolve => child.once("exit", resolve)));
        open.forEach(child => child.kill("SIGKILL"));
        await Promise.all(ended);
        rmSync(this.folder, { recursive: true, force: true });
    }
}

export const HOST = "shop.example";
export const PREFIX = "/jobs/";
export const configuration = (version, changes = {}) => ({
    version,
    routes: [{
        name: "r-jobs",
        host: HOST,
        path_prefix: PREFIX,
        type: "non_idempotent",
        timeout_ms: 3000,
        target_duration_ms: 3000,
        priority: 0,
        service: "pool",
        attempts: 2,
        stretch: 2.2,
        ...changes.route,
    }, ...(changes.routes ?? [])],
    services: [{
        name: "pool",
        health_check: "/healthz",
        max_conns: 64,
        protocol: "h1",
        tls: false,
        cold_start_s: 0,
        cold_per_s: 0,
        admission_control: true,
        standby: false,
        ...changes.service,
    }, ...(changes.services ?? [])],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
});

/** The operator: sends an order to one node after the other until one acknowledges it. */
export class Operator {
    constructor(deployment) {
        this.deployment = deployment;
        this.record = deployment.record;
    }

    async order(method, path, body, { limitMs = 15_000, first = 0 } = {}) {
        const nodes = this.deployment.controls;
        const endMs = performance.now() + limitMs;
        for (let attempt = first; performance.now() < endMs; attempt += 1) {
            const node = nodes[attempt % nodes.length];
            const response = await callFollowing({ ...node, method, path, body });
            this.record.line(`operator: ${method} ${path} to ${node.host} -> ${response.status || "no response"}`);
            if (response.status >= 200 && response.status < 300) {
                return response;
            }
            if ([400, 409, 412, 413, 422].includes(response.status)) {
                return response;
            }
            await sleep(200);
        }
        return { status: 0 };
    }
}

/** A client: submits, asks and cancels, at one entry after the other. */
export class Client {
    constructor(deployment) {
        this.deployment = deployment;
        this.record = deployment.record;
        this.next = 0;
    }

    async once(method, path, body, { entry, timeoutMs = 3000 } = {}) {
        const entries = this.deployment.entries;
        const node = entry ?? entries[this.next++ % entries.length];
        const response = await call({
            ...node,
            method,
            path,
            body,
            timeoutMs,
            headers: { host: HOST, "waxwingspread-deadline-ms": String(timeoutMs) },
        });
        const shown = response.json === undefined ? "" : ` ${JSON.stringify(response.json).slice(0, 100)}`;
        this.record.line(`client: ${method} ${path} to ${node.host} -> ${response.status || "no response"}${shown}`);
        return response;
    }

    /** Repeats a request with the same ID until there is a clear answer. */
    async until(method, id, body, { limitMs = 15_000 } = {}) {
        const endMs = performance.now() + limitMs;
        let response = { status: 0 };
        while (performance.now() < endMs) {
            response = await this.once(method, PREFIX + id, body);
            if (response.status === 200 || response.status === 410 || response.status === 400) {
                return response;
            }
            await sleep(250);
        }
        return response;
    }
}

/** One machine's worker. Its lives follow each other under one id, or under ids of their own. */
export class Worker {
    constructor(
        deployment,
        { id, zone, capacity = { cpu: 16000, mem_mb: 64000, gpu: 0 }, rack = "r1-1", service = "pool" },
    ) {
        Object.assign(this, { deployment, record: deployment.record, id, zone, capacity, rack, service });
        this.log = [];
        this.isUp = false;
        this.onStart = () => undefined;
        this.behaviour = () => ({ ms: 1000 });
        this.skip = 0;
    }

    start() {
        this.life = (this.life ?? 0) + 1;
        this.isUp = true;
        this.born = Date.now();
        this.bornAt = performance.now();
        this.seq = 0;
        this.running = new Map();
        this.ended = [];
        this.endCount = 0;
        this.highestRun = new Map();
        this.fence = 0;
        this.leaseEnd = 0;
        this.state = "ready";
        this.address = undefined;
        this.record.line(`worker ${this.id}: life ${this.life} begins`);
        void this.loop(this.life);
    }

    /** Crashes: it says nothing more, and runs nothing. */
    crash() {
        this.isUp = false;
        const lost = [...this.running].map(([task, { run }]) => `${task}#${run}`).join(" ");
        this.running.forEach(({ timer }) => clearTimeout(timer));
        this.running = new Map();
        this.record.line(`worker ${this.id}: crashes${lost === "" ? "" : `, and with it ${lost}`}`);
    }

    async loop(life) {
        let node = this.deployment.controls[this.skip++ % this.deployment.controls.length];
        while (this.isUp && this.life === life) {
            const target = this.address ?? node;
            const sent = performance.now();
            const response = await this.ping(target);
            if (!this.isUp || this.life !== life) {
                return;
            }
            if (response.status >= 200 && response.status < 300 && performance.now() - sent <= 1000) {
                this.obey(response.json ?? {}, sent);
                const wait = Math.max(10, Number(response.json?.retry_after_ms ?? 1500));
                await Promise.race([
                    sleep(wait),
                    new Promise(resolve => {
                        this.wake = () => setTimeout(resolve, 50);
                    }),
                ]);
            }
            else {
                this.address = undefined;
                node = this.deployment.controls[this.skip++ % this.deployment.controls.length];
                await sleep(50);
            }
            this.checkLease();
        }
    }

    body() {
        return {
            service: this.service,
            address: `127.0.0.9:${8000 + (Number(this.id.replace(/\D/g, "")) % 1000)}`,
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: this.state,
            cold_left_ms: 0,
            born: this.born,
            seq_no: this.seq,
            capacity: this.capacity,
            labels: ["a", this.rack],
            machine: `m-${this.id}`,
            clock_ms: Math.round(performance.now() - this.bornAt),
            running: [...this.running].map(([task, run]) => [task, run.run, "", this.percentOf(run), 1000]),
            ended: this.ended.slice(0, 500),
            ...(this.state === "draining" ? { remaining_ms: Math.max(0, this.leavesAt - performance.now()) } : {}),
        };
    }

    percentOf(run) {
        const at = performance.now() - run.startedAt;
        return run.lasts ? Math.min(100, Math.floor(at / 3.2)) : Math.min(99, Math.floor(100 * at / run.ms));
    }

    ping(node) {
        this.seq += 1;
        return callFollowing({ ...node, method: "PUT", path: `/v1/instances/${this.id}`, body: this.body() });
    }

    obey(answer, sent) {
        const fence = Number(answer.fencing_token ?? 0);
        if (fence < this.fence) {
            return;
        }
        this.fence = fence;
        if (typeof answer.heartbeat_addr === "string") {
            const [host, port] = answer.heartbeat_addr.split(":");
            this.address = { host, port: Number(port) };
        }
        this.ended = this.ended.filter(([number]) => number > Number(answer.ack_seq ?? 0));
        for (const [task, run] of answer.stop ?? []) {
            this.stop(task, run);
        }
        if (answer.hold_ms === undefined) {
            return;
        }
        const hold = Math.min(Number(answer.hold_ms), BOUNDS.max_hold_ms);
        this.leaseEnd = Math.max(this.leaseEnd, sent + hold);
        for (const [task, run, spec] of answer.start ?? []) {
            this.begin(task, run, spec);
        }
    }

    stop(task, run) {
        const current = this.running.get(task);
        this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0));
        if (current?.run === run && !current.isStopping) {
            current.isStopping = true;
            clearTimeout(current.timer);
            const life = this.life;
            setTimeout(() => this.life === life && this.isUp && this.end(task, run, "stopped"), 50);
        }
    }

    begin(task, run, spec) {
        const current = this.running.get(task);
        if (current?.run === run) {
            return;
        }
        if (current !== undefined || run <= (this.highestRun.get(task) ?? 0)) {
            this.list(task, run, "refused");
            return;
        }
        const { ms, lasts = false, how = "done" } = this.behaviour(spec, task, run);
        const started = { run, ms, lasts, startedAt: performance.now() };
        this.running.set(task, started);
        this.record.line(`worker ${this.id}: starts ${task} run ${run}`);
        this.log.push({ task, run, at: performance.now(), worker: this });
        if (!lasts) {
            const life = this.life;
            started.timer = setTimeout(() => this.life === life && this.isUp && this.end(task, run, how), ms);
        }
        this.onStart(task, run, this);
    }

    end(task, run, how) {
        if (this.running.get(task)?.run !== run) {
            return;
        }
        this.running.delete(task);
        this.list(task, run, how);
    }

    list(task, run, how) {
        this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0));
        this.endCount += 1;
        this.ended.push([this.endCount, task, run, how, ""]);
        this.record.line(`worker ${this.id}: lists the end of ${task} run ${run}: ${how}`);
        this.ends = [...(this.ends ?? []), { task, run, how, at: performance.now() }];
        this.wake?.();
    }

    checkLease() {
        if (this.running.size > 0 && performance.now() > this.leaseEnd) {
            for (const [task, { run, timer }] of [...this.running]) {
                clearTimeout(timer);
                this.end(task, run, "lapsed");
            }
        }
    }

    /** Ends everything when its lease expires, also while it waits for an answer. */
    watchLease() {
        this.leaseTimer = setInterval(() => this.isUp && this.checkLease(), 20);
        this.leaseTimer.unref();
    }
}

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
export const runCase = async (folder, play, options) => {
    const record = new Record(folder);
    const deployment = new Deployment(record, options);
    // Whatever ends this process, also an error outside of the case, ends those that it has started.
    process.on("exit", () => {
        deployment.isClosing = true;
        deployment.children.forEach(child => child.kill("SIGKILL"));
        rmSync(deployment.folder, { recursive: true, force: true });
    });
    const stop = reason => {
        deployment.isClosing = true;
        console.log(`the case couldn't run: ${reason}`);
        process.exit(2);
    };
    const limit = setTimeout(() => stop("it took too long"), 112_000);
    ["SIGTERM", "SIGINT", "SIGHUP"].forEach(signal => process.on(signal, () => stop(signal)));
    ["uncaughtException", "unhandledRejection"].forEach(event =>
        process.on(event, error => stop(`${event}: ${error}`))
    );
    let code = 2;
    const isTroubled = process.env.TROUBLE !== "0";
    try {
        record.line(`trouble: ${isTroubled ? "yes" : "no"}`);
        const broken = await play({ record, deployment, isTroubled });
        code = broken === undefined ? 0 : 1;
        record.line(broken === undefined ? "the rule held" : `BROKEN: ${broken}`);
        console.log(broken === undefined ? "the rule held" : `BROKEN: ${broken}`);
    }
    catch (error) {
        record.line(`the case couldn't run: ${error.stack}`);
        console.log(`the case couldn't run: ${error.message}`);
    }
    clearTimeout(limit);
    if (process.env.KEEP_LOGS) {
        for (const [key, child] of deployment.children) {
            writeFileSync(join(process.env.KEEP_LOGS, `${key.replace("/", "-")}.log`), child.log);
        }
    }
    await deployment.close();
    process.exit(code);
};
