import { describe, expect, it } from "vitest";
import { Refusal, succeeded } from "../model/calls.js";
import { RunEnd } from "../model/heartbeat.js";
import type { JobSpecification } from "../model/specification.js";
import { heartbeatOf, HOST, jobOf, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";

const STEPS = 1_000;
const NO_AMOUNTS = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
/** Room for one job of 80 tasks. */
const FEW_JOB_BYTES = 22_000;

const chainOf = (id: string): JobSpecification => {
    const steps = Array.from(
        { length: STEPS },
        (unused, index) => stepOf({ dependsOn: index === 0 ? [] : [index - 1] }),
    );
    return jobOf(id, ...steps);
};

// Load: some hundred submissions of a thousand steps each. Guards against replicas that all run out of memory for what they
// have accepted, and again at each start.
describe("large submissions", () => {
    it("are refused once there is no memory for them, and small ones are still accepted", () => {
        const replica = SingleReplica.started();
        const results = Array.from({ length: 400 }, (unused, index) => replica.submit(chainOf(`chain${index}`)));
        expect(results.filter(({ ok }) => ok).length).toBeGreaterThan(10);
        expect(results.at(-1)).toEqual({ ok: false, refusal: Refusal.Overloaded });
        expect(replica.node.snapshot().length).toBeLessThan(LEADER_SETTINGS.maxJobBytes);
        expect(replica.submit(jobOf("small", stepOf({ taskCount: 20 }))).ok).toBe(true);
        expect(replica.submit(chainOf("chain0")).ok).toBe(true);
    });

    // Guards against a refusal, which says that the job never runs, while its first submission is being recorded.
    it("are not refused while an earlier submission of the same job is not committed", () => {
        const replica = SingleReplica.started({}, { ...LEADER_SETTINGS, maxJobBytes: FEW_JOB_BYTES });
        const job = jobOf("j", stepOf({ taskCount: 80 }));
        const results: unknown[] = [];
        for (let attempt = 0; attempt < 2; attempt += 1) {
            replica.node.submit({ host: HOST, path: "/batch/j" }, job, result => results.push(result), replica.times);
        }
        replica.settle();
        expect(results).toEqual([succeeded(undefined), succeeded(undefined)]);
    });

    it("are accepted again after earlier ones have been forgotten", () => {
        const replica = SingleReplica.started({}, { ...LEADER_SETTINGS, maxJobBytes: FEW_JOB_BYTES });
        expect(replica.submit(jobOf("j", stepOf({ taskCount: 80 }))).ok).toBe(true);
        expect(replica.submit(jobOf("k", stepOf({ taskCount: 80 }))).ok).toBe(false);
        replica.node.cancel("j", () => undefined, replica.times);
        replica.settle();
        replica.advance(10_000);
        replica.advance(LEADER_SETTINGS.retentionMs);
        replica.advance(1_000);
        expect(replica.submit(jobOf("k", stepOf({ taskCount: 80 }))).ok).toBe(true);
    });

    it("take little memory once all of their tasks are done", () => {
        const replica = SingleReplica.started({}, { ...LEADER_SETTINGS, maxJobBytes: FEW_JOB_BYTES });
        expect(replica.submit(jobOf("j", stepOf({ taskCount: 80, isGang: true, amounts: NO_AMOUNTS }))).ok).toBe(true);
        replica.heartbeat(heartbeatOf("s", 1));
        replica.heartbeat(heartbeatOf("s", 2));
        const ended = [{ sequence: 1, task: "j.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" }];
        replica.heartbeat(heartbeatOf("s", 3, { ended }));
        replica.advance(1_000);
        expect(replica.submit(jobOf("k", stepOf({ taskCount: 80 }))).ok).toBe(true);
    });
});
