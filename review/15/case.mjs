// A wave has one machine maintained. The tasks of a lasting step on it may be stopped only one at a time: the step says that
// one may be unavailable.
import { createServer } from "node:http";
import { runCase, sleep } from "../stand-ins-3/deployment.mjs";

const WORKERS = 6;
const TASKS = 4;
const MAY_MISS = 1;
const ID = "5c0e7a21d94b36f8";
const MAINTENANCE_MS = 2_000;
/** Time from a task's start until it is at work, as the stand-in's percent shows it. */
const STARTUP_MS = 300;

/** Returns the stops that ended a task at work while as many others of its step as may be missing were away. */
const excessStops = events => {
    const workSince = new Map();
    const away = new Set();
    const found = [];
    for (const { event, task, how, atMs } of events) {
        if (event === "start") {
            workSince.set(task, atMs + STARTUP_MS);
        }
        else if (event === "end" && how === "stopped") {
            const missing = [...away].filter(other => other !== task && (workSince.get(other) ?? Infinity) > atMs);
            if ((workSince.get(task) ?? Infinity) <= atMs && missing.length >= MAY_MISS) {
                found.push(`${task} at ${atMs}, with ${missing.length} others away`);
            }
            away.add(task);
            workSince.delete(task);
        }
    }
    return found;
};

/** Stand-in for the platform: an upkeep ends the machine's worker at once, and a new one joins after the maintenance. */
const startPlatform = async deployment => {
    const platform = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const { machine, wave } = JSON.parse(Buffer.concat(chunks).toString() || "{}");
            const isUpkeep = request.url === "/v1/machine-upkeep";
            deployment.note(`platform: ${request.method} ${request.url} machine ${machine ?? "-"} wave ${wave ?? "-"}`);
            if (isUpkeep) {
                deployment.workers.get(machine)?.kill("SIGKILL");
                setTimeout(() => deployment.startWorker(machine), MAINTENANCE_MS);
            }
            response.writeHead(200, { "content-type": "application/json" });
            response.end(JSON.stringify(isUpkeep ? {} : { machines: [], next_token: "" }));
        });
    });
    const host = `${deployment.prefix}.98`;
    await new Promise((done, fail) => platform.once("error", fail).listen(0, host, done));
    deployment.options.cloud = `${host}:${platform.address().port}`;
};

await runCase(import.meta.url, {}, async (deployment, hasTrouble) => {
    await startPlatform(deployment);
    deployment.start();
    await deployment.configure();
    for (let machine = 0; machine < WORKERS; machine += 1) {
        deployment.startWorker(`m${machine}`);
    }
    await sleep(4_000);
    const spec = JSON.stringify({ cpu: 2000, mem_mb: 1024 });
    const step = {
        count: TASKS,
        cpu: 2000,
        mem_mb: 1024,
        est_runtime_ms: 60_000,
        long_running: true,
        checkpointing: true,
        may_miss: MAY_MISS,
    };
    await deployment.submit(ID, { spec, steps: [step] });
    await sleep(5_000);
    const starts = deployment.events.filter(({ event }) => event === "start");
    const machines = [...new Set(starts.map(({ machine }) => machine))];
    const [machine] = machines.filter(name => starts.filter(start => start.machine === name).length > MAY_MISS);
    if (starts.length < TASKS || machine === undefined) {
        throw new Error("no machine runs several tasks of the step");
    }
    if (hasTrouble) {
        await deployment.operate("POST", "/v1/wave-start", { wave: 1, machines: [machine], deadline_s: 30, cap: 1 });
    }
    await sleep(15_000);
    const found = excessStops(deployment.events);
    found.forEach(text => deployment.note(`stopped beyond may_miss ${MAY_MISS}: ${text}`));
    return found.length > 0
        ? `${found.length} tasks were stopped while as many as may be missing were away`
        : undefined;
});
