import { expect, it } from "vitest";
import { heartbeatOf, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

/** Time after which a server drops an answer and sends its next heartbeat to another replica. */
const ANSWER_TIMEOUT_MS = 1_000;
const HEARTBEATS = 6;

const ordersAtInterval = (intervalMs: number): [task: string, run: number][] => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1, { clockMs: 0 }));
    replica.submit(jobOf("job", standingStepOf()));
    const orders: [task: string, run: number][] = [];
    for (let index = 1; index <= HEARTBEATS; index += 1) {
        replica.advance(intervalMs);
        const answer = replica.heartbeat(heartbeatOf("s", index + 1, { clockMs: index * intervalMs }));
        answer?.starts.forEach(({ task, run }) => orders.push([task, run]));
    }
    return orders;
};

// Guards against runs that are given up and assigned to other servers because the answers with their start orders were
// lost or late: the server has never received an order.
it("repeats the start order of a run as long as the server receives no answer", () => {
    const orders = ordersAtInterval(ANSWER_TIMEOUT_MS);
    expect(orders).toHaveLength(HEARTBEATS);
    expect(new Set(orders.map(([, run]) => run))).toEqual(new Set([1]));
});

// Guards against tasks that wait on a server that receives its orders and doesn't execute them.
it("gives up a run whose start orders the server has received without effect", () => {
    const replica = SingleReplica.started();
    ["faulty", "sound"].forEach(id => replica.heartbeat(heartbeatOf(id, 1, { clockMs: 0 })));
    replica.submit(jobOf("job", stepOf()));
    const started = new Set<string>();
    for (let sequence = 2; sequence < 14; sequence += 1) {
        replica.advance(400);
        for (const id of ["faulty", "sound"]) {
            const answer = replica.heartbeat(heartbeatOf(id, sequence, { clockMs: 400 * sequence }));
            answer?.starts.forEach(({ run }) => started.add(`${id} ${run}`));
        }
    }
    expect(started.size).toBeGreaterThan(1);
});
