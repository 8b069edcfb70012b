// Stand-in for a worker: one process is one life of a machine. It follows PROTOCOL.md ("Running tasks", "Service
// discovery") and guards its capacity. What it does is printed as lines of JSON, for the test that has started it.
//
// A task's length is the `ms` of its spec (JSON); a task without it lasts. Orders other than starts, stops, leases,
// fences and acknowledgements have no effect on a worker like this one.
import { Agent } from "node:http";
import { send, sendFollowing } from "./http.mjs";

const options = JSON.parse(process.argv[2]);
const { id, machine, zone, service, labels, capacity, controls, address } = options;
const maxHoldMs = options.maxHoldMs ?? 6_000;
const born = Date.now();
const startedAtMs = performance.now();
const agent = new Agent({ keepAlive: true });
/** Time after which a ping without an answer counts as failed, as on the users' pages. */
const PING_TIMEOUT_MS = 1_000;

let sequence = 0;
let endCount = 0;
let ended = [];
let token = 0;
let holdUntilMs = -Infinity;
let state = "ready";
let wake = () => undefined;
/** Runs at work, by task. */
const running = new Map();
/** Highest run of each task that was started, stopped or ended here. */
const highestRuns = new Map();

const clockMs = () => performance.now() - startedAtMs;
const report = (event, fields) =>
    process.stdout.write(`${JSON.stringify({ event, atMs: Date.now(), worker: id, machine, ...fields })}\n`);

const end = (task, run, how) => {
    const entry = running.get(task);
    running.delete(task);
    endCount += 1;
    ended.push([endCount, task, run, how, ""]);
    clearTimeout(entry?.timer);
    highestRuns.set(task, Math.max(run, highestRuns.get(task) ?? 0));
    report("end", { task, run, how });
    setTimeout(() => wake(), 50);
};

const percentOf = ({ sinceMs, ms }) =>
    ms === undefined
        ? (clockMs() - sinceMs >= 300 ? 100 : 0)
        : Math.min(99, Math.floor(100 * (clockMs() - sinceMs) / ms));

const used = name => [...running.values()].reduce((sum, { amounts }) => sum + (amounts[name] ?? 0), 0);

/** Whether a ticket is one for the task's step and this worker, and isn't too old. Its text is STEP/WORKER/TIME OF ISSUE. */
const isValidTicket = (task, ticket = "") => {
    const [step, worker, issuedAtMs] = ticket.split("/");
    return task.startsWith(`${step}.`) && worker === id && Date.now() - Number(issuedAtMs) <= options.ticketValidityMs;
};

const start = ([task, run, spec, , ticket]) => {
    if (run <= (highestRuns.get(task) ?? 0) || running.has(task)) {
        return;
    }
    const { ms, cpu = 0, mem_mb = 0 } = JSON.parse(spec);
    const isRejected = options.ticketValidityMs !== undefined && !isValidTicket(task, ticket);
    if (isRejected || used("cpu") + cpu > capacity.cpu || used("mem_mb") + mem_mb > capacity.mem_mb) {
        end(task, run, "refused");
        return;
    }
    const timer = ms === undefined ? undefined : setTimeout(() => end(task, run, options.how ?? "done"), ms);
    running.set(task, { run, ms, sinceMs: clockMs(), timer, amounts: { cpu, mem_mb } });
    highestRuns.set(task, run);
    report("start", { task, run, spec });
};

const execute = (orders, sentAtMs) => {
    if ((orders.fencing_token ?? 0) < token) {
        return;
    }
    token = orders.fencing_token ?? 0;
    ended = ended.filter(([number]) => number > (orders.ack_seq ?? 0));
    if (orders.ack_seq > 0) {
        report("ack", { ack_seq: orders.ack_seq });
    }
    for (const [task, run] of orders.stop ?? []) {
        if (running.get(task)?.run === run) {
            end(task, run, "stopped");
        }
        else {
            highestRuns.set(task, Math.max(run, highestRuns.get(task) ?? 0));
        }
    }
    if (orders.hold_ms !== undefined) {
        holdUntilMs = Math.max(holdUntilMs, sentAtMs + Math.min(orders.hold_ms, maxHoldMs));
        (orders.start ?? []).forEach(start);
    }
};

setInterval(() => {
    if (clockMs() >= holdUntilMs) {
        for (const [task, { run }] of [...running]) {
            end(task, run, "lapsed");
        }
    }
}, 10);

const bodyOf = () => ({
    service,
    address,
    machine,
    zone,
    version: "v1",
    slots: 8,
    state,
    cold_left_ms: 0,
    born,
    capacity,
    labels,
    clock_ms: Math.floor(clockMs()),
    seq_no: sequence += 1,
    running: [...running].map(([task, entry]) => [
        task,
        entry.run,
        "",
        percentOf(entry),
        entry.ms === undefined ? 5 : entry.amounts.cpu,
    ]),
    ended: ended.slice(0, 500),
});

/** Whether the worker is cut off from all processes of the system: nothing that it sends arrives. */
let isCut = options.isCut === true;

// The test that has started this process is gone.
process.on("disconnect", () => process.exit(0));

process.on("message", message => {
    if (message === "drain") {
        state = "draining";
        report("draining", {});
        wake();
    }
    else if (message === "cut" || message === "heal") {
        isCut = message === "cut";
        report(message, {});
    }
});

/** Sends a ping; one that is cut off gets no answer. */
const ping = async call => {
    if (isCut) {
        await new Promise(resolve => setTimeout(resolve, PING_TIMEOUT_MS));
        return { status: 0 };
    }
    return sendFollowing(call);
};

report("up", { born });
let position = options.firstControl ?? Math.floor(Math.random() * controls.length);
let target = controls[position % controls.length];
for (;;) {
    const sentAtMs = clockMs();
    const response = await ping({
        method: "PUT",
        url: `http://${target}/v1/instances/${id}`,
        body: bodyOf(),
        agent,
    });
    const tookMs = clockMs() - sentAtMs;
    let pauseMs = 50;
    if (response.status >= 200 && response.status < 300 && tookMs <= PING_TIMEOUT_MS) {
        execute(response.body ?? {}, sentAtMs);
        target = response.body?.heartbeat_addr ?? target;
        pauseMs = response.body?.retry_after_ms ?? options.heartbeatMs ?? 1_500;
    }
    else {
        position += 1;
        target = controls[position % controls.length];
    }
    await new Promise(resolve => {
        const timer = setTimeout(resolve, pauseMs);
        wake = () => {
            clearTimeout(timer);
            resolve();
        };
    });
    wake = () => undefined;
    if (state === "left") {
        await send({ method: "DELETE", url: `http://${target}/v1/instances/${id}` });
        process.exit(0);
    }
}
