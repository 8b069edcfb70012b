// Two queues of one configuration bear the same name and differ in host, prefix and service. What is handed in at the second
// one must run on the workers of its service only.
import { runCase, SERVICE, sleep } from "../stand-ins-3/deployment.mjs";
import { send } from "../stand-ins-3/http.mjs";

const OTHER_SERVICE = "mefu57c";
const OTHER_PREFIX = "/pufi791/";
const HOST = "nony24.example";
const IDS = ["5c0e7a21d94b36f8", "07b1c4e95a3d2f60", "e3f80a6d17c5924b"];

await runCase(import.meta.url, {}, async (deployment, hasTrouble) => {
    const services = new Map();
    deployment.start();
    const route = {
        name: "r-wrr6x73",
        host: HOST,
        path_prefix: "/lohu930/",
        type: "non_idempotent",
        timeout_ms: 3000,
        target_duration_ms: 1200,
        priority: 0,
        service: SERVICE,
        attempts: 3,
        stretch: 1.5,
    };
    const service = {
        name: SERVICE,
        health_check: "/healthz",
        max_conns: 64,
        protocol: "h1",
        tls: false,
        cold_start_s: 0,
        cold_per_s: 0,
        admission_control: true,
        standby: false,
    };
    const name = hasTrouble ? route.name : "r-d3zji9n";
    await deployment.operate("PUT", "/v1/config", {
        version: 7,
        routes: [route, { ...route, name, path_prefix: OTHER_PREFIX, service: OTHER_SERVICE }],
        services: [service, { ...service, name: OTHER_SERVICE }],
        limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    });
    for (let machine = 0; machine < 6; machine += 1) {
        const id = `i-m${machine}`;
        services.set(id, machine % 2 === 0 ? SERVICE : OTHER_SERVICE);
        deployment.startWorker(`m${machine}`, { id, service: services.get(id) });
    }
    await sleep(4_000);
    const spec = JSON.stringify({ ms: 1_000, cpu: 2000, mem_mb: 1024 });
    for (const id of IDS) {
        const { status } = await send({
            method: "POST",
            url: `http://${deployment.hosts[0]}:8161${OTHER_PREFIX}${id}`,
            host: HOST,
            body: { spec, steps: [{ count: 2, cpu: 2000, mem_mb: 1024, est_runtime_ms: 1_000 }] },
            timeoutMs: 3_000,
        });
        deployment.note(
            `client: POST ${OTHER_PREFIX}${id}, whose route names the service ${OTHER_SERVICE} -> ${status}`,
        );
    }
    await sleep(6_000);
    const starts = deployment.events.filter(({ event }) => event === "start");
    const wrong = starts.filter(({ worker }) => services.get(worker) !== OTHER_SERVICE);
    wrong.forEach(({ worker, task }) => deployment.note(`${task} has started on ${worker} of ${services.get(worker)}`));
    if (starts.length === 0) {
        throw new Error("nothing has started");
    }
    return wrong.length > 0
        ? `${wrong.length} of ${starts.length} starts were on workers of a service to which the route doesn't send`
        : undefined;
});
