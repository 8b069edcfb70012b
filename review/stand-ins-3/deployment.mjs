// A small deployment for the scripts of this review: the project's programs with the commands of the deploy file, on
// loopback addresses of their own, and stand-in workers, each a process. It records what was sent, answered and run.
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { send, sendFollowing } from "./http.mjs";

const repository = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
const workerProgram = join(dirname(fileURLToPath(import.meta.url)), "worker.mjs");
const CONTROL_PORT = 8166;
const FRONTEND_PORT = 8161;
const READINESS_PORT = 8167;
const INTERNAL_PORTS = [7720, 7735];
const HOST = "nony24.example";
const PREFIX = "/lohu930/";
export const SERVICE = "huvo11a";

/** Bounds and limits of `sites/tpf-plant.toml`, as SYSTEM.md and DEPLOY.md give them. */
const BOUNDS = {
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

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Returns the words of a role's command in the deploy file, and its environment. */
const readRole = role => {
    const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1]?.split(/^\[/m)[0] ?? "";
    const run = /^run = "(.*)"$/m.exec(section)?.[1];
    const env = Object.fromEntries([...(/^env = \{(.*)\}$/m.exec(section)?.[1] ?? "").matchAll(/(\w+) = "([^"]*)"/g)]
        .map(([, name, value]) => [name, value]));
    if (run === undefined) {
        throw new Error(`no command for the role ${role}`);
    }
    return { words: run.split(" "), env };
};

const isFree = (host, port) =>
    new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });

/** Returns a prefix of loopback addresses on which nothing listens. */
const freePrefix = async () => {
    for (let attempt = 0; attempt < 100; attempt += 1) {
        const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const ports = [CONTROL_PORT, FRONTEND_PORT, READINESS_PORT, ...INTERNAL_PORTS];
        const checks = await Promise.all(ports.map(port => isFree(`${prefix}.11`, port)));
        if (checks.every(Boolean)) {
            return prefix;
        }
    }
    throw new Error("no free addresses");
};

export class Deployment {
    /** Lines of the record. */
    #lines = [];
    #startedAtMs = Date.now();
    #folder = mkdtempSync(join(tmpdir(), "review-3-"));
    #children = new Set();
    #handlers = new Set();
    #isClosed = false;
    /** What the workers have done, in the order in which it was read. */
    events = [];
    /** Present process of each machine of the workers. */
    workers = new Map();
    lives = 0;

    static async create(options = {}) {
        const deployment = new Deployment();
        deployment.prefix = await freePrefix();
        deployment.options = options;
        deployment.zones = options.zones ?? ["presov-a", "kosice-b", "poprad-c"];
        deployment.hosts = deployment.zones.map((unused, index) => `${deployment.prefix}.${11 + index}`);
        return deployment;
    }

    get controls() {
        return this.hosts.map(host => `${host}:${CONTROL_PORT}`);
    }

    /** Writes a line of the record. */
    note(text) {
        const atMs = Date.now() - this.#startedAtMs;
        this.#lines.push(`${(atMs / 1000).toFixed(3).padStart(8)} s  ${text}`);
    }

    writeRecord(path) {
        writeFileSync(path, `${this.#lines.join("\n")}\n`);
    }

    /** Starts a control process and an entry on each machine. */
    start() {
        for (const index of this.hosts.keys()) {
            this.startProcess("control", index, true);
            this.startProcess("entry", index, true);
        }
    }

    startProcess(role, index, isFirst) {
        this.#requireOpen();
        const host = this.hosts[index];
        const { words, env } = readRole(role);
        const dataDir = join(this.#folder, `data-${role}-${index}`);
        mkdirSync(dataDir, { recursive: true });
        const path = join(this.#folder, `${role}-${index}.json`);
        writeFileSync(
            path,
            JSON.stringify({
                node_name: `edge-${this.zones[index]}-${index}`,
                role,
                machine_class: "edge",
                serves: [role === "entry" ? "edge" : "control"],
                ip: host,
                zone: this.zones[index],
                region: "sk-east",
                internal_port_range: INTERNAL_PORTS,
                seed_nodes: this.controls.slice(0, 3),
                bootstrap: isFirst,
                loss_counts: true,
                data_dir: dataDir,
                discovery: "registry",
                entrypoint: "vip",
                heartbeat_ms: 1500,
                contracts: [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "recover",
                    "sched",
                    "places",
                    "advice",
                    "upkeep",
                    "sharing",
                ],
                config_mode: "highest",
                orders: "heartbeat",
                advice: this.options.advice ?? "",
                zones: Object.fromEntries(this.zones.map(zone => [zone, "sk-east"])),
                bind_addrs: {
                    frontend: `${host}:${FRONTEND_PORT}`,
                    readiness: `${host}:${READINESS_PORT}`,
                    control_plane: `${host}:${CONTROL_PORT}`,
                },
                limits: {
                    cpu_share: 0.945,
                    cpu_cores: 1,
                    memory_mb: 350,
                    max_fds: 4100,
                    link_mbps: 1000,
                    disk_mb: 128,
                },
                fault_tolerance: { machines: 1, zones: 1, regions: 0 },
                bounds: BOUNDS,
                cloud_api: { address: this.options.cloud ?? "", rate_per_s: 60, duties: [], duty_per_s: 60 },
            }),
        );
        const child = spawn(words[0], words.slice(1), {
            cwd: repository,
            env: {
                PATH: process.env.PATH,
                HOME: process.env.HOME,
                LANG: process.env.LANG,
                ...env,
                WAXWINGSPREAD_BOOT: path,
            },
            stdio: ["ignore", this.options.logs ? "inherit" : "ignore", "inherit"],
        });
        this.#follow(child, `${role} of ${host}`);
        this.processes ??= new Map();
        this.processes.set(`${role}-${index}`, child);
        return child;
    }

    #follow(child, name) {
        this.#children.add(child);
        // A process that can't be started never exits.
        child.once("error", () => this.#children.delete(child));
        child.once("exit", (code, signal) => {
            this.#children.delete(child);
            this.note(`process ends: ${name} (${signal ?? code})`);
        });
    }

    /** Starts a new life of a worker's machine, under a new id. */
    startWorker(machine, fields = {}) {
        this.#requireOpen();
        this.lives += 1;
        const id = fields.id ?? `i-${machine}-${this.lives}`;
        const index = Number(machine.slice(1));
        const options = {
            id,
            machine,
            zone: this.zones[index % this.zones.length],
            service: SERVICE,
            labels: ["a", `r${index % this.zones.length}-${Math.floor(index / 8)}`],
            capacity: { cpu: 16000, mem_mb: 64000, gpu: 0 },
            controls: this.controls,
            address: `${this.prefix}.${100 + index}:8080`,
            maxHoldMs: BOUNDS.max_hold_ms,
            ...this.options.worker,
            ...fields,
        };
        const child = spawn(process.execPath, [workerProgram, JSON.stringify(options)], {
            stdio: ["ignore", "pipe", "inherit", "ipc"],
        });
        this.#follow(child, `worker ${id} on ${machine}`);
        this.workers.set(machine, child);
        let rest = "";
        child.stdout.on("data", chunk => {
            const lines = (rest + chunk).split("\n");
            rest = lines.pop();
            for (const line of lines) {
                const event = JSON.parse(line);
                this.events.push(event);
                const { event: kind, worker, task, run, how } = event;
                if (kind !== "ack") {
                    this.note(
                        `worker ${worker}: ${kind}${task === undefined ? "" : ` ${task} run ${run}`} ${how ?? ""}`
                            .trimEnd(),
                    );
                }
                this.#handlers.forEach(handle => handle(event));
            }
        });
        return child;
    }

    onEvent(handle) {
        this.#handlers.add(handle);
    }

    /** Sends an order of the operator, again and again at the next process, until it is acknowledged. */
    async operate(method, path, body, limitMs = 20_000) {
        const untilMs = Date.now() + limitMs;
        for (let attempt = 0; Date.now() < untilMs; attempt += 1) {
            const control = this.controls[attempt % this.controls.length];
            const response = await sendFollowing({ method, url: `http://${control}${path}`, body });
            this.note(`operator: ${method} ${path} at ${control} -> ${response.status}`);
            if (response.status >= 200 && response.status < 300) {
                return response;
            }
            await sleep(200);
        }
        throw new Error(`${method} ${path} is not acknowledged`);
    }

    /** Waits until the operator's first configuration is accepted. */
    async configure(route = {}, service = {}) {
        await this.operate("PUT", "/v1/config", {
            version: 7,
            routes: [{
                name: "r-wrr6x73",
                host: HOST,
                path_prefix: PREFIX,
                type: "non_idempotent",
                timeout_ms: 3000,
                target_duration_ms: 1200,
                priority: 0,
                service: SERVICE,
                attempts: 3,
                stretch: 1.5,
                ...route,
            }],
            services: [{
                name: SERVICE,
                health_check: "/healthz",
                max_conns: 64,
                protocol: "h1",
                tls: false,
                cold_start_s: 0,
                cold_per_s: 0,
                admission_control: true,
                standby: false,
                ...service,
            }],
            limits: {
                max_header_bytes: 16384,
                max_body_bytes: 262144,
                header_timeout_ms: 3000,
                idle_timeout_ms: 15000,
            },
        });
    }

    /** Sends one request of a client to the entry of a machine. */
    async client(method, id, { body, entry = 0, timeoutMs = 3_000 } = {}) {
        const response = await send({
            method,
            url: `http://${this.hosts[entry]}:${FRONTEND_PORT}${PREFIX}${id}`,
            host: HOST,
            body,
            timeoutMs,
            headers: { "waxwingspread-deadline-ms": timeoutMs },
        });
        this.note(`client: ${method} ${id} at entry ${entry} -> ${response.status} ${response.text ?? ""}`);
        return response;
    }

    /** Hands a submission in, as clients do: again after no clear answer. */
    async submit(id, body) {
        for (let attempt = 0; attempt < 5; attempt += 1) {
            const { status } = await this.client("POST", id, { body, entry: attempt % this.hosts.length });
            if (status >= 200 && status < 300) {
                return;
            }
            await sleep(300);
        }
        throw new Error(`the submission ${id} is not accepted`);
    }

    /** Nothing is started any more once the processes are being ended. */
    #requireOpen() {
        if (this.#isClosed) {
            throw new Error("the case has ended");
        }
    }

    /** Ends all processes and removes the folder. */
    async close() {
        this.#isClosed = true;
        const children = [...this.#children];
        await Promise.all(children.map(child =>
            new Promise(done => {
                child.once("exit", done);
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            })
        ));
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

/**
 * Runs a case: `play` returns a text if the rule was broken and undefined if it held. Writes the record beside the
 * script and ends the process with 1, 0, or 2 if the case couldn't run.
 */
export const runCase = async (scriptUrl, options, play) => {
    const hasTrouble = process.env.TROUBLE !== "0";
    const recordPath = join(dirname(fileURLToPath(scriptUrl)), "record.txt");
    const deployment = await Deployment.create(options);
    let code = 2;
    const limit = setTimeout(() => {
        deployment.note("the case takes too long");
        void finish();
    }, 112_000);
    let isFinished = false;
    const finish = async () => {
        if (!isFinished) {
            isFinished = true;
            clearTimeout(limit);
            await deployment.close();
            deployment.writeRecord(recordPath);
            process.exit(code);
        }
    };
    ["SIGTERM", "SIGINT", "SIGHUP"].forEach(signal => process.on(signal, () => void finish()));
    // What fails while the processes are being ended doesn't change the result.
    const fail = error => {
        if (isFinished) {
            return;
        }
        code = 2;
        deployment.note(`result: the case couldn't run: ${error?.stack ?? error}`);
        console.error(error);
        void finish();
    };
    process.on("uncaughtException", fail);
    process.on("unhandledRejection", fail);
    try {
        deployment.note(`begin, TROUBLE=${hasTrouble ? 1 : 0}`);
        const broken = await play(deployment, hasTrouble);
        if (isFinished) {
            return;
        }
        code = broken === undefined ? 0 : 1;
        deployment.note(broken === undefined ? "result: the rule held" : `result: broken: ${broken}`);
        console.log(broken ?? "the rule held");
    }
    catch (error) {
        fail(error);
    }
    await finish();
};
