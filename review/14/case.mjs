// A worker is cut off just after it has started a task, leaves as planned while it is cut off, and is back under its id. Then
// one other worker crashes under the task. One crash must not end the submission.
import { runCase, sleep } from "../stand-ins-3/deployment.mjs";

const WORKERS = 16;
const ID = "5c0e7a21d94b36f8";
const TASK = `${ID}.0.0.0`;
/** Times after the first start of the task: the cut, and the order to leave; the worker gets no ack. */
const CUT_AT_MS = 100;
const DRAIN_AT_MS = 300;
/** Time after which a worker without an ack exits anyway, and for which it is down then. */
const EXIT_AFTER_MS = 2_200;
const DOWN_MS = 700;
/** Time for which the worker is cut off. */
const CUT_MS = 4_000;
/** Time from the second start to the crash of its worker, and from the crash to the next life of the machine. */
const CRASH_DELAY_MS = 100;
const CRASHED_FOR_MS = 1_000;

/** Cuts a worker off, has it leave while it is cut off, and starts it again under its id. */
const cutAndRestart = async (deployment, { worker, machine }) => {
    const former = deployment.workers.get(machine);
    await sleep(CUT_AT_MS);
    deployment.note(`disruption: ${worker} is cut off`);
    former.send("cut");
    const heal = sleep(CUT_MS);
    await sleep(DRAIN_AT_MS - CUT_AT_MS);
    deployment.note(`planned: ${worker} is to leave`);
    former.send("drain");
    await sleep(EXIT_AFTER_MS);
    former.kill("SIGTERM");
    await sleep(DOWN_MS);
    const next = deployment.startWorker(machine, { id: worker, isCut: true });
    await heal;
    deployment.note(`disruption ends: ${worker} is connected again`);
    next.send("heal");
};

const crash = async (deployment, { worker, machine }) => {
    await sleep(CRASH_DELAY_MS);
    deployment.note(`disruption: ${worker} crashes`);
    deployment.workers.get(machine).kill("SIGKILL");
    await sleep(CRASHED_FOR_MS);
    deployment.startWorker(machine);
};

await runCase(import.meta.url, {}, async (deployment, hasTrouble) => {
    let starts = 0;
    deployment.onEvent(event => {
        if (event.event === "start" && event.task === TASK) {
            starts += 1;
            if (starts === 1 && hasTrouble) {
                void cutAndRestart(deployment, event);
            }
            // With TROUBLE=0, the only start is followed by the same crash: that alone is allowed to cost one run.
            if (starts === (hasTrouble ? 2 : 1)) {
                void crash(deployment, event);
            }
        }
    });
    deployment.start();
    await deployment.configure();
    for (let machine = 0; machine < WORKERS; machine += 1) {
        deployment.startWorker(`m${machine}`);
    }
    await sleep(4_000);
    const spec = JSON.stringify({ cpu: 3200, mem_mb: 6400 });
    const step = { count: 1, cpu: 3200, mem_mb: 6400, est_runtime_ms: 60_000, long_running: true };
    await deployment.submit(ID, { spec, steps: [step] });
    let state;
    for (let second = 0; second < 35 && state !== "failed"; second += 1) {
        await sleep(1_000);
        const response = await deployment.client("GET", ID, { entry: second % 3 });
        state = response.body?.state ?? state;
    }
    const failedEnds = deployment.events.filter(({ event, how }) => event === "end" && how === "failed").length;
    deployment.note(`${starts} starts, ${failedEnds} ends failed, 1 crash of a worker`);
    if (starts < (hasTrouble ? 2 : 1)) {
        throw new Error("the task wasn't started often enough");
    }
    return state === "failed" ? "the submission is shown as failed after one crash of a worker" : undefined;
});
