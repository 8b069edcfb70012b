import { pino } from "pino";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import type { JsonCall } from "./json-call.js";
import { LeaderFinder } from "./leader-finder.js";
import type { ClusterDescription } from "./operations.js";

const HOSTS = ["a", "b", "c"];

let leaderHost: string | undefined;
let silentHosts: string[];
let probes: string[];
let finder: LeaderFinder;

const describeCluster = (host: string): ClusterDescription => ({
    leaderHost,
    memberHosts: HOSTS,
    isServing: host === leaderHost,
    ...host === leaderHost ? { heartbeatHosts: ["c"] } : {},
});

const caller = {
    call: <Response>(call: JsonCall): Promise<Response> => {
        probes.push(call.host);
        return silentHosts.includes(call.host)
            ? new Promise((unusedResolve, reject) => setTimeout(() => reject(new Error("timeout")), call.timeoutMs))
            : Promise.resolve(describeCluster(call.host) as Response);
    },
};

const countProbes = (): number[] => HOSTS.map(host => probes.filter(probed => probed === host).length);

beforeEach(() => {
    vi.useFakeTimers({ now: 0, toFake: ["setTimeout", "setInterval", "clearInterval", "Date"] });
    leaderHost = undefined;
    silentHosts = [];
    probes = [];
    finder = new LeaderFinder({
        caller,
        seedHosts: HOSTS,
        port: 1,
        readNowMs: () => Date.now(),
        firstPosition: 0,
        logger: pino({ enabled: false }),
    });
    finder.start();
});

afterEach(() => {
    finder.stop();
    vi.useRealTimers();
});

// Guards against calls that wait for most of a second after an election, because replicas are rarely asked who leads.
it("finds a leader within 100 ms of its election", async () => {
    await vi.advanceTimersByTimeAsync(1_000);
    expect(finder.leaderHost).toBeUndefined();
    leaderHost = "b";
    await vi.advanceTimersByTimeAsync(100);
    expect(finder.leaderHost).toBe("b");
});

// Guards against probes that replicas are busy with: the known leader is probed rarely, the others not at all.
it("probes only the leader, once a second, once it is known", async () => {
    leaderHost = "b";
    await vi.advanceTimersByTimeAsync(100);
    probes = [];
    await vi.advanceTimersByTimeAsync(2_000);
    expect(countProbes()).toEqual([0, 2, 0]);
});

// Guards against probes of a leader that has just answered a call.
it("doesn't probe a leader that answers calls", async () => {
    leaderHost = "b";
    await vi.advanceTimersByTimeAsync(100);
    probes = [];
    for (let call = 0; call < 4; call += 1) {
        await vi.advanceTimersByTimeAsync(500);
        finder.recordLeader("b");
    }
    expect(probes).toEqual([]);
});

// Load: the entries of a large deployment search for the next leader at the same time, at 10 probes a second each. Guards
// against replicas that are busy with probes while they elect a leader.
it("probes one host at a time, each in turn, while no leader is known", async () => {
    await vi.advanceTimersByTimeAsync(2_900);
    expect(countProbes()).toEqual([10, 10, 10]);
});

// Guards against a search that waits for its turn at the leader although a follower has named it.
it("probes the leader that a follower names without delay", async () => {
    await vi.advanceTimersByTimeAsync(250);
    probes = [];
    leaderHost = "a";
    await vi.advanceTimersByTimeAsync(50);
    expect(probes).toHaveLength(2);
    expect(probes[1]).toBe("a");
    expect(finder.leaderHost).toBe("a");
});

// Guards against probes that pile up at a host without an answer.
it("has one probe in progress at a host that doesn't answer", async () => {
    silentHosts = ["c"];
    await vi.advanceTimersByTimeAsync(2_000);
    const [first = 0, second = 0, silent = 0] = countProbes();
    expect(silent).toBeLessThanOrEqual(5);
    expect(first + second + silent).toBe(21);
});

// Guards against heartbeats that relays send to the followers of a former leader, one of which may lead by now.
it("knows the hosts that take heartbeats while it knows the leader that has named them", async () => {
    leaderHost = "b";
    await vi.advanceTimersByTimeAsync(200);
    expect(finder.heartbeatHosts).toEqual(["c"]);
    finder.clearLeader("b", "cleared in a test");
    expect(finder.heartbeatHosts).toEqual([]);
});
