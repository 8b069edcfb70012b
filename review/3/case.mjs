// The leader freezes while it empties a machine of a wave, and wakes after another leader has begun the upkeep of a second
// machine. No more than `cap` machines of the wave may be down at the same time.
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
import { callEntry, orderUntilAcknowledged } from "../stand-ins/client.mjs";
import { findLeader } from "../stand-ins/fleet.mjs";
import { sendFollowing, sleep } from "../stand-ins/http.mjs";
import { Platform } from "../stand-ins/platform.mjs";
import { Worker } from "../stand-ins/worker.mjs";

const WORKERS = 6;
const CAP = 1;
const FINITE_TASKS = 3;
const TASK_MS = 60000;
/** Whether the former leader hears of its successor before it acts is a matter of luck, so that up to three waves are played. */
const WAVES = 3;
/** The core is calm for longer than `catch_up_s` before the next freeze. */
const PAUSE_MS = 5000;
const WAVE_LIMIT_MS = 25000;
/** The sheet of tpf-plant names a freeze of 4 s among its troubles, and freezes of 5 and 7.9 s in its days. */
const FREEZE_MS = 4500;
const FINITE_ID = "5c0e7a21d94b36f8";
const LASTING_ID = "7d1f8b32ea5c4709";

const prefix = `127.1.${Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
const platformPort = 18169;

/** Orders a wave, freezes the leader while it empties a machine, and waits for the end of the wave. */
const playWave = async (fleet, record, wave, machines) => {
    await orderUntilAcknowledged({
        addresses: fleet.controlAddresses,
        method: "POST",
        path: "/v1/wave-start",
        record,
        body: { wave, machines, deadline_s: 12, cap: CAP },
    });
    await sleep(1000);
    if (hasTrouble) {
        const leader = await findLeader(fleet);
        if (leader === undefined) {
            return "no leader was found";
        }
        record("freeze", { machine: leader.name });
        ["control", "entry"].forEach(role => fleet.signal(role, leader, "SIGSTOP"));
        await sleep(FREEZE_MS);
        record("thaw", { machine: leader.name });
        ["control", "entry"].forEach(role => fleet.signal(role, leader, "SIGCONT"));
    }
    const endMs = performance.now() + WAVE_LIMIT_MS;
    for (let position = 0; performance.now() < endMs; position += 1) {
        await sleep(500);
        const address = fleet.controlAddresses[position % fleet.controlAddresses.length];
        const { body } = await sendFollowing({ method: "GET", url: `http://${address}/v1/wave-get/${wave}` });
        if (body?.state === "completed") {
            record("wave-completed", { wave });
            return undefined;
        }
    }
    return `wave ${wave} was not completed`;
};

await runCase(
    fileURLToPath(new URL(".", import.meta.url)),
    { overrides: { cloud_api: { address: `${prefix}:${platformPort}`, rate_per_s: 60, duties: [], duty_per_s: 60 } } },
    async (fleet, record) => {
        const workers = new Map();
        let lives = 0;
        const startWorker = machine => {
            lives += 1;
            const worker = new Worker({
                id: `i-${lives}`,
                machine,
                service: "huvo11a",
                zone: "zone-a",
                controlAddresses: fleet.controlAddresses,
                durationOf: task => ({ durationMs: TASK_MS, isLasting: task.startsWith(LASTING_ID) }),
                record,
            });
            workers.set(machine, worker);
        };
        const platform = new Platform({
            host: prefix,
            port: platformPort,
            record,
            onDown: machine => workers.get(machine).crash(),
            onBack: startWorker,
        });
        await platform.listen();
        await sleep(2000);
        await configure(fleet, record, configuration(7, [route("r-wrr6x73", "/lohu930/", "huvo11a")], ["huvo11a"]));
        for (let number = 1; number <= WORKERS; number += 1) {
            platform.addMachine(`m-${number}`);
            startWorker(`m-${number}`);
        }
        await sleep(1500);
        const submit = (id, step) =>
            callEntry({
                frontends: fleet.frontends,
                method: "POST",
                host: HOST,
                path: `/lohu930/${id}`,
                record,
                body: {
                    spec: "text",
                    steps: [{ count: 1, cpu: 3000, mem_mb: 1024, est_runtime_ms: TASK_MS, ...step }],
                },
                isFinal: ({ status }) => status === 200,
            });
        await submit(LASTING_ID, { long_running: true });
        await submit(FINITE_ID, { count: FINITE_TASKS, max_per_server: 1 });
        const machinesWith = id =>
            [...workers].filter(([, { running }]) => [...running.keys()].some(task => task.startsWith(id))).map((
                [name],
            ) => name);
        await sleep(4000);
        for (let wave = 1; wave <= WAVES; wave += 1) {
            const [lastingMachine] = machinesWith(LASTING_ID);
            const finiteMachine = machinesWith(FINITE_ID).find(machine => machine !== lastingMachine);
            if (lastingMachine === undefined || finiteMachine === undefined) {
                return { result: NOT_RUN, reason: "the tasks were not placed on two machines" };
            }
            platform.waves.set(wave, [lastingMachine, finiteMachine]);
            const failure = await playWave(fleet, record, wave, platform.waves.get(wave));
            if (failure !== undefined) {
                return { result: NOT_RUN, reason: failure };
            }
            const excess = platform.upkeeps.find(({ down }) => down.length >= CAP);
            if (excess !== undefined) {
                const reason = `upkeep of ${excess.name} began while ${excess.down} was down, cap ${CAP}, wave ${wave}`;
                return { result: BROKEN, reason };
            }
            await sleep(PAUSE_MS);
        }
        return { result: HELD, reason: `${WAVES} waves were completed within their cap` };
    },
);
