// The leader freezes while it empties a machine of a wave, and wakes after another leader has begun the upkeep of a second
// machine. No more than `cap` machines of the wave may be down at the same time.
import { fileURLToPath } from "node:url";
import { BROKEN, configuration, configure, hasTrouble, HELD, HOST, NOT_RUN, route, runCase } from "../stand-ins/case.mjs";
import { callEntry, orderUntilAcknowledged } from "../stand-ins/client.mjs";
import { findLeader } from "../stand-ins/fleet.mjs";
import { sendFollowing, sleep } from "../stand-ins/http.mjs";
import { Platform } from "../stand-ins/platform.mjs";
import { Worker } from "../stand-ins/worker.mjs";

const WORKERS = 6;
const CAP = 1;
const WAVE = 1;
/** The sheet of tpf-plant names a freeze of 4 s among its troubles, and freezes of 5 and 7.9 s in its days. */
const FREEZE_MS = 4500;
const FINITE_ID = "5c0e7a21d94b36f8";
const LASTING_ID = "7d1f8b32ea5c4709";

const prefix = `127.1.${Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
const platformPort = 18169;

await runCase(
    fileURLToPath(new URL(".", import.meta.url)),
    { overrides: { cloud_api: { address: `${prefix}:${platformPort}`, rate_per_s: 60, duties: [], duty_per_s: 60 } } },
    async (fleet, record) => {
        const workers = new Map();
        const placed = new Map();
        let lives = 0;
        const startWorker = machine => {
            lives += 1;
            const worker = new Worker({
                id: `i-${lives}`, machine, service: "huvo11a", zone: "zone-a", controlAddresses: fleet.controlAddresses,
                durationOf: task => ({ durationMs: 60000, isLasting: task.startsWith(LASTING_ID) }), record,
            });
            worker.onStart = task => placed.set(task.slice(0, 16), machine);
            workers.set(machine, worker);
        };
        const platform = new Platform({
            host: prefix, port: platformPort, record,
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
                frontends: fleet.frontends, method: "POST", host: HOST, path: `/lohu930/${id}`, record,
                body: { spec: "text", steps: [{ count: 1, cpu: 3000, mem_mb: 1024, est_runtime_ms: 60000, ...step }] },
                isFinal: ({ status }) => status === 200,
            });
        await submit(LASTING_ID, { long_running: true });
        await submit(FINITE_ID, {});
        await sleep(4000);
        const lastingMachine = placed.get(LASTING_ID);
        const finiteMachine = placed.get(FINITE_ID);
        if (lastingMachine === undefined || finiteMachine === undefined || lastingMachine === finiteMachine) {
            return { result: NOT_RUN, reason: "the tasks were not placed on two machines" };
        }
        platform.waves.set(WAVE, [lastingMachine, finiteMachine]);
        await orderUntilAcknowledged({
            addresses: fleet.controlAddresses, method: "POST", path: "/v1/wave-start", record,
            body: { wave: WAVE, machines: platform.waves.get(WAVE), deadline_s: 12, cap: CAP },
        });
        await sleep(1000);
        if (hasTrouble) {
            const leader = await findLeader(fleet);
            if (leader === undefined) {
                return { result: NOT_RUN, reason: "no leader was found" };
            }
            record("freeze", { machine: leader.name });
            fleet.signal("control", leader, "SIGSTOP");
            fleet.signal("entry", leader, "SIGSTOP");
            await sleep(FREEZE_MS);
            record("thaw", { machine: leader.name });
            fleet.signal("control", leader, "SIGCONT");
            fleet.signal("entry", leader, "SIGCONT");
        }
        const endMs = performance.now() + 60000;
        let state;
        while (performance.now() < endMs && state !== "completed") {
            await sleep(500);
            const address = fleet.controlAddresses[Math.floor(Math.random() * fleet.controlAddresses.length)];
            state = (await sendFollowing({ method: "GET", url: `http://${address}/v1/wave-get/${WAVE}` })).body?.state;
        }
        const excess = platform.upkeeps.find(({ down }) => down.length >= CAP);
        if (excess !== undefined) {
            return { result: BROKEN, reason: `upkeep of ${excess.name} began while ${excess.down} was down, cap ${CAP}` };
        }
        return state === "completed"
            ? { result: HELD, reason: "the wave was completed within its cap" }
            : { result: NOT_RUN, reason: "the wave was not completed" };
    },
);
