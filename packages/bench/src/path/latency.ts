import { findFreePorts, ManagedProcess, waitUntil } from "@waxwingspread/test-support";
import { fileURLToPath } from "node:url";
import { request as httpRequest } from "undici";
import { epochMs, OpenLoop, pause, submitInSequence } from "./callers.js";
import type { MeasuredJob } from "./callers.js";
import { computeMedian, computePercentiles } from "./statistics.js";
import type { LatencyPercentiles } from "./statistics.js";
import type { Testbed } from "./testbed.js";

const STAND_IN_BACKEND_SERVER_SCRIPT = fileURLToPath(
    new URL("../../../test-support/dist/stand-in-backend-server-main.js", import.meta.url),
);
const RUN_MS = 20;
const DIRECT_STARTS = 60;
const IDLE_JOBS = 60;
const WARM_UP_JOBS = 40;
/** Peak rate that is expected in two years. */
export const PEAK_STARTS_PER_SECOND = 69;
const LOAD_DURATION_MS = 8_000;
const START_WINDOW_MS = 60_000;

/**
 * Returns the median time, in milliseconds, of a task start that a caller sends directly to a stand-in backend server,
 * over the same network delay as to an entry.
 */
const measureDirectStart = async (testbed: Testbed): Promise<number> => {
    const [port] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const process = new ManagedProcess("direct", STAND_IN_BACKEND_SERVER_SCRIPT, [
        "--id=direct",
        `--port=${port}`,
        "--entry=127.0.0.1:1",
    ]);
    try {
        const incarnation = await waitUntil(
            "the stand-in backend server listens",
            10_000,
            () => /"incarnation":"([^"]+)"/.exec(process.output)?.[1],
        );
        const relayAddress = await testbed.relays.open("callers to direct", address, testbed.deployment.toClientsMs);
        const durations: number[] = [];
        for (let number = 1; number <= DIRECT_STARTS; number += 1) {
            const startedAtMs = epochMs();
            const response = await httpRequest(`http://${relayAddress}/v1/tasks`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({
                    customer: testbed.deployment.customer,
                    requestId: `direct-${number}`,
                    attemptNumber: 1,
                    incarnation,
                    term: 1,
                    startDeadlineMs: START_WINDOW_MS,
                    leaseExpiresMs: START_WINDOW_MS,
                    workClass: "check",
                    workKind: "latency-critical",
                    resources: { cpuMillicores: 1, memoryMebibytes: 1, accelerators: 0 },
                    payload: { runMs: 0 },
                    replyTo: "127.0.0.1:1",
                }),
            });
            const body = await response.body.text();
            if (!body.includes("accepted") && !body.includes("no free capacity")) {
                throw new Error(`the stand-in backend server did not accept the direct start: ${body}`);
            }
            durations.push(epochMs() - startedAtMs);
        }
        return computeMedian(durations);
    }
    finally {
        await process.kill();
    }
};

/** Times in milliseconds; names with `Idle` are measured one job at a time, the other latencies at the peak rate. */
export interface LatencyResult {
    addedLatencyMs: LatencyPercentiles;
    addedLatencyIdleMs: LatencyPercentiles;
    submitToStartMs: LatencyPercentiles;
    submitToStartIdleMs: LatencyPercentiles;
    directStartMs: number;
    notCompleted: number;
}

/** Measures the latency that the system adds to a direct start and the run time: when idle, and at the peak rate. */
export const measureLatency = async (testbed: Testbed): Promise<LatencyResult> => {
    const directStartMs = await measureDirectStart(testbed);
    await submitInSequence(testbed, "warm-up", WARM_UP_JOBS, 1);
    const idle = await submitInSequence(testbed, "idle", IDLE_JOBS, RUN_MS);
    const loop = new OpenLoop(testbed, "load", PEAK_STARTS_PER_SECOND, RUN_MS);
    await pause(LOAD_DURATION_MS);
    const loaded = await loop.stop();
    const starts = await testbed.startTimes();
    const added = (jobs: MeasuredJob[]): LatencyPercentiles =>
        computePercentiles(jobs.map(job => job.endedAtMs - job.submittedAtMs - directStartMs - RUN_MS));
    const toStart = (jobs: MeasuredJob[]): LatencyPercentiles =>
        computePercentiles(jobs.flatMap(job => {
            const startedAtMs = starts.get(job.requestId);
            return startedAtMs === undefined ? [] : [startedAtMs - job.submittedAtMs];
        }));
    return {
        addedLatencyMs: added(loaded),
        addedLatencyIdleMs: added(idle),
        submitToStartMs: toStart(loaded),
        submitToStartIdleMs: toStart(idle),
        directStartMs,
        notCompleted: [...idle, ...loaded].filter(job => !job.completed).length,
    };
};
