import { Refusal, refused, succeeded } from "@waxwingspread/workflow";
import type { CallResult, HeartbeatOrders, HeartbeatReport } from "@waxwingspread/workflow";
import { heartbeatOf } from "@waxwingspread/workflow/testing";
import { expect, it } from "vitest";
import { HeartbeatCalls } from "./heartbeat-calls.js";

const HOST = "10.0.0.1";
const OTHER_HOST = "10.0.0.2";
const START_MS = 1_000;
const REPORT: HeartbeatReport = heartbeatOf("server", 1);

type Result = CallResult<HeartbeatOrders | undefined>;

/** A replica that leads once it is named as the leader, and the results of the heartbeats that it has answered. */
class StandInReplica {
    leaderHost: string | undefined;
    readonly results: Result[] = [];
    readonly waitsMs: number[] = [];
    readonly calls = new HeartbeatCalls({
        host: HOST,
        readLeaderHost: () => this.leaderHost,
        call: (unusedReport, maxWaitMs) => {
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
        this.calls.tick(START_MS + sinceStartMs);
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
    expect(replica.results).toEqual([refused(Refusal.NotLeader)]);
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

// Guards against a delay of redirects while a leader is known.
it("refuses at once if another replica leads, and when the replica stops", async () => {
    const replica = new StandInReplica();
    replica.leaderHost = OTHER_HOST;
    await replica.heartbeat();
    expect(replica.results).toHaveLength(1);
    replica.leaderHost = undefined;
    await replica.heartbeat();
    replica.calls.close();
    await settle();
    expect(replica.results).toHaveLength(2);
    await replica.heartbeat();
    expect(replica.results).toHaveLength(3);
});
