import { expect, it } from "vitest";
import { RunEnd } from "../model/heartbeat.js";
import type { HeartbeatReport } from "../model/heartbeat.js";
import { MaintenanceOutcome, MaintenanceState } from "../model/maintenance.js";
import type { MaintenanceCall } from "../model/maintenance.js";
import { fillerStepOf, heartbeatOf, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";

interface OpenCall {
    call: MaintenanceCall;
    respond: (outcome: MaintenanceOutcome) => void;
}

/** Time after which a VM is certainly back. */
const DOWN_MS = LEADER_SETTINGS.maintenanceMs + 500;

const startLeader = (): { replica: SingleReplica; calls: OpenCall[] } => {
    const calls: OpenCall[] = [];
    const replica = SingleReplica.started({
        beginMaintenance: (call, respond) =>
            void calls.push({ call, respond: outcome => respond(outcome, replica.times.nowMs) }),
    });
    replica.advance(LEADER_SETTINGS.orderLeaseMs);
    return { replica, calls };
};

const order = (replica: SingleReplica, vmIds: string[], maxConcurrent: number, id = 1): void => {
    acceptOrder(replica, vmIds, maxConcurrent, id);
    replica.settle();
};

/** Has an order committed, and nothing that follows from it. */
const acceptOrder = (replica: SingleReplica, vmIds: string[], maxConcurrent: number, id = 1): void => {
    const command = { id, vmIds, allowedMs: 20_000, maxConcurrent };
    replica.node.orderMaintenance(command, () => undefined, replica.times);
    replica.node.run(replica.times);
    replica.commit();
};

const stateOf = (replica: SingleReplica, id = 1): unknown => {
    const results: unknown[] = [];
    replica.node.maintenanceState(id, result => results.push(result.ok ? result.value : result.refusal), replica.times);
    replica.settle();
    return results[0];
};

/** Returns a function that sends heartbeats of one server with increasing sequence numbers. */
const createHeartbeatSender = (replica: SingleReplica, serverId: string) => {
    let sequence = 0;
    return (changes: Partial<HeartbeatReport> = {}) => {
        sequence += 1;
        return replica.heartbeat(heartbeatOf(serverId, sequence, changes));
    };
};

const vmIdsOf = (calls: readonly OpenCall[]): string[] => calls.map(({ call }) => call.vmId);

// Guards against more VMs down at a time than the operators allow, and against reporting an order as completed before
// all of its VMs are back.
it("has no more VMs down than allowed, and is completed when all are back", () => {
    const { replica, calls } = startLeader();
    order(replica, ["x", "y", "z"], 2);
    replica.advance(10);
    expect(vmIdsOf(calls)).toEqual(["x", "y"]);
    calls[0]?.respond(MaintenanceOutcome.Begun);
    replica.advance(DOWN_MS - 10);
    expect(vmIdsOf(calls)).toEqual(["x", "y"]);
    replica.advance(20);
    expect(vmIdsOf(calls)).toEqual(["x", "y", "z"]);
    calls[1]?.respond(MaintenanceOutcome.Gone);
    calls[2]?.respond(MaintenanceOutcome.Begun);
    replica.settle();
    expect(stateOf(replica)).toBe(MaintenanceState.Running);
    replica.advance(DOWN_MS + 10);
    replica.settle();
    expect(stateOf(replica)).toBe(MaintenanceState.Completed);
    expect(stateOf(replica, 2)).toBeUndefined();
});

// Guards against counting a VM as up although a call without a response has taken it down.
it("counts a VM as down while the outcome of a call is unknown, and repeats the call", () => {
    const { replica, calls } = startLeader();
    order(replica, ["x", "y"], 1);
    replica.advance(10);
    calls[0]?.respond(MaintenanceOutcome.Retry);
    replica.advance(1_000);
    expect(vmIdsOf(calls)).toEqual(["x", "x"]);
});

// Guards against two leaders that order maintenance of one VM alternately, and against one VM too many that is down
// after a failover.
it("makes no call before a former leader's order lease has expired, and continues what that leader had begun", () => {
    const { replica, calls } = startLeader();
    order(replica, ["x", "y"], 1);
    replica.advance(10);
    calls[0]?.respond(MaintenanceOutcome.Begun);
    replica.settle();
    replica.failOver();
    replica.advance(LEADER_SETTINGS.orderLeaseMs - 100);
    expect(vmIdsOf(calls)).toEqual(["x"]);
    replica.advance(200);
    replica.advance(10);
    expect(calls.map(({ call }) => [call.vmId, call.term])).toEqual([["x", 1], ["y", 2]]);
});

// Guards against one VM too many that is down: a leader that was suspended acts on what it had decided before, while its
// successor maintains another VM. The platform compares terms for each VM, so that it can't refuse the call.
it("makes no call for a VM before the log has taken its request, which a replaced leader's never does", () => {
    const { replica, calls } = startLeader();
    acceptOrder(replica, ["x", "y"], 1);
    for (let round = 0; round < 10; round += 1) {
        replica.node.run(replica.times);
    }
    expect(calls).toEqual([]);
    replica.settle();
    expect(vmIdsOf(calls)).toEqual(["x"]);
});

// Guards against one VM too many that is down: a leader asks for the maintenance of a VM and is lost before it knows the
// answer. Its successor knows nothing of the load of the VMs yet, and would begin with another one.
it("begins no other maintenance before it knows the outcome of a former leader's request", () => {
    const { replica, calls } = startLeader();
    const send = createHeartbeatSender(replica, "s");
    send({ vmId: "loaded" });
    replica.submit(jobOf("j", standingStepOf()));
    send({ vmId: "loaded" });
    order(replica, ["loaded", "idle"], 1);
    expect(vmIdsOf(calls)).toEqual(["idle"]);
    replica.failOver();
    replica.advance(LEADER_SETTINGS.orderLeaseMs + LEADER_SETTINGS.maxLeaseMs);
    replica.advance(10);
    expect(vmIdsOf(calls)).toEqual(["idle", "idle"]);
    calls[1]?.respond(MaintenanceOutcome.Begun);
    replica.advance(DOWN_MS - 10);
    expect(vmIdsOf(calls)).toEqual(["idle", "idle"]);
    replica.advance(20);
    expect(vmIdsOf(calls)).toEqual(["idle", "idle", "loaded"]);
});

// Guards against a VM that is taken down under its tasks, because its server has not found the new leader yet: no heartbeat
// has told on which VM the runs of the log are.
it("takes a VM without a known server for empty only when no run may be on an unknown VM", () => {
    const { replica, calls } = startLeader();
    const send = createHeartbeatSender(replica, "s");
    send({ vmId: "x" });
    replica.submit(jobOf("j", standingStepOf({ maxUnavailable: 1 })));
    const [start] = send({ vmId: "x" })?.starts ?? [];
    const running = [{ task: start?.task ?? "", run: 1, checkpoint: "", progressPercent: 100, measurement: 1 }];
    send({ vmId: "x", running });
    replica.failOver();
    order(replica, ["x"], 1);
    replica.advance(LEADER_SETTINGS.orderLeaseMs + 10);
    expect(calls).toEqual([]);
    const orders = send({ vmId: "x", running });
    replica.settle();
    expect(calls).toEqual([]);
    expect(orders?.stops.map(({ task }) => task)).toEqual(["j.0.0.0"]);
    send({ vmId: "x" });
    replica.settle();
    expect(vmIdsOf(calls)).toEqual(["x"]);
});

// Guards against calls of a superseded leader.
it("makes no further call once a later leader has used a higher term", () => {
    const { replica, calls } = startLeader();
    order(replica, ["x", "y"], 1);
    replica.advance(10);
    calls[0]?.respond(MaintenanceOutcome.Superseded);
    replica.advance(60_000);
    expect(calls).toHaveLength(1);
});

// Guards against lost work, and against more unavailable standing tasks than their step allows.
it("empties a VM first: no new work, checkpointed work is stopped, standing tasks move one at a time", () => {
    const { replica, calls } = startLeader();
    const sendHeartbeat = createHeartbeatSender(replica, "a");
    sendHeartbeat();
    replica.submit(jobOf("s", standingStepOf({ taskCount: 2, maxUnavailable: 1 })));
    replica.submit(jobOf("f", fillerStepOf()));
    const running = (sendHeartbeat()?.starts ?? []).map(({ task, run }) => ({
        task,
        run,
        checkpoint: "",
        progressPercent: 100,
        measurement: 10,
    }));
    expect(running).toHaveLength(3);
    sendHeartbeat({ running });
    order(replica, ["vm-a"], 1);
    replica.advance(10);
    const stops = sendHeartbeat({ running })?.stops.map(stop => stop.task).sort();
    expect(stops).toEqual(["f.0.0.0", "s.0.0.0"]);
    replica.submit(jobOf("late", standingStepOf()));
    expect(sendHeartbeat({ running })?.starts).toEqual([]);
    replica.advance(2_000);
    expect(calls).toEqual([]);
    sendHeartbeat({ running: [] });
    replica.advance(10);
    expect(vmIdsOf(calls)).toEqual(["vm-a"]);
});

// Guards against counting the maintenance for one order as the completion of another order.
it("maintains a VM once for each order that names it, one after the other", () => {
    const { replica, calls } = startLeader();
    order(replica, ["x"], 1);
    order(replica, ["x"], 1, 2);
    replica.advance(10);
    expect(calls.map(({ call }) => call.maintenanceId)).toEqual([1]);
    calls[0]?.respond(MaintenanceOutcome.Begun);
    replica.advance(DOWN_MS + 20);
    expect(stateOf(replica, 1)).toBe(MaintenanceState.Completed);
    expect(stateOf(replica, 2)).toBe(MaintenanceState.Running);
    expect(calls.map(({ call }) => call.maintenanceId)).toEqual([1, 2]);
});

// Guards against accepting a repeated order with other content after the acknowledgement was lost.
it("treats an order with a known id as a repetition", () => {
    const { replica, calls } = startLeader();
    order(replica, ["x"], 1);
    order(replica, ["y"], 1);
    replica.advance(10);
    expect(vmIdsOf(calls)).toEqual(["x"]);
});

// Guards against a VM that is taken down under its tasks, because another server with the same VM was taken for the one
// that runs there: a former one whose lease has not expired, or one that another program has reported.
it("empties all servers that are on a VM", () => {
    const { replica, calls } = startLeader();
    const sendOfOther = createHeartbeatSender(replica, "other");
    const send = createHeartbeatSender(replica, "s");
    sendOfOther({ vmId: "x", service: "another" });
    send({ vmId: "x" });
    replica.submit(jobOf("j", stepOf()));
    const [start] = send({ vmId: "x" })?.starts ?? [];
    const running = [{ task: start?.task ?? "", run: 1, checkpoint: "", progressPercent: 0, measurement: undefined }];
    order(replica, ["x"], 1);
    replica.advance(100);
    send({ vmId: "x", running });
    expect(calls).toHaveLength(0);
    replica.submit(jobOf("next", stepOf()));
    expect(send({ vmId: "x", running })?.starts).toEqual([]);
    send({ vmId: "x", ended: [{ sequence: 1, task: "j.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" }] });
    replica.advance(100);
    expect(vmIdsOf(calls)).toEqual(["x"]);
});
