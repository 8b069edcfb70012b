import { describe, expect, it } from "vitest";
import { JobState } from "../model/calls.js";
import { RunEnd } from "../model/heartbeat.js";
import { configurationOf, heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";

const DAY_MS = 24 * 60 * 60 * 1_000;
/** Incarnation that begins in a year that the leader's clock won't show. */
const DISTANT_INCARNATION = 8 * 10 ** 15;

/** Returns a replica with one running task of the server "s", incarnation 1. */
const withRunningTask = (): SingleReplica => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.submit(jobOf("j", stepOf()));
    expect(replica.heartbeat(heartbeatOf("s", 2))?.starts).toHaveLength(1);
    return replica;
};

const RUNNING = [{ task: "j.0.0.0", run: 1, checkpoint: "", progressPercent: 10, measurement: undefined }];
const ENDED = [{ sequence: 1, task: "j.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" }];

// Guards against an entry of another program, under the id of a real server, that silences the server: its tasks would
// be given up while they run, and its ends would never be recorded.
describe("one odd heartbeat under the id of a real server", () => {
    it.each([
        ["an incarnation in the distant future", { incarnation: DISTANT_INCARNATION, sequence: 1 }],
        ["a sequence number that no server reaches", { sequence: Number.MAX_SAFE_INTEGER }],
        ["both", { incarnation: DISTANT_INCARNATION, sequence: Number.MAX_SAFE_INTEGER }],
    ])("with %s doesn't keep the server from going on", (unusedName, changes) => {
        const replica = withRunningTask();
        replica.heartbeat(heartbeatOf("s", 3, changes));
        expect(replica.heartbeat(heartbeatOf("s", 4, { running: RUNNING }))).toMatchObject({
            leaseMs: 3_000,
            stops: [],
        });
        expect(replica.heartbeat(heartbeatOf("s", 5, { ended: ENDED }))?.acknowledgedEnd).toBe(1);
        expect(replica.stateOf("j")).toBe(JobState.Completed);
    });

    // Guards against a second run beside the first (review/11): the heartbeat looked like that of the server's next life.
    it("of a service that no configuration names is given no lease and doesn't end the server's life", () => {
        const replica = withRunningTask();
        replica.heartbeat(heartbeatOf("s", 3, { running: RUNNING }));
        replica.heartbeat(heartbeatOf("other", 1));
        const incarnation = replica.times.timeOfDayMs;
        expect(replica.heartbeat(heartbeatOf("s", 1, { incarnation, service: "foreign" }))).toBeUndefined();
        expect(replica.heartbeat(heartbeatOf("other", 2))?.starts).toEqual([]);
        expect(replica.heartbeat(heartbeatOf("s", 4, { running: RUNNING }))).toMatchObject({
            leaseMs: 3_000,
            stops: [],
        });
    });

    it("with the number of an end that no server reaches doesn't hide the ends that follow", () => {
        const replica = withRunningTask();
        replica.submit(jobOf("other", stepOf()));
        replica.heartbeat(heartbeatOf("s", 3, { ended: ENDED }));
        const odd = { sequence: 1_000_000_000, task: "x.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" };
        replica.heartbeat(heartbeatOf("s", 4, { ended: [odd] }));
        const end = { sequence: 2, task: "other.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" };
        expect(replica.heartbeat(heartbeatOf("s", 5, { ended: [end] }))?.acknowledgedEnd).toBe(2);
        expect(replica.stateOf("other")).toBe(JobState.Completed);
    });

    it("with an incarnation in the distant future is forgotten once the server itself is heard", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1, { incarnation: DISTANT_INCARNATION }));
        expect(replica.heartbeat(heartbeatOf("s", 1))).toMatchObject({ leaseMs: 3_000 });
    });

    it("with a sequence number that no server reaches is forgotten after a lease", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", Number.MAX_SAFE_INTEGER));
        expect(replica.heartbeat(heartbeatOf("s", 1))).toBeUndefined();
        replica.advance(LEADER_SETTINGS.leaseMs / 0.98 + 100);
        expect(replica.heartbeat(heartbeatOf("s", 2))).toMatchObject({ leaseMs: 3_000 });
    });

    it("doesn't keep the next leader from taking over the tasks of the real server", () => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1, { incarnation: DISTANT_INCARNATION }));
        replica.submit(jobOf("odd", stepOf()));
        expect(replica.heartbeat(heartbeatOf("s", 2, { incarnation: DISTANT_INCARNATION }))?.starts).toHaveLength(1);
        replica.heartbeat(heartbeatOf("s", 1));
        replica.submit(jobOf("j", stepOf()));
        replica.heartbeat(heartbeatOf("s", 2));
        replica.failOver();
        expect(replica.heartbeat(heartbeatOf("s", 3, { running: RUNNING }))?.stops).toEqual([]);
    });
});

// Guards against a leader with a wrong clock that rejects every server.
it("a leader whose clock is years behind uses its servers and follows their restarts", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1, { incarnation: 10 * DAY_MS }));
    replica.submit(jobOf("j", stepOf()));
    expect(replica.heartbeat(heartbeatOf("s", 2, { incarnation: 10 * DAY_MS }))?.starts).toHaveLength(1);
    const restarted = replica.heartbeat(heartbeatOf("s", 1, { incarnation: 11 * DAY_MS }));
    expect(restarted).toMatchObject({ leaseMs: 3_000 });
    expect(replica.heartbeat(heartbeatOf("s", 3, { incarnation: 10 * DAY_MS }))).toBeUndefined();
});

// Guards against tasks that wait for a lease on a server that has crashed: a heartbeat that was delayed on its way may arrive
// seconds after its sender is gone, and look like that of a new, idle server.
describe("the first heartbeat of an unknown server", () => {
    it("draws no tasks before a second one has followed", () => {
        const replica = SingleReplica.started();
        replica.advance(2_000);
        replica.heartbeat(heartbeatOf("late", 7));
        replica.submit(jobOf("j", stepOf()));
        expect(replica.heartbeat(heartbeatOf("known", 1))?.starts).toEqual([]);
        expect(replica.heartbeat(heartbeatOf("known", 2))?.starts).toHaveLength(1);
    });

    it("draws tasks at once as long as the leader is new, as all servers are unknown to it", () => {
        const replica = SingleReplica.started();
        replica.submit(jobOf("j", stepOf()));
        expect(replica.heartbeat(heartbeatOf("s", 7))?.starts).toHaveLength(1);
    });
});

// Guards against tasks that lose their leases, and jobs without servers, when a service is taken out of the configuration.
it("servers of a service that was taken out of the configuration keep working for the jobs that were sent there", () => {
    const replica = withRunningTask();
    const configuration = configurationOf(9, { queues: [], services: [] });
    replica.node.configure(configuration, () => undefined, replica.times);
    replica.settle();
    expect(replica.heartbeat(heartbeatOf("s", 3, { running: RUNNING }))).toMatchObject({ leaseMs: 3_000, stops: [] });
    expect(replica.heartbeat(heartbeatOf("new", 1))).toMatchObject({ leaseMs: 3_000 });
    replica.heartbeat(heartbeatOf("s", 4, { ended: ENDED }));
    replica.advance(1_000);
    expect(replica.heartbeat(heartbeatOf("late", 1))).toBeUndefined();
});
