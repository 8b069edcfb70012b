import { expect, it } from "vitest";
import { WorkQueue } from "../leader/work-queue.js";
import type { JobSpecification, StepSpecification } from "../model/specification.js";
import { JobRecord } from "../state/job-record.js";
import { configurationOf, fillerStepOf, jobOf, organisationOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { LeaseFleet } from "../testing/lease-fleet.js";
import { SingleReplica } from "../testing/single-replica.js";
import { FairShares } from "./fair-shares.js";
import { OrganisationLimits } from "./organisation-limits.js";

const CAPACITY = { cpuMillicores: 10_000, memoryMebibytes: 100_000, accelerators: 0 };
const TASK = { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0 };

const jobFor = (organisation: string, id: string, ...steps: StepSpecification[]): JobSpecification => ({
    ...jobOf(id, ...steps),
    organisation,
});

const tasks = (taskCount: number, changes: Partial<StepSpecification> = {}): StepSpecification =>
    stepOf({ taskCount, amounts: TASK, ...changes });

/** A leader with organisations of the given weights, and servers with 100 cores. */
class SharedFleet {
    readonly replica = SingleReplica.started();
    readonly fleet: LeaseFleet;
    /** Tasks in the order of their starts. */
    readonly started: string[] = [];

    constructor(weights: Record<string, number>, runTimeMs: (task: string) => number = () => 1_000) {
        const [queue] = configurationOf(2).queues;
        const queues = queue === undefined
            ? []
            : [queue, { ...queue, name: "low", pathPrefix: "/low/", priority: 2 }];
        const organisations = Object.entries(weights).map(([name, weight]) => organisationOf(name, { weight }));
        const { node, times } = this.replica;
        node.configure(configurationOf(2, { queues, organisations }), () => undefined, times);
        const onStart = (task: string): unknown => this.started.push(task);
        this.fleet = new LeaseFleet(this.replica, { count: 10, capacity: CAPACITY, runTimeMs, onStart });
        this.advance(300);
    }

    advance(durationMs: number): void {
        this.fleet.advance(durationMs);
    }

    submitLow(job: JobSpecification): void {
        const address = { host: "jobs.example", path: `/low/${job.id}` };
        this.replica.node.submit(address, job, () => undefined, this.replica.times);
        this.replica.settle();
    }

    /** Submits jobs whose ids begin with the name of their organisation. */
    submitMany(organisation: string, jobs: number, step: StepSpecification): void {
        for (let job = 0; job < jobs; job += 1) {
            this.replica.submit(jobFor(organisation, `${organisation}-${job}`, step));
        }
    }

    /** Returns the number of an organisation's tasks at work. */
    runningOf(organisation: string): number {
        return this.fleet.runningTasks.filter(task => task.startsWith(`${organisation}-`)).length;
    }
}

// Load: one organisation has submitted twenty times what the fleet holds. Guards against small jobs of others that wait
// behind it until they are late.
it("starts small jobs of 19 light organisations at once beside a heavy one", () => {
    const names = Array.from({ length: 19 }, (unused, index) => `light${index}`);
    const shared = new SharedFleet(Object.fromEntries(["heavy", ...names].map(name => [name, 1])));
    shared.submitMany("heavy", 100, tasks(20, { estimatedRunTimeMs: 60_000 }));
    shared.advance(2_000);
    expect(shared.runningOf("heavy")).toBe(100);
    // Expected to end later than the work of the heavy organisation, which is in time as well.
    names.forEach(name => shared.submitMany(name, 1, tasks(2, { estimatedRunTimeMs: 90_000 })));
    // All places become free within the run time of a task.
    shared.advance(1_200);
    expect(shared.started.filter(task => task.startsWith("light"))).toHaveLength(38);
    shared.advance(2_500);
    expect(shared.runningOf("heavy")).toBe(100);
});

// Guards against weights that have no effect, and against an order by arrival among organisations beyond their shares.
it("gives organisations with long queues room in proportion to their weights", () => {
    const shared = new SharedFleet({ a: 1, b: 3, c: 6 });
    shared.submitMany("a", 30, tasks(20));
    shared.submitMany("b", 30, tasks(20));
    shared.submitMany("c", 30, tasks(20));
    shared.advance(6_000);
    const shares = ["a", "b", "c"].map(name => shared.runningOf(name));
    expect(Math.abs((shares[0] ?? 0) - 10)).toBeLessThanOrEqual(4);
    expect(Math.abs((shares[1] ?? 0) - 30)).toBeLessThanOrEqual(4);
    expect(shares.reduce((sum, share) => sum + share, 0)).toBe(100);
});

// Guards against shares of the whole fleet, of which most is held by work without an organisation, so that nobody ever
// reaches one and the longest queue takes all of the rest.
it("shares what work without an organisation leaves", () => {
    const shared = new SharedFleet({ a: 1, b: 1 }, task => task.startsWith("public") ? Infinity : 1_000);
    shared.replica.submit(jobOf("public", standingStepOf({ taskCount: 80, amounts: TASK })));
    shared.advance(500);
    shared.submitMany("a", 30, tasks(20));
    shared.advance(1_500);
    shared.submitMany("b", 30, tasks(20));
    shared.advance(4_000);
    expect(Math.abs(shared.runningOf("a") - shared.runningOf("b"))).toBeLessThanOrEqual(4);
});

// Guards against shares by processors alone, with which work that needs much memory takes all of it.
it("shares by the resource of which an organisation holds most", () => {
    const shared = new SharedFleet({ small: 1, large: 1 }, () => 60_000);
    shared.submitMany("small", 1, tasks(20));
    shared.submitMany("large", 1, tasks(20, { amounts: { ...TASK, memoryMebibytes: 20_000 } }));
    shared.advance(500);
    const heldShares = shared.replica.node.session?.organisations()
        .map(({ organisation, heldShare }) => [organisation, heldShare]);
    expect(Object.fromEntries(heldShares ?? [])).toEqual({ small: 0.2, large: 0.4 });
});

// Guards against batch work of an organisation that holds back its more urgent work.
it("doesn't count work of lower priorities against work that is more urgent", () => {
    const shared = new SharedFleet({ a: 1, b: 1 }, () => 10_000);
    shared.submitLow(jobFor("a", "a-low", fillerStepOf({ taskCount: 90, amounts: TASK })));
    shared.submitMany("b", 1, tasks(60));
    shared.advance(500);
    shared.replica.submit(jobFor("a", "a-urgent", tasks(60)));
    shared.advance(500);
    expect(shared.fleet.runningTasks.filter(task => task.startsWith("a-urgent"))).toHaveLength(40);
});

/** Returns the jobs of the turns that a planning call with the given limits would have, without assignments. */
const orderOf = (queue: WorkQueue, limits: OrganisationLimits, timeOfDayMs: number): string[] => [
    ...new Set([...limits.order(queue.turns(timeOfDayMs), timeOfDayMs)].map(({ waiting }) => waiting.job.id)),
];

const QUEUE = configurationOf(1).queues[0];

const queueOf = (...jobs: JobSpecification[]): [WorkQueue, OrganisationLimits] => {
    const replica = SingleReplica.started();
    const queue = new WorkQueue();
    jobs.forEach((job, index) => {
        if (QUEUE !== undefined) {
            queue.refresh(JobRecord.accepted(job, QUEUE, index), 1_000);
        }
    });
    return [queue, new OrganisationLimits(replica.node.state, { servers: [] })];
};

// Guards against other deployments whose work comes in another order than before.
it("returns the very turns of the queue when no job has an organisation", () => {
    const [queue, limits] = queueOf(jobOf("a", tasks(2)), jobOf("b", standingStepOf()), jobOf("c", fillerStepOf()));
    const turns = queue.turns(5_000);
    expect(limits.order(turns, 5_000)).toBe(turns);
});

// Guards against shares that break the order by deadline where they don't matter.
it("keeps the order by expected end among organisations within their shares", () => {
    const [queue, limits] = queueOf(
        jobFor("a", "later", tasks(1, { estimatedRunTimeMs: 4_000 })),
        jobFor("b", "soon", tasks(1, { estimatedRunTimeMs: 1_500 })),
        jobFor("a", "middle", tasks(1, { estimatedRunTimeMs: 2_000 })),
    );
    expect(orderOf(queue, limits, 1_000)).toEqual(["soon", "middle", "later"]);
});

// Guards against jobs beyond an agreed rate that delay others, be they standing ones that have waited for long.
it("puts jobs beyond the agreed rates last, whatever they wait for", () => {
    const [queue, limits] = queueOf(
        { ...jobFor("a", "standing", standingStepOf()), exceedsRate: true },
        { ...jobFor("a", "finite", tasks(1)), exceedsRate: true },
        jobFor("b", "late", tasks(1)),
        jobFor("b", "overdue", standingStepOf()),
    );
    expect(orderOf(queue, limits, 60_000)).toEqual(["overdue", "late", "standing", "finite"]);
});

// Guards against organisations that never get a place beside hundreds of others.
it("serves each of 389 light organisations beside a heavy one", () => {
    const names = Array.from({ length: 389 }, (unused, index) => `light${index}`);
    const weights = Object.fromEntries(["heavy", ...names].map(name => [name, 1]));
    const shared = new SharedFleet(weights, () => 300);
    shared.submitMany("heavy", 60, tasks(100));
    shared.advance(500);
    names.forEach(name => shared.submitMany(name, 1, tasks(1)));
    // Each place becomes free every 0.5 s, with the times of the heartbeats.
    shared.advance(2_500);
    expect(shared.started.filter(task => task.startsWith("light"))).toHaveLength(389);
});

// Guards against infinite shares, with which all organisations seem to be within their entitlements: after an election, an
// organisation holds accelerators while no server with accelerators has been heard.
it("computes shares while an organisation holds a resource that no known server has", () => {
    const { replica } = new SharedFleet({ a: 1, b: 1 });
    const limits = new OrganisationLimits(replica.node.state, { servers: [] });
    const accelerated = jobFor("a", "a1", tasks(1, { amounts: { ...TASK, accelerators: 1 } }));
    const [queue] = configurationOf(2).queues;
    if (queue === undefined) {
        throw new Error("the configuration has no queue");
    }
    const [step] = accelerated.steps;
    const job = JobRecord.accepted(accelerated, queue, 0);
    limits.ledger.propose("a1.0.0.0", job, step ?? stepOf());
    const capacity = { cpuMillicores: 8_000, memoryMebibytes: 8_000, accelerators: 0 };
    const reserved = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
    const { ledger, contracts } = limits;
    const servers = [{ capacity, reserved, fillerCpuMillicores: 0 }];
    const shares = new FairShares({ ledger, contracts, servers, waiting: ["a", "b"] });
    expect(shares.dominantShareOf("a", queue.priority)).toBe(0.125);
    expect(shares.entitlementOf("b", queue.priority)).toBeCloseTo((1 + 0.125) / 2);
});
