import { beforeEach, describe, expect, it } from "vitest";
import { RunEnd } from "../model/heartbeat.js";
import { heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";
import { ServerFailures } from "./server-failures.js";
import { ServerView } from "./server-view.js";

const NOW_MS = 50_000;

let failures: ServerFailures;
let succeededSteps: Set<number>;

const failedTask = (job: string, index = 0) => ({ task: `${job}.0.0.${index}`, end: RunEnd.Failed });

beforeEach(() => {
    succeededSteps = new Set();
    failures = new ServerFailures(({ step }) => succeededSteps.has(step));
});

describe("a server on which runs fail", () => {
    it("is avoided after two failures, whether of one job or of two", () => {
        const servers = ["a", "b"].map(id => new ServerView(id, 1, NOW_MS, NOW_MS));
        servers.forEach(server => failures.recordEnds(server, [failedTask(`first-${server.id}`)], NOW_MS));
        failures.recordEnds(servers[0] as ServerView, [failedTask("first-a")], NOW_MS);
        failures.recordEnds(servers[1] as ServerView, [failedTask("second-b")], NOW_MS);
        expect(servers.map(server => server.avoidUntilMs > NOW_MS)).toEqual([true, true]);
    });

    // Guards against servers without work, because a job that fails wherever it runs made all of them look broken.
    it("is not avoided for the failures of a step that fails on other servers as well", () => {
        const servers = ["a", "b", "c", "d"].map(id => new ServerView(id, 1, NOW_MS, NOW_MS));
        for (let attempt = 0; attempt < 3; attempt += 1) {
            servers.forEach((server, index) => failures.recordEnds(server, [failedTask("j", index)], NOW_MS));
        }
        expect(servers.filter(server => server.avoidUntilMs > NOW_MS)).toEqual([]);
    });

    // Guards against ever longer avoidances of the few servers that may run some hopeless jobs.
    it("is avoided for no longer after a second step that turns out to fail everywhere", () => {
        const [first, second] = ["a", "b"].map(id => new ServerView(id, 1, NOW_MS, NOW_MS)) as [ServerView, ServerView];
        for (const job of ["j", "k"]) {
            failures.recordEnds(first, [failedTask(job), failedTask(job)], NOW_MS);
            failures.recordEnds(second, [failedTask(job)], NOW_MS);
        }
        expect([first.avoidUntilMs, second.avoidUntilMs]).toEqual([NOW_MS + 1_000, -Infinity]);
    });

    // Guards against a broken rack that gets work again and again, because its servers fail the same jobs.
    it("is avoided although the step fails on another server as well if the step succeeds elsewhere", () => {
        succeededSteps.add(0);
        const servers = ["a", "b"].map(id => new ServerView(id, 1, NOW_MS, NOW_MS));
        for (let attempt = 0; attempt < 2; attempt += 1) {
            servers.forEach((server, index) => failures.recordEnds(server, [failedTask("j", index)], NOW_MS));
        }
        expect(servers.every(server => server.avoidUntilMs > NOW_MS)).toBe(true);
    });

    // Guards against an early return to a server that is avoided for longer since its tasks make no progress.
    it("stays avoided for as long as it already was", () => {
        const server = new ServerView("a", 1, NOW_MS, NOW_MS);
        server.avoidUntilMs = NOW_MS + 5_000;
        failures.recordEnds(server, [failedTask("j"), failedTask("j")], NOW_MS);
        expect(server.avoidUntilMs).toBe(NOW_MS + 5_000);
    });
});

// Guards against a server that is avoided at the first failure of its new incarnation, for longer and longer.
it("forgets the failures of a server's former incarnation", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    for (const incarnation of [1, 2]) {
        replica.heartbeat(heartbeatOf("s", 2, { incarnation }));
        const job = `j${incarnation}`;
        replica.submit(jobOf(job, stepOf()));
        expect(replica.heartbeat(heartbeatOf("s", 3, { incarnation }))?.starts).toHaveLength(1);
        const ended = [{ sequence: 1, task: `${job}.0.0.0`, run: 1, end: RunEnd.Failed, checkpoint: "" }];
        replica.heartbeat(heartbeatOf("s", 4, { incarnation, ended }));
        replica.node.cancel(job, () => undefined, replica.times);
        replica.settle();
    }
    replica.submit(jobOf("j3", stepOf()));
    expect(replica.heartbeat(heartbeatOf("s", 5, { incarnation: 2 }))?.starts).toHaveLength(1);
});

// Guards against sound jobs that wait for seconds on an idle fleet after one job has failed on each server.
it("starts other jobs at once after a job that fails everywhere", () => {
    const replica = SingleReplica.started();
    const serverIds = ["a", "b", "c"];
    serverIds.forEach(id => replica.heartbeat(heartbeatOf(id, 1)));
    replica.submit(jobOf("hopeless", stepOf({ taskCount: 6, maxTasksPerServer: 2 })));
    for (const id of serverIds) {
        const starts = replica.heartbeat(heartbeatOf(id, 2))?.starts ?? [];
        const ended = starts.map(({ task, run }, index) => ({
            sequence: index + 1,
            task,
            run,
            end: RunEnd.Failed,
            checkpoint: "",
        }));
        replica.heartbeat(heartbeatOf(id, 3, { ended }));
    }
    replica.node.cancel("hopeless", () => undefined, replica.times);
    replica.settle();
    replica.submit(jobOf("sound", stepOf({ taskCount: 3, maxTasksPerServer: 1 })));
    replica.advance(100);
    const started = serverIds.flatMap(id => replica.heartbeat(heartbeatOf(id, 4))?.starts ?? []);
    expect(started.length).toBeGreaterThanOrEqual(2);
});

describe("a server whose start orders have no effect", () => {
    const serversOf = (count: number): ServerView[] =>
        Array.from({ length: count }, (unused, index) => new ServerView(`s${index}`, 1, NOW_MS, NOW_MS));

    it("is excluded, for longer each time", () => {
        const [late, sound] = serversOf(2) as [ServerView, ServerView];
        for (const [atMs, untilMs] of [[0, 500], [2_000, 3_000], [4_000, 6_000]] as const) {
            failures.recordStart(sound, NOW_MS + atMs);
            failures.recordUnexecutedOrders(late, 100, NOW_MS + atMs);
            expect(late.excludedUntilMs).toBe(NOW_MS + untilMs);
        }
    });

    // Load: after a change of the leader the answers to half of a fleet are late for a while. Guards against a fleet whose
    // capacity is excluded, and against runs that are given up on one late server after the other.
    it("is neither excluded nor avoided if the same is true of many", () => {
        const servers = serversOf(50);
        const faulty = servers.filter(server => failures.recordUnexecutedOrders(server, 100, NOW_MS));
        expect(faulty).toHaveLength(5);
        expect(servers.filter(server => server.excludedUntilMs > NOW_MS)).toEqual(faulty);
        expect(servers.every(server => server.avoidUntilMs <= NOW_MS)).toBe(true);
    });
});
