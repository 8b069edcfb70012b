import { describe, expect, it } from "vitest";
import type { HeartbeatOrders, HeartbeatReport, ReportedRun } from "../model/heartbeat.js";
import { RunEnd } from "../model/heartbeat.js";
import type { Amounts, StepSpecification } from "../model/specification.js";
import { configurationOf, fillerStepOf, heartbeatOf, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

/** Time after the first heartbeat in a term by which a run that the server does not report has certainly not started. */
const LATE_HEARTBEATS_MS = 1_600;

const amountsOf = (changes: Partial<Amounts> = {}): Amounts => ({
    cpuMillicores: 4_000,
    memoryMebibytes: 16_000,
    accelerators: 2,
    ...changes,
});

/** Returns a step of tasks that need 1 core, 1,000 MiB and no accelerator, except for the given changes. */
const stepWith = (changes: Partial<Amounts>, step: Partial<StepSpecification> = {}): StepSpecification =>
    stepOf({ amounts: { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0, ...changes }, ...step });

const startedTasks = (orders: HeartbeatOrders | undefined): string[] => orders?.starts.map(({ task }) => task) ?? [];

const runningOf = (orders: HeartbeatOrders | undefined): ReportedRun[] =>
    (orders?.starts ?? []).map(({ task, run, checkpoint }) => ({
        task,
        run,
        checkpoint,
        progressPercent: 0,
        measurement: undefined,
    }));

/** Sends a heartbeat of a server with the given capacity. */
const beat = (
    replica: SingleReplica,
    serverId: string,
    sequence: number,
    capacity: Amounts,
    changes: Partial<HeartbeatReport> = {},
): HeartbeatOrders | undefined => replica.heartbeat(heartbeatOf(serverId, sequence, { capacity, ...changes }));

describe("a run that was assigned before its server shrank", () => {
    // Guards against starts that exceed the capacity of a server that doesn't guard it: the order was written with the
    // capacity of the time of the assignment.
    it.each<[string, Partial<Amounts>, Partial<Amounts>]>([
        ["processors", { cpuMillicores: 3_000 }, { cpuMillicores: 2_000 }],
        ["memory", { memoryMebibytes: 9_000 }, { memoryMebibytes: 8_000 }],
        ["accelerators", { accelerators: 2 }, { accelerators: 1 }],
        ["everything", {}, { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 }],
    ])("is not started there but on another server (%s)", (unusedName, needed, shrunk) => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        replica.submit(jobOf("j", stepWith(needed)));
        const orders = beat(replica, "s1", 2, amountsOf(shrunk));
        expect(startedTasks(orders)).toEqual([]);
        expect(startedTasks(beat(replica, "s2", 1, amountsOf()))).toEqual(["j.0.0.0"]);
        expect(startedTasks(beat(replica, "s1", 3, amountsOf()))).toEqual([]);
    });

    // Guards against a start that fits only once a run that is being stopped has ended.
    it("is not started beside a run that is being stopped, which still uses the capacity", () => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        replica.submit(jobOf("stopped", stepWith({ cpuMillicores: 2_000 })));
        const running = runningOf(beat(replica, "s1", 2, amountsOf()));
        replica.submit(jobOf("next", stepWith({ cpuMillicores: 2_000 })));
        replica.node.cancel("stopped", () => undefined, replica.times);
        replica.settle();
        const shrunk = amountsOf({ cpuMillicores: 3_000 });
        const orders = beat(replica, "s1", 3, shrunk, { running });
        expect(orders?.stops.map(({ task }) => task)).toEqual(["stopped.0.0.0"]);
        expect(startedTasks(orders)).toEqual([]);
        expect(startedTasks(beat(replica, "s1", 4, shrunk, { running }))).toEqual([]);
        const ended = [{ sequence: 1, task: "stopped.0.0.0", run: 1, end: RunEnd.Stopped, checkpoint: "" }];
        expect(startedTasks(beat(replica, "s1", 5, shrunk, { ended }))).toEqual(["next.0.0.0"]);
    });

    // Guards against holding back all assigned runs, or the wrong ones, when only some of them fit.
    it("is started if it still fits beside those that were assigned earlier", () => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        replica.submit(jobOf("first", stepWith({ cpuMillicores: 1_500 })));
        replica.submit(jobOf("second", stepWith({ cpuMillicores: 1_500 })));
        replica.submit(jobOf("third", stepWith({ cpuMillicores: 500 })));
        const shrunk = amountsOf({ cpuMillicores: 2_000 });
        const orders = beat(replica, "s1", 2, shrunk);
        expect(startedTasks(orders)).toEqual(["first.0.0.0", "third.0.0.0"]);
        expect(startedTasks(beat(replica, "s1", 3, shrunk, { running: runningOf(orders) }))).toEqual([]);
        expect(startedTasks(beat(replica, "s2", 1, amountsOf()))).toEqual(["second.0.0.0"]);
    });

    // Guards against repeating a start order whose answer was lost without regard to the present capacity.
    it("is not ordered a second time if the first order was lost", () => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        replica.submit(jobOf("j", stepWith({ cpuMillicores: 3_000 })));
        expect(startedTasks(beat(replica, "s1", 2, amountsOf()))).toEqual(["j.0.0.0"]);
        expect(startedTasks(beat(replica, "s1", 3, amountsOf({ cpuMillicores: 2_000 })))).toEqual([]);
        expect(startedTasks(beat(replica, "s2", 1, amountsOf()))).toEqual(["j.0.0.0"]);
    });

    // Guards against a task in two places, and against starts in capacity that a former leader's start order may use:
    // heartbeats from before that order may arrive after the change of the leader.
    it("counts as present after a change of the leader until it has certainly not started", () => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        replica.submit(jobOf("large", stepWith({ cpuMillicores: 3_000 })));
        replica.submit(jobOf("small", stepWith({ cpuMillicores: 1_000 })));
        expect(startedTasks(beat(replica, "s1", 3, amountsOf()))).toEqual(["large.0.0.0", "small.0.0.0"]);
        replica.failOver();
        replica.advance(500);
        const shrunk = amountsOf({ cpuMillicores: 2_000 });
        expect(startedTasks(beat(replica, "s1", 4, shrunk))).toEqual([]);
        expect(startedTasks(beat(replica, "s2", 1, amountsOf()))).toEqual([]);
        replica.advance(LATE_HEARTBEATS_MS);
        expect(startedTasks(beat(replica, "s1", 5, shrunk))).toEqual(["small.0.0.0"]);
        expect(startedTasks(beat(replica, "s2", 2, amountsOf()))).toEqual(["large.0.0.0"]);
    });

    // Guards against members of a gang that wait in vain for one that is not started.
    it("is given back with its whole gang, which starts again as a whole", () => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        beat(replica, "s2", 1, amountsOf());
        replica.submit(jobOf("gang", stepWith({ cpuMillicores: 3_000 }, { isGang: true, taskCount: 2 })));
        const running = runningOf(beat(replica, "s1", 2, amountsOf()));
        expect(running).toHaveLength(1);
        expect(startedTasks(beat(replica, "s2", 2, amountsOf({ cpuMillicores: 2_000 })))).toEqual([]);
        const [member] = running;
        const stops = beat(replica, "s1", 3, amountsOf(), { running })?.stops;
        expect(stops).toEqual([{ task: member?.task, run: 1 }]);
        const ended = running.map(({ task, run }) => ({
            sequence: 1,
            task,
            run,
            end: RunEnd.Stopped,
            checkpoint: "",
        }));
        beat(replica, "s2", 3, amountsOf());
        const restarted = beat(replica, "s1", 4, amountsOf(), { ended });
        expect(restarted?.starts.map(({ run }) => run)).toEqual([2]);
        expect(beat(replica, "s2", 4, amountsOf())?.starts.map(({ run }) => run)).toEqual([2]);
    });
});

describe("a task that fits nowhere any more", () => {
    const SHRUNK = amountsOf({ cpuMillicores: 0, memoryMebibytes: 0 });

    // Guards against accepted tasks that stand still because a remembered failure to place them assumes the capacity of
    // that time.
    it.each<[string, Partial<StepSpecification>]>([
        ["alone", {}],
        ["with a limit on each server", { taskCount: 2, maxTasksPerServer: 2 }],
        ["standing", { isStanding: true }],
        ["filler", { isFiller: true, savesCheckpoints: true }],
    ])("waits, and starts in the answer to the heartbeat that shows enough capacity (%s)", (unusedName, step) => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        beat(replica, "s2", 1, amountsOf());
        replica.submit(jobOf("j", stepWith({}, step)));
        expect(startedTasks(beat(replica, "s1", 2, SHRUNK))).toEqual([]);
        expect(startedTasks(beat(replica, "s2", 2, SHRUNK))).toEqual([]);
        for (let sequence = 3; sequence <= 12; sequence += 1) {
            replica.advance(100);
            expect(startedTasks(beat(replica, "s1", sequence, SHRUNK))).toEqual([]);
            expect(startedTasks(beat(replica, "s2", sequence, SHRUNK))).toEqual([]);
        }
        replica.advance(100);
        const started = startedTasks(beat(replica, "s1", 13, amountsOf()));
        expect(started).toHaveLength(step.taskCount ?? 1);
    });

    // The same failure for a gang, whose members need the capacity of several servers at the same time.
    it("waits with its gang until all members fit", () => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, SHRUNK);
        beat(replica, "s2", 1, SHRUNK);
        replica.submit(jobOf("gang", stepWith({ cpuMillicores: 3_000 }, { isGang: true, taskCount: 2 })));
        replica.advance(100);
        expect(startedTasks(beat(replica, "s1", 2, amountsOf()))).toEqual([]);
        replica.advance(100);
        expect(startedTasks(beat(replica, "s2", 2, amountsOf()))).toHaveLength(1);
        expect(startedTasks(beat(replica, "s1", 3, amountsOf()))).toHaveLength(1);
    });

    // The same failure for a step that needs approvals, which are queried only for servers with capacity.
    it("starts after the approval of a server that has grown", () => {
        const answers: (() => void)[] = [];
        const replica = SingleReplica.started({
            queryEligibility: ({ serverIds }, respond) => {
                const eligible = serverIds.map(serverId => ({ serverId, token: "token" }));
                answers.push(() => respond(eligible, replica.times.nowMs));
            },
        });
        const [queue] = configurationOf(2).queues;
        const eligibility = { decisionMs: 10, perServerMs: 1, validityMs: 5_000 };
        const queues = queue === undefined ? [] : [{ ...queue, eligibility }];
        replica.node.configure(configurationOf(2, { queues }), () => undefined, replica.times);
        replica.settle();
        beat(replica, "s1", 1, SHRUNK);
        replica.submit(jobOf("j", stepWith({})));
        expect(answers).toHaveLength(0);
        replica.advance(100);
        expect(startedTasks(beat(replica, "s1", 2, amountsOf()))).toEqual([]);
        answers.forEach(answer => answer());
        replica.settle();
        expect(startedTasks(beat(replica, "s1", 3, SHRUNK))).toEqual([]);
        expect(startedTasks(beat(replica, "s1", 4, amountsOf()))).toEqual(["j.0.0.0"]);
    });
});

describe("work on a server that has shrunk below it", () => {
    /** Amounts that shrink below what the running tasks need, one after the other. */
    const SHRUNK_AMOUNTS: [string, Partial<Amounts>][] = [
        ["processors", { cpuMillicores: 1_000 }],
        ["memory", { memoryMebibytes: 1_000 }],
        ["accelerators", { accelerators: 0 }],
        ["everything", { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 }],
    ];

    // Guards against work that is thrown away, and against starts on a server that is over its capacity in one resource
    // but not in those that the task needs.
    it.each(SHRUNK_AMOUNTS)("goes on, and nothing is started beside it before it fits again (%s)", (unused, shrunk) => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        replica.submit(jobOf("finite", stepWith({ accelerators: 1 })));
        replica.submit(jobOf("standing", standingStepOf()));
        replica.submit(jobOf("filler", fillerStepOf()));
        const started = runningOf(beat(replica, "s1", 2, amountsOf()));
        expect(started).toHaveLength(3);
        // Tasks without progress would be moved for that reason.
        const runningAt = (sequence: number): ReportedRun[] =>
            started.map(run => ({ ...run, progressPercent: 2 * sequence }));
        replica.submit(jobOf("next", stepWith({ cpuMillicores: 10, memoryMebibytes: 10 })));
        for (let sequence = 3; sequence < 50; sequence += 1) {
            replica.advance(100);
            const orders = beat(replica, "s1", sequence, amountsOf(shrunk), { running: runningAt(sequence) });
            expect(orders).toMatchObject({ starts: [], stops: [], paces: [] });
        }
        expect(startedTasks(beat(replica, "s1", 50, amountsOf(), { running: runningAt(50) }))).toEqual(["next.0.0.0"]);
    });

    // Guards against figures that can't be written or compared when a server has no capacity left.
    it("leaves all figures of the utilization finite", () => {
        const replica = SingleReplica.started();
        beat(replica, "s1", 1, amountsOf());
        replica.submit(jobOf("standing", standingStepOf()));
        replica.submit(jobOf("filler", fillerStepOf()));
        const running = runningOf(beat(replica, "s1", 2, amountsOf())).map(run => ({ ...run, measurement: 90 }));
        const nothing = amountsOf({ cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 });
        for (let sequence = 3; sequence <= 30; sequence += 1) {
            replica.advance(100);
            beat(replica, "s1", sequence, nothing, { running });
        }
        const { pressures, waitingTasks, ...figures } = replica.node.session?.utilization() ?? {};
        const pressureFigures = Object.values(pressures ?? {}).flatMap(byFiller => Object.values(byFiller));
        const all = [...Object.values(figures), ...Object.values(waitingTasks ?? {}), ...pressureFigures];
        expect(all.length).toBeGreaterThan(0);
        expect(all.every(Number.isFinite)).toBe(true);
    });
});
