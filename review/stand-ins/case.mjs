// The frame of a case: starts a fleet, runs the case, writes record.txt, ends all processes and exits.
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { orderUntilAcknowledged } from "./client.mjs";
import { Fleet } from "./fleet.mjs";
import { sleep } from "./http.mjs";

const TIME_LIMIT_MS = 110_000;

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the case includes its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

export const HOST = "nony24.example";

export const route = (name, prefix, service, other = {}) => ({
    name,
    host: HOST,
    path_prefix: prefix,
    type: "non_idempotent",
    timeout_ms: 3000,
    target_duration_ms: 3000,
    priority: 0,
    service,
    attempts: 3,
    stretch: 2,
    ...other,
});

export const configuration = (version, routes, services) => ({
    version,
    routes,
    services: services.map(name => ({
        name,
        health_check: "/healthz",
        max_conns: 64,
        protocol: "h1",
        tls: false,
        cold_start_s: 0,
        cold_per_s: 0,
        admission_control: true,
        standby: false,
    })),
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
});

/** Runs a case. `play` gets the fleet and a recorder, and returns one of the results above with a reason. */
export const runCase = async (folder, options, play) => {
    const lines = [];
    const startMs = performance.now();
    const record = (kind, fields) =>
        lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} ${kind} ${JSON.stringify(fields)}`);
    const fleet = await Fleet.create(options);
    const finish = async ({ result, reason }) => {
        record("result", { result, reason });
        writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
        console.log(`${result === HELD ? "held" : result === BROKEN ? "broken" : "not run"}: ${reason}`);
        await fleet.close();
        process.exit(result);
    };
    process.on("uncaughtException", error => void finish({ result: NOT_RUN, reason: String(error.stack) }));
    ["SIGINT", "SIGTERM"].forEach(signal =>
        process.on(signal, () => void finish({ result: NOT_RUN, reason: `ended by ${signal}` }))
    );
    setTimeout(() => void finish({ result: NOT_RUN, reason: "the case took too long" }), TIME_LIMIT_MS);
    try {
        fleet.startAll();
        await finish(await play(fleet, record));
    }
    catch (error) {
        await finish({ result: NOT_RUN, reason: String(error.stack) });
    }
};

/** Sends the first configuration until it is acknowledged. */
export const configure = async (fleet, record, content) => {
    const response = await orderUntilAcknowledged({
        addresses: fleet.controlAddresses,
        method: "PUT",
        path: "/v1/config",
        body: content,
        record,
    });
    if (response.status !== 200) {
        throw new Error(`configuration ${content.version} was not acknowledged`);
    }
    await sleep(2000);
};
