import { expect, it } from "vitest";
import { Refusal } from "../model/calls.js";
import { RunEnd } from "../model/heartbeat.js";
import type { OrganisationContract } from "../model/organisation.js";
import type { Amounts, JobSpecification, StepSpecification } from "../model/specification.js";
import { configurationOf, fillerStepOf, heartbeatOf, jobOf, organisationOf, stepOf } from "../testing/fixtures.js";
import { LeaseFleet } from "../testing/lease-fleet.js";
import { SingleReplica } from "../testing/single-replica.js";
import type { OrganisationUsage } from "./organisation-usage.js";
import { WaitCause } from "./wait-cause.js";

const CAPACITY = { cpuMillicores: 8_000, memoryMebibytes: 16_000, accelerators: 0 };
/** Amounts of one task in these tests. */
const TASK = { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0 };

const quotaOf = (tasks: number): Amounts => ({ cpuMillicores: tasks * 1_000, memoryMebibytes: 0, accelerators: 0 });

const limited = (name: string, tasks: number): OrganisationContract => organisationOf(name, { quota: quotaOf(tasks) });

const jobFor = (organisation: string, id: string, ...steps: StepSpecification[]): JobSpecification => ({
    ...jobOf(id, ...steps),
    organisation,
});

const tasks = (taskCount: number, changes: Partial<StepSpecification> = {}): StepSpecification =>
    stepOf({ taskCount, amounts: TASK, ...changes });

const configure = (replica: SingleReplica, version: number, ...organisations: OrganisationContract[]): void => {
    replica.node.configure(configurationOf(version, { organisations }), () => undefined, replica.times);
    replica.settle();
};

const startReplica = (...organisations: OrganisationContract[]): SingleReplica => {
    const replica = SingleReplica.started();
    configure(replica, 2, ...organisations);
    return replica;
};

const fleetOf = (replica: SingleReplica, runTimeMs = 1_000): LeaseFleet => {
    const fleet = new LeaseFleet(replica, { count: 4, capacity: CAPACITY, runTimeMs: () => runTimeMs });
    fleet.advance(300);
    return fleet;
};

const usageOf = (replica: SingleReplica, organisation: string): OrganisationUsage | undefined =>
    replica.node.session?.organisations().find(usage => usage.organisation === organisation);

const runningOf = (fleet: LeaseFleet, prefix: string): number =>
    fleet.runningTasks.filter(task => task.startsWith(prefix)).length;

// Guards against an organisation that takes the fleet, and against one whose waiting tasks hold up those of others.
it("starts tasks up to the quota, and those of other organisations beside them", () => {
    const replica = startReplica(limited("a", 3), organisationOf("b"));
    const fleet = fleetOf(replica, 60_000);
    replica.submit(jobFor("a", "a1", tasks(20)));
    replica.submit(jobFor("b", "b1", tasks(20)));
    fleet.advance(500);
    expect([runningOf(fleet, "a1"), runningOf(fleet, "b1")]).toEqual([3, 20]);
});

// Guards against fillers that count nothing because no processors are reserved for them.
it("counts the full amounts of fillers", () => {
    const replica = startReplica(limited("a", 3));
    const fleet = fleetOf(replica, 60_000);
    replica.submit(jobFor("a", "a1", fillerStepOf({ taskCount: 20, amounts: TASK })));
    fleet.advance(500);
    expect(runningOf(fleet, "a1")).toBe(3);
});

// Guards against freed quota that is used only when something else changes.
it("starts the next task in the answer that follows the end of another", () => {
    const replica = startReplica(limited("a", 1));
    replica.heartbeat(heartbeatOf("s", 1));
    replica.submit(jobFor("a", "a1", tasks(2)));
    const [start] = replica.heartbeat(heartbeatOf("s", 2))?.starts ?? [];
    const running = [{ task: start?.task ?? "", run: 1, checkpoint: "", progressPercent: 0, measurement: undefined }];
    expect(replica.heartbeat(heartbeatOf("s", 3, { running }))?.starts).toEqual([]);
    replica.cancel("a1");
    replica.submit(jobFor("a", "a2", tasks(1)));
    // The run of the cancelled job counts until its end is recorded.
    expect(replica.heartbeat(heartbeatOf("s", 4, { running }))?.starts).toEqual([]);
    const ended = [{ sequence: 1, task: start?.task ?? "", run: 1, end: RunEnd.Stopped, checkpoint: "" }];
    expect(replica.heartbeat(heartbeatOf("s", 5, { ended }))?.starts.map(({ task }) => task)).toEqual(["a2.0.0.0"]);
});

// Guards against a gang of which a part starts because the quota covers only that, and against one that never starts.
it("starts a gang as a whole once the quota covers all of it", () => {
    const replica = startReplica(limited("a", 4));
    const fleet = fleetOf(replica, 1_000);
    replica.submit(jobFor("a", "a1", tasks(1)));
    fleet.advance(300);
    replica.submit(jobFor("a", "gang", tasks(4, { isGang: true })));
    fleet.advance(500);
    expect([runningOf(fleet, "a1"), runningOf(fleet, "gang")]).toEqual([1, 0]);
    fleet.advance(700);
    expect(runningOf(fleet, "gang")).toBe(4);
});

// Guards against jobs that are accepted and can never run.
it("refuses a job with a task or gang above the whole quota", () => {
    const replica = startReplica(limited("a", 4));
    const large = stepOf({ amounts: { ...TASK, cpuMillicores: 4_001 } });
    expect(replica.submit(jobFor("a", "large", large))).toEqual({ ok: false, refusal: Refusal.QuotaExceeded });
    expect(replica.submit(jobFor("a", "gang", tasks(5, { isGang: true }))))
        .toEqual({ ok: false, refusal: Refusal.QuotaExceeded });
    expect(replica.submit(jobFor("a", "wide", tasks(5)))).toEqual({ ok: true, value: undefined });
    expect(usageOf(replica, "a")?.refused).toEqual({ [Refusal.QuotaExceeded]: 2 });
});

// Guards against starts above a limit that was lowered, and against ending work for it.
it("lets running tasks go on when the quota falls below them, and starts none until they are within it", () => {
    const replica = startReplica(limited("a", 10));
    const fleet = fleetOf(replica, 5_000);
    replica.submit(jobFor("a", "a1", tasks(10)));
    fleet.advance(500);
    replica.submit(jobFor("a", "a2", tasks(10)));
    configure(replica, 3, limited("a", 2));
    fleet.advance(3_500);
    expect([runningOf(fleet, "a1"), runningOf(fleet, "a2")]).toEqual([10, 0]);
    fleet.advance(2_000);
    expect([runningOf(fleet, "a1"), runningOf(fleet, "a2")]).toEqual([0, 2]);
});

// Guards against assignments from before a limit fell that are started after it.
it("gives up runs that were assigned but not started when the quota falls", () => {
    const replica = startReplica(limited("a", 10));
    for (const sequence of [1, 2]) {
        replica.heartbeat(heartbeatOf("s", sequence));
    }
    replica.submit(jobFor("a", "a1", tasks(4)));
    replica.settle();
    expect(usageOf(replica, "a")?.assignedTasks).toBe(4);
    configure(replica, 3, limited("a", 2));
    expect(replica.heartbeat(heartbeatOf("s", 3))?.starts).toEqual([]);
    expect(replica.heartbeat(heartbeatOf("s", 4))?.starts).toHaveLength(2);
});

// Guards against a task that can never start and of which no operator hears.
it("reports a task that a later quota doesn't allow as waiting for it", () => {
    const replica = startReplica(limited("a", 4), limited("b", 1));
    const fleet = fleetOf(replica, 60_000);
    replica.submit(jobFor("a", "large", stepOf({ amounts: { ...TASK, cpuMillicores: 4_000 } })));
    configure(replica, 3, limited("a", 2), limited("b", 1));
    replica.submit(jobFor("b", "b1", tasks(2)));
    fleet.advance(4_000);
    const reports = replica.node.session?.waitReports(replica.times) ?? [];
    expect(reports.map(({ cause, organisation }) => [cause, organisation])).toEqual([
        [WaitCause.AboveQuota, "a"],
        [WaitCause.Quota, "b"],
    ]);
});

// Guards against a new leader that doesn't count the runs of the former one, which go on through the election.
it("counts the runs of a former leader", () => {
    const replica = startReplica(limited("a", 3));
    const fleet = fleetOf(replica, 5_000);
    replica.submit(jobFor("a", "a1", tasks(10)));
    fleet.advance(500);
    replica.failOver();
    expect(usageOf(replica, "a")?.assignedTasks).toBe(3);
    fleet.advance(2_000);
    expect(runningOf(fleet, "a1")).toBe(3);
});

// Guards against runs on a server that is cut off and that another server replaces before they have certainly ended.
it("counts the runs of a silent server until its lease has lapsed", () => {
    const replica = startReplica(limited("a", 4));
    const fleet = fleetOf(replica, 60_000);
    replica.submit(jobFor("a", "a1", tasks(8)));
    fleet.advance(500);
    fleet.servers.slice(0, 2).forEach(server => {
        server.isCutOff = true;
    });
    for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += 100) {
        fleet.advance(100);
        expect(runningOf(fleet, "a1")).toBeLessThanOrEqual(4);
    }
    expect(runningOf(fleet, "a1")).toBe(4);
});

// Guards against a server that runs what its leader doesn't track while the same amounts are given away.
it("counts runs that a server reports and the leader doesn't track", () => {
    const replica = startReplica(limited("a", 2));
    const running = [{ task: "a1.0.0.0", run: 7, checkpoint: "", progressPercent: 0, measurement: undefined }];
    replica.submit(jobFor("a", "a1", tasks(4)));
    replica.heartbeat(heartbeatOf("s", 1, { running }));
    replica.heartbeat(heartbeatOf("t", 1));
    expect(usageOf(replica, "a")?.assignedTasks).toBe(2);
    expect(replica.heartbeat(heartbeatOf("t", 2))?.starts).toHaveLength(1);
    replica.heartbeat(heartbeatOf("s", 2));
    expect(replica.heartbeat(heartbeatOf("t", 3))?.starts.length).toBeGreaterThan(0);
    expect(usageOf(replica, "a")?.assignedTasks).toBe(2);
});

// Guards against quotas that change what other deployments do.
it("doesn't limit jobs without an organisation or of one without a contract", () => {
    const replica = SingleReplica.started();
    replica.submit(jobOf("public", tasks(10)));
    configure(replica, 2, limited("a", 1), organisationOf("gone"));
    replica.submit(jobFor("gone", "gone", tasks(10)));
    configure(replica, 3, limited("a", 1));
    const fleet = fleetOf(replica, 60_000);
    fleet.advance(500);
    expect([runningOf(fleet, "public"), runningOf(fleet, "gone")]).toEqual([10, 10]);
});
