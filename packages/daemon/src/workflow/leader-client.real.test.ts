import { Refusal, refused, succeeded } from "@waxwingspread/workflow";
import { pino } from "pino";
import { afterEach, expect, it } from "vitest";
import type { HttpListener } from "../http/http-listener.js";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import { createInternalListener } from "./internal-listener.js";
import type { InternalHandler } from "./internal-listener.js";
import { LeaderClient } from "./leader-client.js";
import { CLUSTER_PATH, ForwardedOperation, forwardedPath } from "./operations.js";
import { EntryMetrics } from "./workflow-metrics.js";

const HOST = "127.0.0.1";
const SLOW_MS = 800;
const GRACE_MS = 100;
const DEADLINE_MS = 2_000;
const logger = pino({ enabled: false });

let listener: HttpListener;
let client: LeaderClient;

afterEach(async () => {
    client.stop();
    await listener.close(GRACE_MS);
});

/** Starts a client and a leader that handles calls of one operation with this handler. */
const start = async (operation: ForwardedOperation, handle: () => unknown): Promise<void> => {
    const handlers = new Map<string, InternalHandler>([
        [CLUSTER_PATH, () => ({ leaderHost: HOST, memberHosts: [HOST], isServing: true })],
        [forwardedPath(operation), handle],
    ]);
    listener = createInternalListener({ address: { host: HOST, port: 0 }, handlers, logger });
    const port = await listener.listen();
    client = new LeaderClient({ seedHosts: [HOST], port, metrics: new EntryMetrics(), logger });
    client.start();
};

const deadlines = () => ({ notRunDeadlineMs: monotonicNowMs() + 700, deadlineMs: monotonicNowMs() + DEADLINE_MS });

// Guards against an answer that is thrown away because a leader that executed the call took over half a second.
it("returns the answer of a leader that was slow, although it has lost the leadership meanwhile", async () => {
    let calls = 0;
    await start(ForwardedOperation.Cancel, async () => {
        calls += 1;
        if (calls > 1) {
            return { result: refused(Refusal.NotLeader), leaderHost: undefined };
        }
        await new Promise(resolve => setTimeout(resolve, SLOW_MS));
        return { result: succeeded("cancelled"), leaderHost: HOST };
    });
    expect(await client.forward(ForwardedOperation.Cancel, { jobId: "j" }, deadlines())).toEqual(
        succeeded("cancelled"),
    );
});

// Guards against a read that is reported as possibly executed, although it has no effect.
it("reports a read that no leader answers as not run", async () => {
    await start(ForwardedOperation.JobState, () => new Promise(() => undefined));
    const result = await client.forward(ForwardedOperation.JobState, { jobId: "j" }, deadlines());
    expect(result).toEqual(refused(Refusal.NotRun));
});
