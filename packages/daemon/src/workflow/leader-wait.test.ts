import { expect, it } from "vitest";
import { LeaderWait } from "./leader-wait.js";

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// Guards against calls that wait beyond their deadline, or on after the leader is known.
it("resumes a call at its deadline, and all calls when a leader is known", async () => {
    const leader: { host?: string } = {};
    const wait = new LeaderWait(() => leader.host);
    const resumed: string[] = [];
    void wait.untilKnown(100, 0).then(nowMs => resumed.push(`short ${nowMs}`));
    void wait.untilKnown(900, 0).then(nowMs => resumed.push(`long ${nowMs}`));
    wait.tick(99);
    await settle();
    expect(resumed).toEqual([]);
    wait.tick(110);
    await settle();
    expect(resumed).toEqual(["short 110"]);
    leader.host = "10.0.0.1";
    wait.tick(130);
    await settle();
    expect(resumed).toEqual(["short 110", "long 130"]);
});

// Guards against a stopping process that waits for an election, and against a delay while a leader is known.
it("doesn't wait while a leader is known or after it was closed", async () => {
    let leaderHost: string | undefined = "10.0.0.1";
    const wait = new LeaderWait(() => leaderHost);
    expect(await wait.untilKnown(900, 5)).toBe(5);
    leaderHost = undefined;
    const waiting = wait.untilKnown(900, 10);
    wait.close();
    expect(await waiting).toBe(900);
    expect(await wait.untilKnown(900, 20)).toBe(20);
});
