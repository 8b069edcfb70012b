import { expect, it } from "vitest";
import { TaskKind, taskKindOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { JobRecord } from "../state/job-record.js";
import { configurationOf, fillerStepOf, heartbeatOf, jobOf, standingStepOf } from "../testing/fixtures.js";
import { chooseServer } from "./placement.js";
import { PressureModel } from "./pressure-model.js";
import { newRunView, ServerView } from "./server-view.js";
import type { WaitingStep } from "./work-queue.js";

const CONSTRAINTS = {
    service: "pool",
    zonesOutOfService: new Set<string>(),
    rackOfStep: "",
    eligibilityExclusionOf: undefined,
    isIsolated: false,
    scarceTaskMillicores: 0,
    crashes: [],
};

const standingOf = (cpuMillicores: number): StepSpecification =>
    standingStepOf({ amounts: { cpuMillicores, memoryMebibytes: 100, accelerators: 0 } });

const waitingOf = (step: StepSpecification): WaitingStep => {
    const [queue] = configurationOf(1).queues;
    if (queue === undefined) {
        throw new Error("the configuration has no queue");
    }
    const job = JobRecord.accepted(jobOf("waiting", step), queue, 0);
    const record = job.stepsOf(0)?.[0] ?? { tasks: [], doneCount: 0, failedGangRun: 0 };
    return {
        job,
        occurrence: 0,
        stepIndex: 0,
        step,
        kind: TaskKind.Standing,
        record,
        waitingSinceMs: 0,
        expectedEndMs: 0,
        usefulUntilMs: 0,
        remainingCriticalPathMs: 0,
        idleSinceMs: 0,
    };
};

const serverWithStanding = (cpuMillicores: number): ServerView => {
    const server = new ServerView("s", 1, 0, 0);
    server.updateFrom(heartbeatOf("s", 1), 0);
    server.isConfirmed = true;
    const step = standingOf(cpuMillicores);
    const position = { jobId: "holding", occurrence: 0, step: 0, index: 0 };
    server.addRun(newRunView({ task: "holding", run: 1, position, step, kind: taskKindOf(step), checkpoint: "" }, 0));
    return server;
};

const choose = (needMillicores: number, server: ServerView): ServerView | undefined =>
    chooseServer(waitingOf(standingOf(needMillicores)), [server], CONSTRAINTS, new PressureModel({}), 0);

// Guards against a standing task that waits although a server has capacity for it.
it("places a standing task on any server with enough unreserved capacity", () => {
    expect(choose(800, serverWithStanding(3_000))).toBeDefined();
    expect(choose(1_100, serverWithStanding(3_000))).toBeUndefined();
});

// Guards against fillers that wait although servers have idle processors, because the fillers there use less than they
// declare and so look as if they were held up.
it("places a filler beside fillers that use less than they declare, but not beside fillers that are held up", () => {
    const chooseBeside = (usedMillicores: number): ServerView | undefined => {
        const server = serverWithStanding(100);
        const step = fillerStepOf();
        const position = { jobId: "running", occurrence: 0, step: 0, index: 0 };
        const run = newRunView({ task: "running", run: 1, position, step, kind: TaskKind.Filler, checkpoint: "" }, 0);
        run.measurement = usedMillicores;
        server.addRun(run);
        const waiting = { ...waitingOf(step), kind: TaskKind.Filler };
        return chooseServer(waiting, [server], CONSTRAINTS, new PressureModel({}), 0);
    };
    expect(chooseBeside(600)).toBeDefined();
    expect(chooseBeside(400)).toBeUndefined();
});

// Guards against a standing task that waits although an avoided server has capacity for it.
it("places a standing task on an avoided server when no other has capacity", () => {
    const avoided = serverWithStanding(1_000);
    avoided.avoidUntilMs = 1_000;
    expect(choose(800, avoided)).toBe(avoided);
});

// Load: finite tasks of 1.5 cores lack room beside standing ones. Guards against standing tasks that leave remainders on each
// server that are too small for any finite task.
it("places a standing task where it leaves the most places for finite tasks, while these are scarce", () => {
    const servers = [serverWithStanding(1_000), serverWithStanding(200)];
    const chooseWith = (scarceTaskMillicores: number): ServerView | undefined => {
        const constraints = { ...CONSTRAINTS, scarceTaskMillicores };
        return chooseServer(waitingOf(standingOf(800)), servers, constraints, new PressureModel({}), 0);
    };
    // 3 cores have two places and 2.2 have one; 3.8 cores have two and 3 as well.
    expect(chooseWith(1_500)).toBe(servers[1]);
    expect(chooseWith(0)).toBe(servers[0]);
});
