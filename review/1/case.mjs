// A worker is cut off for less than its lease, while more than 500 of its tasks end `done`. A worker lists its ends 500 at a
// time. No task whose end is taken note of may be started again.
import { fileURLToPath } from "node:url";
import {
    BROKEN,
    configuration,
    configure,
    hasTrouble,
    HELD,
    HOST,
    NOT_RUN,
    route,
    runCase,
} from "../stand-ins/case.mjs";
import { callEntry } from "../stand-ins/client.mjs";
import { sleep } from "../stand-ins/http.mjs";
import { Worker } from "../stand-ins/worker.mjs";

const ID = "5c0e7a21d94b36f8";
const PATH = `/lohu930/${ID}`;
const WORKERS = 6;
const TASKS = 3900;
const TASK_MS = 4000;
/** The cut begins this long after the first start. The sheet names cuts of workers of 5.5 s and a share of 0.17. */
const CUT_AFTER_MS = 2000;
const CUT_MS = 3000;

await runCase(fileURLToPath(new URL(".", import.meta.url)), {}, async (fleet, record) => {
    const done = new Map();
    const startsAfterDone = new Map();
    const noted = new Set();
    let firstStartMs;
    const workers = [];
    await sleep(2000);
    await configure(fleet, record, configuration(7, [route("r-wrr6x73", "/lohu930/", "huvo11a")], ["huvo11a"]));
    for (let number = 1; number <= WORKERS; number += 1) {
        const worker = new Worker({
            id: `i-${number}`,
            service: "huvo11a",
            zone: fleet.zones[number % 3],
            controlAddresses: fleet.controlAddresses,
            // Tasks differ a little in length, as all tasks do.
            durationOf: () => ({ durationMs: TASK_MS + Math.random() * 500 }),
            record,
        });
        worker.onStart = task => {
            firstStartMs ??= performance.now();
            if (done.has(task)) {
                startsAfterDone.set(task, done.get(task));
            }
        };
        worker.onEnd = (task, run, how) => {
            if (how === "done") {
                done.set(task, run);
            }
        };
        worker.onNoted = (task, run, how) => {
            if (how === "done") {
                noted.add(`${task}/${run}`);
            }
        };
        workers.push(worker);
    }
    await sleep(1500);
    const call = (method, body, isFinal) =>
        callEntry({ frontends: fleet.frontends, method, host: HOST, path: PATH, body, record, isFinal });
    const submitted = await call("POST", {
        spec: "text",
        steps: [{ count: TASKS, cpu: 20, mem_mb: 16, est_runtime_ms: TASK_MS }],
    }, ({ status }) => status >= 200 && status < 500);
    if (submitted.status !== 200) {
        return { result: NOT_RUN, reason: `the submission was answered with ${submitted.status}` };
    }
    while (firstStartMs === undefined) {
        await sleep(10);
    }
    await sleep(CUT_AFTER_MS);
    if (hasTrouble) {
        const [worker] = workers;
        record("cut", { worker: worker.id, running: worker.running.size });
        worker.isConnected = false;
        await sleep(CUT_MS);
        record("heal", { worker: worker.id, running: worker.running.size, ends: worker.ended.length });
        worker.isConnected = true;
    }
    const endMs = performance.now() + 40000;
    let state;
    while (performance.now() < endMs && state !== "completed" && state !== "failed") {
        await sleep(500);
        state = (await call("GET", undefined, ({ status }) => status === 200)).body?.state;
    }
    await sleep(1000);
    const twice = [...startsAfterDone].filter(([task, run]) => noted.has(`${task}/${run}`));
    if (twice.length > 0) {
        return {
            result: BROKEN,
            reason: `${twice.length} of ${TASKS} tasks were started again after an end 'done' that was taken note of`,
        };
    }
    return state === "completed"
        ? { result: HELD, reason: "each task has ended 'done' once" }
        : { result: NOT_RUN, reason: `the submission is shown as ${state}` };
});
