import { describe, expect, it } from "vitest";
import { JobState, Refusal } from "../model/calls.js";
import { RunEnd } from "../model/heartbeat.js";
import type { HeartbeatOrders, ReportedRun } from "../model/heartbeat.js";
import { heartbeatOf, HOST, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";

/** Longest time for which a run may go on after a leader change, on a slow clock and with all margins. */
const LONGEST_ADOPTED_LEASE_MS = LEADER_SETTINGS.leaseMs / 0.98 + 50 + 1_000;

const runningOf = (orders: HeartbeatOrders | undefined): ReportedRun[] =>
    (orders?.starts ?? []).map(({ task, run }) => ({
        task,
        run,
        checkpoint: "",
        progressPercent: 0,
        measurement: undefined,
    }));

const endOf = (sequence: number, task: string, run: number, end = RunEnd.Done) => ({
    sequence,
    task,
    run,
    end,
    checkpoint: "",
});

describe("a job", () => {
    it("runs step after step and is shown as completed only when every task is done", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf({ taskCount: 2 }), stepOf({ dependsOn: [0] })));
        const first = replica.heartbeat(heartbeatOf("s", 2));
        expect(first?.starts.map(start => start.task)).toEqual(["j.0.0.0", "j.0.0.1"]);
        const running = runningOf(first);
        const second = replica.heartbeat(
            heartbeatOf("s", 3, { running: running.slice(1), ended: [endOf(1, "j.0.0.0", 1)] }),
        );
        expect(second?.acknowledgedEnd).toBe(1);
        expect(second?.starts).toEqual([]);
        const third = replica.heartbeat(heartbeatOf("s", 4, { ended: [endOf(2, "j.0.0.1", 1)] }));
        expect(third?.starts.map(start => start.task)).toEqual(["j.0.1.0"]);
        expect(replica.stateOf("j")).toBe(JobState.Running);
        replica.heartbeat(heartbeatOf("s", 5, { ended: [endOf(3, "j.0.1.0", 1)] }));
        expect(replica.stateOf("j")).toBe(JobState.Completed);
    });

    it("is accepted once, however often it is submitted", () => {
        const replica = SingleReplica.started();
        expect(replica.submit(jobOf("j", stepOf())).ok).toBe(true);
        expect(replica.submit(jobOf("j", stepOf())).ok).toBe(true);
        expect(replica.node.state.jobs.size).toBe(1);
    });

    it("is not acknowledged before its record is committed", () => {
        const replica = SingleReplica.started();
        const results: unknown[] = [];
        const address = { host: HOST, path: "/batch/j" };
        replica.node.submit(address, jobOf("j", stepOf()), result => results.push(result), replica.times);
        replica.node.run(replica.times);
        expect(results).toEqual([]);
        replica.commit();
        expect(results).toEqual([{ ok: true, value: undefined }]);
    });

    it("has an uncertain result when the leadership is lost before the commit", () => {
        const replica = SingleReplica.started();
        const results: unknown[] = [];
        const address = { host: HOST, path: "/batch/j" };
        replica.node.submit(address, jobOf("j", stepOf()), result => results.push(result), replica.times);
        replica.node.run(replica.times);
        replica.node.handleLeadershipLost();
        expect(results).toEqual([{ ok: false, refusal: Refusal.Uncertain }]);
    });

    it("fails after the maximum number of attempts and starts no further run", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        expect(replica.heartbeat(heartbeatOf("s", 2))?.starts).toHaveLength(1);
        const again = replica.heartbeat(heartbeatOf("s", 3, { ended: [endOf(1, "j.0.0.0", 1, RunEnd.Failed)] }));
        expect(again?.starts).toEqual([{ task: "j.0.0.0", run: 2, payload: "payload of j", checkpoint: "" }]);
        const last = replica.heartbeat(heartbeatOf("s", 4, { ended: [endOf(2, "j.0.0.0", 2, RunEnd.Failed)] }));
        expect(last?.starts).toEqual([]);
        expect(replica.stateOf("j")).toBe(JobState.Failed);
    });

    it("stops its runs and starts no others after it is cancelled", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf({ taskCount: 5 })));
        const orders = replica.heartbeat(heartbeatOf("s", 2));
        replica.node.cancel("j", () => undefined, replica.times);
        replica.settle();
        const stopped = replica.heartbeat(heartbeatOf("s", 3, { running: runningOf(orders) }));
        expect(stopped?.stops).toHaveLength(4);
        expect(stopped?.starts).toEqual([]);
        expect(replica.stateOf("j")).toBe(JobState.Cancelled);
    });

    // Guards against a cancellation that is acknowledged but has no effect, so that the job still runs.
    it("is cancelled even if its own record is not committed yet when the cancellation arrives", () => {
        const replica = SingleReplica.started();
        const results: unknown[] = [];
        const address = { host: HOST, path: "/batch/j" };
        replica.node.submit(address, jobOf("j", stepOf()), () => undefined, replica.times);
        replica.node.cancel("j", result => results.push(result), replica.times);
        replica.settle();
        expect(results).toEqual([{ ok: true, value: undefined }]);
        expect(replica.stateOf("j")).toBe(JobState.Cancelled);
    });

    it("on a schedule starts each occurrence when it is due, even after the wall clock has jumped", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        const firstDueMs = replica.times.timeOfDayMs + 1_000;
        const schedule = { occurrences: 2, firstDueMs, intervalMs: 2_000 };
        replica.submit({ ...jobOf("j", stepOf()), schedule });
        expect(replica.heartbeat(heartbeatOf("s", 2))?.starts).toEqual([]);
        replica.advance(1_000);
        expect(replica.heartbeat(heartbeatOf("s", 3))?.starts.map(start => start.task)).toEqual(["j.0.0.0"]);
        replica.timeOfDayOffsetMs = 2_000;
        replica.advance(100);
        const orders = replica.heartbeat(heartbeatOf("s", 4, { ended: [endOf(1, "j.0.0.0", 1)] }));
        expect(orders?.starts.map(start => start.task)).toEqual(["j.1.0.0"]);
    });
});

describe("a run", () => {
    // Guards against exceeding a server's capacity: no resources are reserved for runs that the leader does not track.
    it("that the leader does not track blocks other starts on its server until it has ended", () => {
        const replica = SingleReplica.started();
        const untrackedRun = {
            task: "gone.0.0.0",
            run: 1,
            checkpoint: "",
            progressPercent: 10,
            measurement: undefined,
        };
        replica.heartbeat(heartbeatOf("s", 1, { running: [untrackedRun] }));
        replica.submit(jobOf("j", stepOf()));
        const orders = replica.heartbeat(heartbeatOf("s", 2, { running: [untrackedRun] }));
        expect(orders?.starts).toEqual([]);
        expect(orders?.stops).toEqual([{ task: "gone.0.0.0", run: 1 }]);
        replica.heartbeat(heartbeatOf("s", 3));
        expect(replica.heartbeat(heartbeatOf("s", 4))?.starts).toHaveLength(1);
    });

    // Guards against a task that runs twice: a heartbeat that the server sent before it received the former leader's
    // order arrives late at the next leader, which must not send the order again.
    it("is not treated as lost because of a heartbeat sent before the former leader's order", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        const running = runningOf(replica.heartbeat(heartbeatOf("s", 3)));
        expect(running).toHaveLength(1);
        replica.failOver();
        replica.node.setZone("a", true, () => undefined, replica.times);
        replica.heartbeat(heartbeatOf("other", 1, { availabilityZone: "b" }));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.advance(500);
        expect(replica.heartbeat(heartbeatOf("other", 2, { availabilityZone: "b" }))?.starts).toEqual([]);
        replica.heartbeat(heartbeatOf("s", 4, { running }));
        replica.heartbeat(heartbeatOf("s", 5, { ended: [endOf(1, "j.0.0.0", 1)] }));
        expect(replica.stateOf("j")).toBe(JobState.Completed);
    });

    // Guards against a task that runs twice: two heartbeats that the server sent before it received the former leader's order
    // arrive late at the next leader, far enough apart to seem to show that the order had no effect.
    it.each([100, 2_200])(
        "is not treated as lost because of late heartbeats that were sent %i ms apart",
        intervalMs => {
            const replica = SingleReplica.started();
            replica.heartbeat(heartbeatOf("s", 1, { clockMs: 0 }));
            replica.submit(jobOf("j", stepOf()));
            const running = runningOf(replica.heartbeat(heartbeatOf("s", 4, { clockMs: 3_000 })));
            expect(running).toHaveLength(1);
            replica.failOver();
            replica.node.setZone("a", true, () => undefined, replica.times);
            replica.heartbeat(heartbeatOf("other", 1, { availabilityZone: "b" }));
            replica.heartbeat(heartbeatOf("s", 2, { clockMs: 100 }));
            replica.advance(1_600);
            replica.heartbeat(heartbeatOf("s", 3, { clockMs: 100 + intervalMs }));
            replica.advance(500);
            expect(replica.heartbeat(heartbeatOf("other", 2, { availabilityZone: "b" }))?.starts).toEqual([]);
            replica.heartbeat(heartbeatOf("s", 5, { clockMs: 5_100, ended: [endOf(1, "j.0.0.0", 1)] }));
            expect(replica.stateOf("j")).toBe(JobState.Completed);
        },
    );

    // Guards against two runs of a task: a leader that began before it had applied the record of a run took the run for
    // one of its own whose server is gone, although the former leader had sent the order.
    it("is not treated as lost by a leader that applies its record only after the election", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        const running = runningOf(replica.heartbeat(heartbeatOf("s", 2)));
        expect(running).toHaveLength(1);
        const lastRecord = replica.log.findLastIndex(({ data }) => String(data).includes("runs-assigned"));
        replica.failOver({ appliedRecords: lastRecord });
        replica.heartbeat(heartbeatOf("t", 1));
        replica.advance(500);
        expect(replica.heartbeat(heartbeatOf("t", 2))?.starts).toEqual([]);
        replica.heartbeat(heartbeatOf("s", 3, { running }));
        replica.heartbeat(heartbeatOf("s", 4, { ended: [endOf(1, "j.0.0.0", 1)] }));
        expect(replica.stateOf("j")).toBe(JobState.Completed);
    });

    // Guards against a task that waits forever for a run that the former leader never ordered.
    it("is treated as lost when the server's heartbeats do not list it after a leader change", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        replica.failOver();
        replica.node.setZone("a", true, () => undefined, replica.times);
        for (let sequence = 2; sequence < 10; sequence += 1) {
            replica.heartbeat(heartbeatOf("s", sequence));
            replica.heartbeat(heartbeatOf("other", sequence, { availabilityZone: "b" }));
            replica.advance(300);
        }
        expect(replica.node.state.job("j")?.task({ jobId: "j", occurrence: 0, step: 0, index: 0 })?.run).toBe(2);
    });

    // Guards against a second run of the task, started by a later leader that does not know about the first run.
    it("is not ordered in an answer that is sent before its record is committed", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        const answers: unknown[] = [];
        const address = { host: HOST, path: "/batch/j" };
        replica.node.submit(address, jobOf("j", stepOf()), () => undefined, replica.times);
        replica.node.run(replica.times);
        replica.commit();
        replica.node.run(replica.times);
        replica.node.heartbeat(heartbeatOf("s", 2), result => answers.push(result), replica.times);
        replica.node.run(replica.times);
        expect(answers).toEqual([]);
        // An answer that has waited for too long is sent without the order.
        replica.node.run({ ...replica.times, nowMs: replica.times.nowMs + 1_000 });
        expect(answers).toMatchObject([{ ok: true, value: { starts: [] } }]);
    });

    it("is recorded before its order is sent", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.failOver();
        expect(replica.node.state.job("j")?.stepsOf(0)?.[0]?.tasks[0]?.run).toBe(1);
    });

    it("is ordered again under the same number when the answer with the order was lost", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        const lost = replica.heartbeat(heartbeatOf("s", 2));
        expect(replica.heartbeat(heartbeatOf("s", 3))?.starts).toEqual(lost?.starts);
    });

    it("starts on another server only after the lease of a silent server has certainly expired", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.advance(3_000);
        expect(replica.heartbeat(heartbeatOf("t", 1))?.starts).toEqual([]);
        replica.advance(150);
        expect(replica.heartbeat(heartbeatOf("t", 2))?.starts).toMatchObject([{ task: "j.0.0.0", run: 2 }]);
    });

    // Guards against two runs of a task, and against a standing task that stays away for longer than needed after its
    // server and the leader were lost: the new leader waits for the leases that were granted, no less and no more.
    it("survives a leader change; the new leader waits for the longest lease granted before it restarts the task", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.failOver();
        replica.advance(LONGEST_ADOPTED_LEASE_MS - 100);
        expect(replica.heartbeat(heartbeatOf("t", 1))?.starts).toEqual([]);
        replica.advance(100);
        expect(replica.heartbeat(heartbeatOf("t", 2))?.starts).toMatchObject([{ task: "j.0.0.0", run: 2 }]);
    });

    // Guards against two runs of a task after the lease in the settings was shortened.
    it("keeps the lease of a former leader whose leases were longer", () => {
        const replica = SingleReplica.started({}, { ...LEADER_SETTINGS, leaseMs: 5_000 });
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.settings = LEADER_SETTINGS;
        replica.failOver();
        replica.advance(LONGEST_ADOPTED_LEASE_MS + 1_900);
        expect(replica.heartbeat(heartbeatOf("t", 1))?.starts).toEqual([]);
        replica.advance(200);
        expect(replica.heartbeat(heartbeatOf("t", 2))?.starts).toMatchObject([{ task: "j.0.0.0", run: 2 }]);
    });

    // Guards against a task that waits forever: its run was recorded for a server's former incarnation, that of another
    // task for the later one, and the leader was lost before it recorded the loss.
    it("is treated as lost by a new leader if a later incarnation of its server has runs", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        for (const [id, cpuMillicores] of [["first", 2_000], ["second", 3_000]] as const) {
            const job = jobOf(id, stepOf({ amounts: { cpuMillicores, memoryMebibytes: 1, accelerators: 0 } }));
            replica.node.submit({ host: HOST, path: `/batch/${id}` }, job, () => undefined, replica.times);
        }
        replica.node.run(replica.times);
        replica.commit();
        // The first job is assigned to the server, and then the second one to its later incarnation.
        replica.node.run(replica.times);
        replica.node.heartbeat(heartbeatOf("s", 1, { incarnation: 2 }), () => undefined, replica.times);
        replica.node.run(replica.times);
        replica.commit();
        replica.failOver();
        replica.advance(500);
        replica.heartbeat(heartbeatOf("s", 2, { incarnation: 2 }));
        const other = replica.heartbeat(heartbeatOf("t", 1));
        expect(other?.starts).toMatchObject([{ task: "first.0.0.0", run: 2 }]);
    });

    it("is replaced in the answer to the next heartbeat after its server has restarted", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.heartbeat(heartbeatOf("s", 1, { incarnation: 2 }));
        expect(replica.heartbeat(heartbeatOf("s", 2, { incarnation: 2 }))?.starts).toMatchObject([{ run: 2 }]);
    });

    // Guards against two runs of a task: the notice of a server's exit arrives after the server has started again under
    // the same id, and says nothing about the runs of the later incarnation.
    it("goes on when a late exit notice of its server's former incarnation arrives", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1, { isDraining: true }));
        replica.heartbeat(heartbeatOf("s", 1, { incarnation: 2 }));
        replica.submit(jobOf("j", stepOf()));
        expect(replica.heartbeat(heartbeatOf("s", 2, { incarnation: 2 }))?.starts).toHaveLength(1);
        replica.node.leave("s", () => undefined, replica.times);
        replica.advance(1_000);
        expect(replica.heartbeat(heartbeatOf("t", 1))?.starts).toEqual([]);
    });

    it("is replaced soon after its draining server has given notice of its exit", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        const running = runningOf(replica.heartbeat(heartbeatOf("s", 2)));
        replica.heartbeat(heartbeatOf("s", 3, { running, isDraining: true }));
        replica.node.leave("s", () => undefined, replica.times);
        replica.advance(500);
        expect(replica.heartbeat(heartbeatOf("t", 1))?.starts).toMatchObject([{ task: "j.0.0.0", run: 2 }]);
    });

    it("that the leader has treated as lost is stopped when its server sends heartbeats again", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        const orders = replica.heartbeat(heartbeatOf("s", 2));
        replica.advance(4_000);
        const back = replica.heartbeat(heartbeatOf("s", 3, { running: runningOf(orders), isDraining: true }));
        expect(back?.stops).toEqual([{ task: "j.0.0.0", run: 1 }]);
    });

    it("ignores a heartbeat that arrives after a later one", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 5));
        expect(replica.heartbeat(heartbeatOf("s", 4))).toBeUndefined();
    });

    it("does not start on a draining server or in a zone out of service, even if it was assigned there before", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        replica.node.setZone("a", true, () => undefined, replica.times);
        replica.settle();
        expect(replica.heartbeat(heartbeatOf("s", 2))?.starts).toEqual([]);
        const elsewhere = replica.heartbeat(heartbeatOf("t", 1, { availabilityZone: "b" }));
        expect(elsewhere?.starts).toMatchObject([{ task: "j.0.0.0", run: 2 }]);
    });
});

describe("a gang", () => {
    it("starts with all of its tasks under one run number or not at all", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf({ taskCount: 5, isGang: true })));
        expect(replica.heartbeat(heartbeatOf("s", 2))?.starts).toEqual([]);
        replica.heartbeat(heartbeatOf("t", 1));
        const first = replica.heartbeat(heartbeatOf("s", 3))?.starts ?? [];
        const second = replica.heartbeat(heartbeatOf("t", 2))?.starts ?? [];
        expect(first.length + second.length).toBe(5);
        expect(new Set([...first, ...second].map(start => start.run))).toEqual(new Set([1]));
    });

    it("is completed by the end of one member", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf({ taskCount: 3, isGang: true })));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.heartbeat(heartbeatOf("s", 3, { ended: [endOf(1, "j.0.0.1", 1)] }));
        expect(replica.stateOf("j")).toBe(JobState.Completed);
    });
});

describe("a standing task", () => {
    it("is restarted however it ends", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", standingStepOf()));
        replica.heartbeat(heartbeatOf("s", 2));
        const ends = [RunEnd.Done, RunEnd.Failed, RunEnd.Failed, RunEnd.LeaseExpired];
        ends.forEach((end, position) => {
            // After repeated failures, a server gets no new starts for a while.
            replica.advance(2_500);
            const run = position + 1;
            const ended = [endOf(run, "j.0.0.0", run, end)];
            replica.heartbeat(heartbeatOf("s", 3 + 2 * position, { ended }));
            replica.advance(2_500);
            const orders = replica.heartbeat(heartbeatOf("s", 4 + 2 * position));
            expect(orders?.starts).toMatchObject([{ task: "j.0.0.0", run: run + 1 }]);
        });
    });
});

describe("a snapshot", () => {
    it("restores jobs, runs, acknowledged ends and zones", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf({ taskCount: 2 })));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.heartbeat(heartbeatOf("s", 3, { ended: [endOf(7, "j.0.0.0", 1)] }));
        replica.node.setZone("b", true, () => undefined, replica.times);
        replica.settle();
        const before = replica.node.state.toSnapshot();
        replica.node.restoreSnapshot(replica.node.snapshot());
        expect(JSON.stringify(replica.node.state.toSnapshot())).toBe(JSON.stringify(before));
        expect(replica.node.state.acknowledgedEnd({ serverId: "s", incarnation: 1 })).toBe(7);
    });
});
