// A queue with advice, whose tickets are valid for 2 s. The service takes 1.5 s for a call that names all workers. The only
// submission on an idle fleet must begin.
import { createServer } from "node:http";
import { runCase, sleep } from "../stand-ins-3/deployment.mjs";

const WORKERS = 16;
/** Workers that the policy of the queue doesn't allow. */
const REFUSED = new Set(["m3", "m11"]);
const TASKS = 12;
const TASK_MS = 1_000;
const DECISION_MS = 300;
const VALIDITY_MS = 2_000;
const MAX_WAITING_CALLS = 32;
const ID = "5c0e7a21d94b36f8";
/** Time that the submission has to begin: `finish_s`, and as much again. */
const WATCHED_S = 28;

/** Stand-in for the advice service: one call at a time for each calling machine, tickets valid from their issue. */
const startAdvice = async (deployment, perItemMs) => {
    const waitingByCaller = new Map();
    const serve = async waiting => {
        while (waiting.length > 0) {
            const [{ step, workers, response }] = waiting;
            await sleep(DECISION_MS + perItemMs * workers.length);
            const issuedAtMs = Date.now();
            const eligible = workers.filter(id => !REFUSED.has(id.split("-")[1]));
            deployment.note(`advice: ${step}, ${workers.length} workers -> ${eligible.length} eligible`);
            response.writeHead(200, { "content-type": "application/json" });
            response.end(JSON.stringify({ eligible: eligible.map(id => [id, `${step}/${id}/${issuedAtMs}`]) }));
            waiting.shift();
        }
    };
    const service = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const { step, workers } = JSON.parse(Buffer.concat(chunks).toString());
            const caller = request.socket.remoteAddress;
            const waiting = waitingByCaller.get(caller) ?? [];
            waitingByCaller.set(caller, waiting);
            if (waiting.length >= MAX_WAITING_CALLS) {
                response.writeHead(429).end();
                return;
            }
            waiting.push({ step, workers, response });
            if (waiting.length === 1) {
                void serve(waiting);
            }
        });
    });
    const host = `${deployment.prefix}.97`;
    await new Promise((done, fail) => service.once("error", fail).listen(0, host, done));
    deployment.options.advice = `${host}:${service.address().port}`;
};

await runCase(import.meta.url, { worker: { ticketValidityMs: VALIDITY_MS } }, async (deployment, hasTrouble) => {
    const perItemMs = hasTrouble ? 75 : 5;
    await startAdvice(deployment, perItemMs);
    deployment.start();
    await deployment.configure({
        advice: { decision_ms: DECISION_MS, per_item_ms: perItemMs, validity_ms: VALIDITY_MS },
    });
    for (let machine = 0; machine < WORKERS; machine += 1) {
        deployment.startWorker(`m${machine}`);
    }
    await sleep(4_000);
    const step = { count: TASKS, cpu: 1000, mem_mb: 1024, est_runtime_ms: TASK_MS };
    await deployment.submit(ID, { spec: JSON.stringify({ ms: TASK_MS, cpu: 1000 }), steps: [step] });
    await sleep(WATCHED_S * 1_000);
    const { body } = await deployment.client("GET", ID);
    const starts = deployment.events.filter(({ event }) => event === "start").length;
    const rejected = deployment.events.filter(({ event, how }) => event === "end" && how === "refused").length;
    deployment.note(`${starts} starts, ${rejected} of them rejected; ${body?.state}`);
    return starts === 0 && body?.state !== "completed"
        ? `the submission is ${body?.state} and has had nothing running for ${WATCHED_S} s, on an idle fleet`
        : undefined;
});
