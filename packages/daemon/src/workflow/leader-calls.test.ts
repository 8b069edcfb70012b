import { Refusal, refused, succeeded } from "@waxwingspread/workflow";
import type { HeartbeatReport } from "@waxwingspread/workflow";
import { heartbeatOf } from "@waxwingspread/workflow/testing";
import { expect, it } from "vitest";
import { LeaderCalls } from "./leader-calls.js";
import type { HeartbeatAnswer, HeartbeatResult } from "./operations.js";

const HOST = "10.0.0.1";
const OTHER_HOST = "10.0.0.2";
const THIRD_HOST = "10.0.0.3";
const START_MS = 1_000;
const REPORT: HeartbeatReport = heartbeatOf("server", 1);

/** A replica that leads once it is named as the leader, and the results of the heartbeats that it has answered. */
class StandInReplica {
    leaderHost: string | undefined;
    nowMs = START_MS;
    readonly results: HeartbeatResult[] = [];
    readonly waitsMs: number[] = [];
    /** Heartbeats that were passed on and wait for an answer, by the leader's host. */
    readonly forwarded: { leaderHost: string; answer: (result: HeartbeatResult) => void }[] = [];
    readonly calls = new LeaderCalls<HeartbeatReport, HeartbeatAnswer | undefined>({
        host: HOST,
        maxWaitMs: 800,
        readLeaderHost: () => this.leaderHost,
        readNowMs: () => this.nowMs,
        forward: (unusedReport, leaderHost) => new Promise(answer => this.forwarded.push({ leaderHost, answer })),
        execute: (unusedReport, maxWaitMs) => {
            this.waitsMs.push(maxWaitMs);
            return Promise.resolve(
                this.leaderHost === HOST ? succeeded(undefined) : refused(Refusal.NotLeader),
            );
        },
    });

    async heartbeat(): Promise<void> {
        void this.calls.handle(REPORT, START_MS).then(result => this.results.push(result));
        await settle();
    }

    async tick(sinceStartMs: number): Promise<void> {
        this.nowMs = START_MS + sinceStartMs;
        this.calls.tick(this.nowMs);
        await settle();
    }
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// Guards against a refusal of all heartbeats during an election. Backend servers wait longer after each refusal, so that
// the next leader hears of half of them only after more than a second.
it("answers a heartbeat that arrives during an election once the leader is known", async () => {
    const replica = new StandInReplica();
    await replica.heartbeat();
    await replica.tick(300);
    expect(replica.results).toEqual([]);
    replica.leaderHost = OTHER_HOST;
    await replica.tick(320);
    expect(replica.forwarded.map(({ leaderHost }) => leaderHost)).toEqual([OTHER_HOST]);
    replica.forwarded[0]?.answer(succeeded(undefined));
    await settle();
    expect(replica.results).toEqual([succeeded(undefined)]);
});

// Guards against heartbeats that are lost with the leader to which they were passed on: their servers would call others
// after a second, and their leases expire.
it("passes a heartbeat on to the next leader when the former one is replaced before it answers", async () => {
    const replica = new StandInReplica();
    replica.leaderHost = OTHER_HOST;
    await replica.heartbeat();
    replica.forwarded[0]?.answer(refused(Refusal.Uncertain));
    await replica.tick(300);
    expect(replica.results).toEqual([]);
    replica.leaderHost = THIRD_HOST;
    await replica.tick(500);
    expect(replica.forwarded.map(({ leaderHost }) => leaderHost)).toEqual([OTHER_HOST, THIRD_HOST]);
    replica.forwarded[1]?.answer(succeeded(undefined));
    await settle();
    expect(replica.results).toEqual([succeeded(undefined)]);
});

// Guards against a redirect of a heartbeat to the replica that has just answered it, and against an answer after the
// second for which backend servers wait.
it("passes the heartbeat on when the replica itself wins the election, for the time that is left", async () => {
    const replica = new StandInReplica();
    await replica.heartbeat();
    replica.leaderHost = HOST;
    await replica.tick(300);
    expect(replica.results).toEqual([succeeded(undefined)]);
    expect(replica.waitsMs).toEqual([800, 500]);
});

// Guards against heartbeats that wait without an answer while there is no quorum.
it("refuses a heartbeat if no leader is elected in time", async () => {
    const replica = new StandInReplica();
    await replica.heartbeat();
    await replica.tick(800);
    expect(replica.results).toEqual([refused(Refusal.NotLeader)]);
});

// Guards against servers that stay with a replica which the leader refuses to answer through.
it("refuses at once what the leader refuses", async () => {
    const replica = new StandInReplica();
    replica.leaderHost = OTHER_HOST;
    await replica.heartbeat();
    replica.forwarded[0]?.answer(refused(Refusal.NotLeader));
    await settle();
    expect(replica.results).toEqual([refused(Refusal.NotLeader)]);
});

// Guards against servers whose next heartbeat finds a stopping replica gone, and against heartbeats without an answer.
it("passes nothing on any more while the replica stops, and refuses at once when it is closed", async () => {
    const replica = new StandInReplica();
    replica.leaderHost = OTHER_HOST;
    replica.calls.stopForwarding();
    await replica.heartbeat();
    expect(replica.forwarded).toEqual([]);
    expect(replica.results).toHaveLength(1);
    replica.leaderHost = undefined;
    await replica.heartbeat();
    replica.calls.close();
    await settle();
    expect(replica.results).toHaveLength(2);
    await replica.heartbeat();
    expect(replica.results).toHaveLength(3);
    expect(replica.results.every(result => !result.ok && result.refusal === Refusal.NotLeader)).toBe(true);
});
