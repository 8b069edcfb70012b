import { describe, expect, it } from "vitest";
import { JobState, Refusal } from "../model/calls.js";
import { RunEnd } from "../model/heartbeat.js";
import { heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";

const { retentionMs } = LEADER_SETTINGS;
/** Time in which a leader certainly checks which jobs may be forgotten. */
const CHECK_MS = 5_000;

/** Creates a leader under which the job `j` has ended. */
const startedWithEndedJob = (): SingleReplica => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.submit(jobOf("j", stepOf()));
    replica.heartbeat(heartbeatOf("s", 2));
    const ended = [{ sequence: 1, task: "j.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" }];
    replica.heartbeat(heartbeatOf("s", 3, { ended }));
    return replica;
};

describe("a job that has ended", () => {
    // Guards against work that runs twice: the leader's clock is ahead, the job is forgotten too early, and a late repeat of
    // its submission is new work.
    it.each([
        ["jumps ahead", () => undefined],
        ["of the next leader is ahead", (replica: SingleReplica) => replica.failOver()],
    ])("is known for the whole retention, and doesn't run again, if the clock %s", (unusedName, disrupt) => {
        const replica = startedWithEndedJob();
        replica.timeOfDayOffsetMs = 10 * retentionMs;
        disrupt(replica);
        replica.advance(retentionMs / 2);
        expect(replica.stateOf("j")).toBe(JobState.Completed);
        expect(replica.submit(jobOf("j", stepOf())).ok).toBe(true);
        expect(replica.heartbeat(heartbeatOf("s", 4))?.starts).toEqual([]);
    });

    // Guards against jobs that are kept for good after the clock was ahead when they ended.
    it("is forgotten after the retention although the clock was set back", () => {
        const replica = startedWithEndedJob();
        replica.timeOfDayOffsetMs = -10 * retentionMs;
        replica.advance(CHECK_MS);
        replica.advance(retentionMs);
        expect(replica.stateOf("j")).toBe(Refusal.UnknownJob);
    });
});
