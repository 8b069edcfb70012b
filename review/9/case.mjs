import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, Client, configuration, Operator, PREFIX, runCase, sleep, Worker } from "../stand-ins-2/lib.mjs";

const ID = "5c0e7a21d94b36f8";
const LASTING = {
    spec: "watch",
    steps: [{ count: 2, cpu: 1000, mem_mb: 256, est_runtime_ms: 320, long_running: true, image: "watch-1" }],
};
/** Longest freeze of a machine in the site file. */
const FREEZE_MS = 4000;
/** The client leaves before its time limit of 3 s, as in `give_up`, and cancels. */
const PATIENCE_MS = 500;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, deployment, isTroubled }) => {
    await deployment.startAll();
    const operator = new Operator(deployment);
    const client = new Client(deployment);
    const workers = Array.from(
        { length: 8 },
        (unused, index) =>
            new Worker(deployment, { id: `i-${index + 1}`, zone: ["a", "b", "c"][index % 3], rack: `r${index % 3}-1` }),
    );
    for (const worker of workers) {
        worker.behaviour = () => ({ lasts: true });
        worker.watchLease();
        worker.start();
    }
    if ((await operator.order("PUT", "/v1/config", configuration(1))).status !== 200) {
        throw new Error("the configuration was not accepted");
    }
    await sleep(3000);

    const [first, second] = deployment.machines;
    const [firstEntry, secondEntry] = deployment.entries;
    if (isTroubled) {
        deployment.signal(first, "entry", "SIGSTOP");
        setTimeout(() => deployment.signal(first, "entry", "SIGCONT"), FREEZE_MS);
    }
    await sleep(50);
    const handedIn = await client.once("POST", PREFIX + ID, LASTING, { entry: firstEntry, timeoutMs: PATIENCE_MS });
    record.line(`the client has ${handedIn.status === 0 ? "no answer, leaves" : "an answer"} and cancels`);
    let cancelled = await client.once("DELETE", PREFIX + ID, undefined, { entry: secondEntry });
    const endMs = performance.now() + BOUNDS.ack_timeout_ms;
    while (cancelled.status !== 200 && cancelled.status !== 410 && performance.now() < endMs) {
        await sleep(200);
        cancelled = await client.once("DELETE", PREFIX + ID, undefined, { entry: secondEntry });
    }
    if (cancelled.status !== 200 && cancelled.status !== 410) {
        throw new Error("the cancelling was not acknowledged");
    }
    const acknowledgedMs = performance.now();
    await client.once("GET", PREFIX + ID, undefined, { entry: secondEntry });

    await sleep(15_000);
    const shown = await client.once("GET", PREFIX + ID, undefined, { entry: secondEntry });
    const late = workers.flatMap(({ log }) => log).filter(({ at }) => at > acknowledgedMs + BOUNDS.cancel_ms);
    const atWork = workers.flatMap(({ running }) => [...running.keys()]);
    late.forEach(({ task, at }) =>
        record.line(`${task} was started ${Math.round(at - acknowledgedMs)} ms after the ack`)
    );
    record.line(
        `15 s after the ack these run: ${atWork.join(" ") || "none"}; the state is ${
            shown.json?.state ?? shown.status
        }`,
    );
    if (late.length > 0) {
        return `${late.length} tasks were started later than cancel_ms after the cancelling was acknowledged with ${cancelled.status}`;
    }
    return atWork.length > 0 ? "tasks of a cancelled submission run on" : undefined;
});
