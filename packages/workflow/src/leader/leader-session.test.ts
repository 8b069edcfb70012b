import { expect, it } from "vitest";
import { taskKeyOf } from "../model/specification.js";
import { EventKind } from "../state/events.js";
import { WorkflowState } from "../state/workflow-state.js";
import { configurationOf, fillerStepOf, jobOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS } from "../testing/single-replica.js";
import { LeaderSession } from "./leader-session.js";

const JOB_COUNT = 200;
const TASKS_PER_JOB = 50;
const SERVER_COUNT = 250;
/** Half of the time within which a new leader loses its followers unless it hands back the processor. */
const MAX_CPU_MS = 200;

/** Returns the state of a deployment in which all tasks of all jobs are assigned. */
const createLoadedState = (): WorkflowState => {
    const state = new WorkflowState();
    const configuration = configurationOf(1);
    const [queue] = configuration.queues;
    if (queue === undefined) {
        throw new Error("the configuration has no queue");
    }
    state.apply({ kind: EventKind.ConfigurationAccepted, configuration });
    for (let number = 0; number < JOB_COUNT; number += 1) {
        const job = jobOf(`job-${number}`, fillerStepOf({ taskCount: TASKS_PER_JOB }));
        state.apply({ kind: EventKind.JobAccepted, job, queue, acceptedAtMs: 0 });
        const runs = Array.from({ length: TASKS_PER_JOB }, (unused, index) => ({
            task: taskKeyOf({ jobId: job.id, occurrence: 0, step: 0, index }),
            run: 1,
            serverId: `server-${(number * TASKS_PER_JOB + index) % SERVER_COUNT}`,
            incarnation: 1,
        }));
        state.apply({ kind: EventKind.RunsAssigned, runs });
    }
    return state;
};

const startSession = (state: WorkflowState): LeaderSession =>
    new LeaderSession({
        state,
        term: 2,
        settings: LEADER_SETTINGS,
        propose: () => undefined,
        report: () => undefined,
        reportCrashingTask: () => undefined,
        queryEligibility: () => undefined,
        beginMaintenance: () => undefined,
    }, { nowMs: 0, timeOfDayMs: 0 });

// Load: 10,000 runs to take over. Guards against a new leader whose first work holds the event loop for so long that its
// followers elect another one, which then begins the same work.
it("takes over the runs of a large deployment well within an election timeout", () => {
    const state = createLoadedState();
    const startedAt = process.cpuUsage();
    const session = startSession(state);
    const { user, system } = process.cpuUsage(startedAt);
    expect(session.utilization().servers).toBe(SERVER_COUNT);
    expect((user + system) / 1_000).toBeLessThan(MAX_CPU_MS);
});
