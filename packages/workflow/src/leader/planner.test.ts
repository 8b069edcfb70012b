import { afterEach, expect, it, vi } from "vitest";
import type { QueueContract } from "../model/configuration.js";
import { RunEnd } from "../model/heartbeat.js";
import type { HeartbeatOrders, HeartbeatReport, ReportedEnd } from "../model/heartbeat.js";
import { TaskKind } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { OrganisationLimits } from "../organisations/organisation-limits.js";
import { EventKind } from "../state/events.js";
import { WorkflowState } from "../state/workflow-state.js";
import { configurationOf, fillerStepOf, heartbeatOf, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS, SingleReplica } from "../testing/single-replica.js";
import { Eligibility } from "./eligibility.js";
import { Planner } from "./planner.js";
import { PressureModel } from "./pressure-model.js";
import { ServerDirectory } from "./server-directory.js";
import { newRunView, ServerView } from "./server-view.js";
import { WorkQueue } from "./work-queue.js";

const SERVERS = 245;
const WAITING_JOBS = 300;
const IMAGES = 18;
/** Upper bound on the servers examined in one call of the planner, plus one search through all servers. */
const MAX_EXAMINED_PER_CALL = 10_000 + SERVERS;
/** Upper bound on the searches that failed and are repeated for one changed server: a few amounts of each image. */
const MAX_EXAMINED_PER_HEARTBEAT = IMAGES * 12;

afterEach(() => vi.restoreAllMocks());

const heartbeatOfServer = (index: number, sequence: number, memoryMebibytes: number): HeartbeatReport =>
    heartbeatOf(`server-${index}`, sequence, {
        capacity: { cpuMillicores: 16_000, memoryMebibytes, accelerators: 0 },
    });

/** Returns a step of fillers whose image and amounts differ from job to job. */
const fillerOf = (job: number): StepSpecification =>
    fillerStepOf({
        taskCount: 20,
        image: `image-${job % IMAGES}`,
        amounts: {
            cpuMillicores: 900 + ((job * 7_919) % 1_800),
            memoryMebibytes: 1_600 + ((job * 104_729) % 3_200),
            accelerators: 0,
        },
    });

const startReplica = (memoryMebibytes: number): SingleReplica => {
    const replica = SingleReplica.started();
    for (let index = 0; index < SERVERS; index += 1) {
        replica.node.heartbeat(heartbeatOfServer(index, 1, memoryMebibytes), () => undefined, replica.times);
    }
    replica.settle();
    return replica;
};

const submitFillers = (replica: SingleReplica): void => {
    for (let job = 0; job < WAITING_JOBS; job += 1) {
        const address = { host: "jobs.example", path: `/batch/job-${job}` };
        replica.node.submit(address, jobOf(`job-${job}`, fillerOf(job)), () => undefined, replica.times);
    }
};

/** Counts the servers that the planner examines in each call of `act`. */
const countExamined = (act: () => void): number => {
    const isUsable = vi.spyOn(ServerView.prototype, "isUsable", "get");
    act();
    const { length } = isUsable.mock.calls;
    isUsable.mockRestore();
    return length;
};

// Load: 6,000 batch tasks wait and no server has capacity. Guards against a leader that searches all servers for all
// waiting tasks on every heartbeat and so falls behind the heartbeats, which no longer renew the leases in time.
it("examines only the server that has changed for a long queue that does not fit", () => {
    const replica = startReplica(1_000);
    submitFillers(replica);
    replica.settle();
    const examined = countExamined(() => replica.heartbeat(heartbeatOfServer(0, 2, 1_000)));
    expect(examined).toBeLessThanOrEqual(MAX_EXAMINED_PER_HEARTBEAT);
});

// Load: as above on a fleet whose processors fillers use already. Guards against a search for each waiting size on each
// heartbeat of a server that takes no filler at all.
it("doesn't search a server without idle processors for waiting fillers", () => {
    const replica = startReplica(64_000);
    submitFillers(replica);
    for (let call = 0; call < 100; call += 1) {
        replica.settle();
    }
    const waiting = replica.node.session?.utilization().waitingTasks[TaskKind.Filler] ?? 0;
    expect(waiting).toBeGreaterThan(1_000);
    const chosen = vi.spyOn(ServerView.prototype, "fits");
    replica.heartbeat(heartbeatOfServer(0, 2, 64_000));
    expect(chosen.mock.calls.length).toBeLessThanOrEqual(IMAGES);
});

// Load: 6,000 tasks arrive at once. Guards against one planning call that holds the event loop for longer than an
// election timeout.
it("bounds the servers examined in one call and assigns the rest in the next calls", () => {
    const replica = startReplica(64_000);
    submitFillers(replica);
    const examinedPerCall: number[] = [];
    for (let call = 0; call < 200; call += 1) {
        examinedPerCall.push(countExamined(() => replica.node.run(replica.times)));
        replica.commit();
    }
    expect(Math.max(...examinedPerCall)).toBeLessThanOrEqual(MAX_EXAMINED_PER_CALL);
    const isAssigned = [...replica.node.state.jobs.values()].filter(job => [...job.assignedTasks()].length > 0);
    expect(isAssigned.length).toBeGreaterThan(WAITING_JOBS / 4);
    expect(examinedPerCall.at(-1)).toBe(0);
});

// Load: a round of planning that takes several calls. Guards against an overdue standing task that starves, because the
// capacity that becomes free during a round goes to the steps whose turn comes later in that round.
it("gives capacity that becomes free during a round to an overdue standing task first", () => {
    const replica = startReplica(100);
    const amounts = { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0 };
    const submit = (id: string, step: StepSpecification): void => {
        replica.node.submit({ host: "jobs.example", path: `/batch/${id}` }, jobOf(id, step), () => undefined, {
            ...replica.times,
            timeOfDayMs: replica.times.timeOfDayMs - (id === "standing" ? 2_000 : 0),
        });
    };
    submit("standing", standingStepOf({ amounts }));
    for (let job = 0; job < WAITING_JOBS; job += 1) {
        submit(`large-${job}`, stepOf({ amounts: { ...amounts, memoryMebibytes: 9_000 }, maxTasksPerServer: 1 }));
    }
    submit("last", stepOf({ amounts, estimatedRunTimeMs: 9_000 }));
    replica.node.run(replica.times);
    replica.commit();
    replica.node.run(replica.times);
    replica.commit();
    replica.node.heartbeat(heartbeatOfServer(0, 2, 1_000), () => undefined, replica.times);
    replica.settle();
    replica.settle();
    const runOf = (id: string): number | undefined => replica.node.state.job(id)?.stepsOf(0)?.[0]?.tasks[0]?.run;
    expect([runOf("standing"), runOf("last")]).toEqual([1, 0]);
});

// Guards against capacity that stays unused because a search for it failed earlier.
it("assigns a task that found no server as soon as a server has capacity again", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.heartbeat(heartbeatOf("t", 1));
    replica.submit(jobOf("large", stepOf({ amounts: { cpuMillicores: 8_000, memoryMebibytes: 1, accelerators: 0 } })));
    const capacity = { cpuMillicores: 16_000, memoryMebibytes: 16_000, accelerators: 0 };
    expect(replica.heartbeat(heartbeatOf("s", 2))?.starts).toEqual([]);
    expect(replica.heartbeat(heartbeatOf("t", 2, { capacity }))?.starts).toHaveLength(1);
});

// Guards against tasks that wait because a gang before them in the queue, which doesn't fit as a whole, made its own
// last member's search fail while the others held capacity.
it("assigns tasks with the same constraints behind a gang that does not fit", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.submit(jobOf("gang", stepOf({ taskCount: 5, isGang: true })));
    replica.submit(jobOf("single", stepOf({ taskCount: 4 })));
    const starts = replica.heartbeat(heartbeatOf("s", 2))?.starts ?? [];
    expect(starts.map(start => start.task)).toEqual(["single.0.0.0", "single.0.0.1", "single.0.0.2", "single.0.0.3"]);
});

const endsOf = (orders: HeartbeatOrders | undefined): ReportedEnd[] =>
    (orders?.starts ?? []).map(({ task, run }, index) => ({
        sequence: index + 1,
        task,
        run,
        end: RunEnd.Done,
        checkpoint: "",
    }));

/** Fills two servers with finite tasks, lets a search fail, and returns the ends of the tasks on each server. */
const startFullReplica = (): { replica: SingleReplica; ends: ReportedEnd[][] } => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1, { rack: "r1" }));
    replica.heartbeat(heartbeatOf("t", 1, { rack: "r2" }));
    replica.submit(jobOf("full", stepOf({ taskCount: 8 })));
    const orders = ["s", "t"].map((id, index) => replica.heartbeat(heartbeatOf(id, 2, { rack: `r${index + 1}` })));
    replica.submit(jobOf("failed", stepOf()));
    replica.node.cancel("failed", () => undefined, replica.times);
    replica.settle();
    return { replica, ends: orders.map(endsOf) };
};

// Guards against a gang that never starts, because only the servers of the latest heartbeats were searched for it after
// a search for another step had failed.
it("assigns a gang whose members need servers that got capacity at different times", () => {
    const { replica, ends: [endsOnFirst = [], endsOnSecond = []] } = startFullReplica();
    replica.submit(jobOf("gang", stepOf({ taskCount: 8, isGang: true })));
    const starts: string[] = [];
    for (let sequence = 3; sequence < 7; sequence += 1) {
        const first = replica.heartbeat(heartbeatOf("s", sequence, { rack: "r1", ended: endsOnFirst }));
        replica.advance(50);
        const second = replica.heartbeat(heartbeatOf("t", sequence, { rack: "r2", ended: endsOnSecond }));
        replica.advance(50);
        starts.push(...[first, second].flatMap(orders => orders?.starts.map(start => start.task) ?? []));
    }
    expect(new Set(starts).size).toBe(8);
});

// Guards against tasks far from their data: after a search had failed once, a task got the server whose heartbeat came
// next, although a better one had been idle for some time.
it("searches all servers again once the amounts that failed fit somewhere", () => {
    const { replica, ends: [endsOnFirst = [], endsOnSecond = []] } = startFullReplica();
    replica.heartbeat(heartbeatOf("t", 3, { rack: "r2", ended: endsOnSecond }));
    replica.heartbeat(heartbeatOf("s", 3, { rack: "r1", ended: endsOnFirst }));
    replica.submit(jobOf("local", stepOf({ taskCount: 2, dataRack: "r2" })));
    replica.heartbeat(heartbeatOf("s", 4, { rack: "r1" }));
    expect(replica.heartbeat(heartbeatOf("t", 4, { rack: "r2" }))?.starts).toHaveLength(2);
});

// Guards against a filler that is stopped only to be started again on the same server, which throws work away.
it("does not count a run's own server as a place to move it to", () => {
    const state = new WorkflowState();
    const [queue] = configurationOf(1).queues;
    const step = fillerStepOf();
    const job = jobOf("j", step);
    state.apply({ kind: EventKind.JobAccepted, job, queue: queue as QueueContract, acceptedAtMs: 0 });
    const directory = new ServerDirectory(LEADER_SETTINGS, 0);
    const planner = new Planner({
        state,
        queue: new WorkQueue(),
        directory,
        pressure: new PressureModel({}),
        eligibility: new Eligibility(() => undefined),
        limits: new OrganisationLimits(state, directory),
    });
    const position = { jobId: "j", occurrence: 0, step: 0, index: 0 };
    const run = newRunView({ task: "j.0.0.0", run: 1, position, step, kind: TaskKind.Filler, checkpoint: "" }, 0);
    directory.recordHeartbeat(heartbeatOf("own", 1), { nowMs: 0, timeOfDayMs: 0 })?.addRun(run);
    expect(planner.canPlaceElsewhere(run, 0)).toBe(false);
    directory.recordHeartbeat(heartbeatOf("other", 1), { nowMs: 0, timeOfDayMs: 0 });
    expect(planner.canPlaceElsewhere(run, 0)).toBe(true);
});

// Load: hundreds of starts a second on hundreds of servers that have room. Guards against a leader that examines the whole
// fleet for each task, and against tasks that pile up on few servers because only these are examined.
it("examines a part of a large fleet with room for each task, and spreads the tasks", () => {
    const replica = startReplica(64_000);
    const fits = vi.spyOn(ServerView.prototype, "fits");
    const taskCount = 2 * SERVERS;
    replica.submit(jobOf("wide", stepOf({ taskCount })));
    const runs = replica.node.session?.utilization().finiteCores ?? 0;
    expect(runs).toBe(taskCount);
    expect(fits.mock.calls.length).toBeLessThan((taskCount * SERVERS) / 2);
    const orders = Array.from(
        { length: SERVERS },
        (unused, index) => replica.heartbeat(heartbeatOfServer(index, 2, 64_000))?.starts.length ?? 0,
    );
    expect(Math.max(...orders)).toBeLessThanOrEqual(4);
});

// Guards against a task that waits because the part of the fleet that was examined first has no room for it.
it("examines all servers when none of the first ones has room", () => {
    const replica = startReplica(64_000);
    replica.submit(jobOf(
        "full",
        stepOf({
            taskCount: SERVERS - 1,
            maxTasksPerServer: 1,
            amounts: { cpuMillicores: 16_000, memoryMebibytes: 1, accelerators: 0 },
        }),
    ));
    const before = replica.node.session?.utilization().finiteCores ?? 0;
    replica.submit(jobOf("last", stepOf({ amounts: { cpuMillicores: 16_000, memoryMebibytes: 1, accelerators: 0 } })));
    expect((replica.node.session?.utilization().finiteCores ?? 0) - before).toBe(16);
});

// Load: one place becomes free at a time, and all jobs end late. Guards against an accepted job that never begins, because
// an older one with many tasks takes each place (review/6).
it("gives a place that becomes free to a late job with nothing at work before a further task of another", () => {
    const replica = SingleReplica.started();
    const amounts = { cpuMillicores: 4_000, memoryMebibytes: 1_000, accelerators: 0 };
    const step = fillerStepOf({ amounts, estimatedRunTimeMs: 1 });
    replica.submit(jobOf("wide", { ...step, taskCount: 8 }));
    replica.submit(jobOf("narrow", step));
    replica.advance(2_000);
    replica.heartbeat(heartbeatOf("s", 1));
    const [first] = replica.heartbeat(heartbeatOf("s", 2))?.starts ?? [];
    expect(first?.task).toBe("wide.0.0.0");
    const ended = [{ sequence: 1, task: "wide.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" }];
    replica.heartbeat(heartbeatOf("s", 3, { ended }));
    replica.advance(500);
    replica.heartbeat(heartbeatOf("s", 4, { ended }));
    expect([...replica.node.state.jobs.values()].flatMap(job => [...job.assignedTasks()])).toHaveLength(1);
    expect([...replica.node.state.job("narrow")?.assignedTasks() ?? []]).toHaveLength(1);
});

// Load: several places become free at once, and all jobs end late. Guards against a job that takes all of them while another
// has nothing at work.
it("gives each of several late jobs with nothing at work one place before any gets a second one", () => {
    const replica = SingleReplica.started();
    const step = fillerStepOf({ taskCount: 8, estimatedRunTimeMs: 1 });
    const ids = ["first", "second", "third"];
    ids.forEach(id => replica.submit(jobOf(id, step)));
    replica.advance(2_000);
    replica.heartbeat(heartbeatOf("s", 1));
    replica.heartbeat(heartbeatOf("s", 2));
    const countAssigned = (id: string): number => [...replica.node.state.job(id)?.assignedTasks() ?? []].length;
    expect(ids.map(countAssigned)).toEqual([2, 1, 1]);
});
