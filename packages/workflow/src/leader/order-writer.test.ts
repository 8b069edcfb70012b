import { expect, it } from "vitest";
import { heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

// Guards against starts beyond a server's capacity: a new leader took the run of a cancelled job for never started,
// because of a heartbeat from before its predecessor's order, and gave its place to another task.
it("keeps the place of a cancelled job's run that a former leader may have started", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.submit(jobOf("cancelled", stepOf({ amounts: { ...stepOf().amounts, cpuMillicores: 3_000 } })));
    expect(replica.heartbeat(heartbeatOf("s", 2))?.starts).toHaveLength(1);
    replica.node.cancel("cancelled", () => undefined, replica.times);
    replica.settle();
    replica.failOver();
    replica.submit(jobOf("next", stepOf({ amounts: { ...stepOf().amounts, cpuMillicores: 3_000 } })));
    replica.heartbeat(heartbeatOf("s", 3));
    replica.advance(500);
    expect(replica.heartbeat(heartbeatOf("s", 4))?.starts).toEqual([]);
    replica.advance(1_500);
    replica.heartbeat(heartbeatOf("s", 5));
    replica.advance(100);
    expect(replica.heartbeat(heartbeatOf("s", 6))?.starts).toMatchObject([{ task: "next.0.0.0" }]);
});
