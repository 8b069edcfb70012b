import { expect, it } from "vitest";
import type { ReportedRun } from "../model/heartbeat.js";
import { heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

const LARGE_STEP = stepOf({ amounts: { cpuMillicores: 3_000, memoryMebibytes: 1_000, accelerators: 0 } });

const running: ReportedRun[] = [
    { task: "cancelled.0.0.0", run: 1, checkpoint: "", progressPercent: 10, measurement: undefined },
];

// Guards against exceeding a server's capacity: a run of a cancelled job that the leader has treated as never started
// turns out to be there when a start that was assigned in its place is to be ordered.
it("starts nothing that was assigned before the server reported a run that the leader does not track", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.submit(jobOf("cancelled", LARGE_STEP));
    expect(replica.heartbeat(heartbeatOf("s", 4))?.starts).toHaveLength(1);
    replica.failOver();
    replica.node.cancel("cancelled", () => undefined, replica.times);
    replica.advance(500);
    // These heartbeats were sent before the former leader's order arrived, and are delivered late; the second one later
    // than the leader expects of any.
    replica.heartbeat(heartbeatOf("s", 2));
    replica.advance(1_500);
    replica.heartbeat(heartbeatOf("s", 3));
    replica.submit(jobOf("next", LARGE_STEP));
    const orders = replica.heartbeat(heartbeatOf("s", 5, { running }));
    expect(orders?.starts).toEqual([]);
    expect(orders?.stops).toEqual([{ task: "cancelled.0.0.0", run: 1 }]);
    replica.heartbeat(heartbeatOf("s", 6, { running }));
    const starts = replica.heartbeat(heartbeatOf("s", 7))?.starts;
    expect(starts?.map(({ task }) => task)).toEqual(["next.0.0.0"]);
});
