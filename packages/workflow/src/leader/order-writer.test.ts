import { expect, it } from "vitest";
import type { HeartbeatReport, ReportedRun } from "../model/heartbeat.js";
import { heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";

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

const TASKS = 1_000;
const PAYLOAD = "\u0001".repeat(4_000);

/** A server with room for all tasks, which starts what it is ordered to and sends the next heartbeat when it is told to. */
const startAll = (replica: SingleReplica, isLost: (answer: number) => boolean) => {
    const running = new Map<string, ReportedRun>();
    const largestBytes: number[] = [];
    const startedAgain: string[] = [];
    let elapsedMs = 0;
    for (let answer = 1; running.size < TASKS && answer < 1_000; answer += 1) {
        const report: HeartbeatReport = heartbeatOf("s", answer + 1, { running: [...running.values()] });
        const orders = replica.heartbeat(report);
        largestBytes.push(JSON.stringify(orders?.starts ?? []).length);
        for (const { task, run } of isLost(answer) ? [] : orders?.starts ?? []) {
            startedAgain.push(...running.has(task) ? [task] : []);
            running.set(task, { task, run, checkpoint: "", progressPercent: 0, measurement: undefined });
        }
        elapsedMs += orders?.nextHeartbeatMs ?? 0;
        replica.advance(orders?.nextHeartbeatMs ?? 0);
    }
    return { running, startedAgain, elapsedMs, largestBytes: Math.max(...largestBytes) };
};

// Guards against starts that never arrive: a server drops an answer that is too long, and the next one would hold as many.
it.each([
    ["no answer is lost", () => false],
    ["every third answer is lost", (answer: number) => answer % 3 === 0],
])("spreads the starts of a server over as many answers as their size needs when %s", (unusedName, isLost) => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    const step = stepOf({ taskCount: TASKS, amounts: { cpuMillicores: 1, memoryMebibytes: 1, accelerators: 0 } });
    replica.submit({ ...jobOf("j", step), payload: PAYLOAD });
    const { running, startedAgain, elapsedMs, largestBytes } = startAll(replica, isLost);
    expect(running.size).toBe(TASKS);
    expect(new Set([...running.values()].map(({ run }) => run))).toEqual(new Set([1]));
    expect(startedAgain).toEqual([]);
    expect(largestBytes).toBeLessThan(LEADER_SETTINGS.maxOrderBytes + 6 * PAYLOAD.length + 1_000);
    expect(elapsedMs).toBeLessThan(4_000);
});
