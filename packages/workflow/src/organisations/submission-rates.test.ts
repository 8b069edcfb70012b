import { expect, it } from "vitest";
import { Refusal } from "../model/calls.js";
import type { JobSpecification, StepSpecification } from "../model/specification.js";
import { configurationOf, heartbeatOf, jobOf, organisationOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

const jobFor = (organisation: string, id: string, ...steps: StepSpecification[]): JobSpecification => ({
    ...jobOf(id, ...steps),
    organisation,
});

const ACCEPTED = { ok: true, value: undefined };

/** Starts a replica whose organisation `a` has agreed to two submissions a second, and which has a server with 4 cores. */
const startReplica = (): SingleReplica => {
    const replica = SingleReplica.started();
    const organisations = [organisationOf("a", { submissionsPerSecond: 2 }), organisationOf("b")];
    replica.node.configure(configurationOf(2, { organisations }), () => undefined, replica.times);
    for (const sequence of [1, 2]) {
        replica.heartbeat(heartbeatOf("s", sequence));
    }
    return replica;
};

const submitMany = (replica: SingleReplica, prefix: string, count: number): unknown[] =>
    Array.from({ length: count }, (unused, index) => replica.submit(jobFor("a", `${prefix}${index}`, stepOf())));

const exceedsRate = (replica: SingleReplica, id: string): boolean | undefined =>
    replica.node.state.job(id)?.specification.exceedsRate;

// Guards against work that is refused though nobody else needs the servers.
it("accepts jobs beyond the agreed rate while no other work waits, and marks them", () => {
    const replica = startReplica();
    expect(submitMany(replica, "j", 6)).toEqual(Array.from({ length: 6 }, () => ACCEPTED));
    // Two seconds at the agreed rate may come at once.
    expect(["j0", "j3", "j4", "j5"].map(id => exceedsRate(replica, id))).toEqual([undefined, undefined, true, true]);
});

// Guards against jobs that are accepted and wait behind all others, and against answers that don't tell when to retry.
it("refuses jobs beyond the rate that have no room while others wait, until a token is there again", () => {
    const replica = startReplica();
    replica.submit(jobFor("b", "b", stepOf({ taskCount: 8 })));
    replica.advance(600);
    submitMany(replica, "within", 4);
    expect(replica.submit(jobFor("a", "beyond", stepOf()))).toEqual({
        ok: false,
        refusal: Refusal.Overloaded,
        retryAfterMs: 500,
    });
    replica.advance(500);
    expect(replica.submit(jobFor("a", "beyond", stepOf()))).toEqual(ACCEPTED);
    expect(exceedsRate(replica, "beyond")).toBeUndefined();
    expect(replica.node.session?.organisations().find(({ organisation }) => organisation === "a")?.refused)
        .toEqual({ [Refusal.Overloaded]: 1 });
});

// Guards against a task that waits for a label or a large place and keeps out all jobs that have room.
it("accepts a job beyond the rate that has room, though others wait", () => {
    const replica = startReplica();
    replica.submit(jobFor("b", "b", stepOf({ requiredLabel: "other" })));
    replica.advance(600);
    submitMany(replica, "j", 3);
    replica.submit(jobFor("a", "waiting", stepOf({ requiredLabel: "other" })));
    expect(replica.submit(jobFor("a", "beyond", stepOf()))).toEqual(ACCEPTED);
    expect(exceedsRate(replica, "beyond")).toBe(true);
});

// Guards against standing tasks that are accepted and never start.
it("starts standing tasks beyond the rate when there is room", () => {
    const replica = startReplica();
    submitMany(replica, "j", 4);
    replica.submit(jobFor("a", "standing", standingStepOf()));
    expect(exceedsRate(replica, "standing")).toBe(true);
    const starts = replica.heartbeat(heartbeatOf("s", 3, {
        capacity: { cpuMillicores: 8_000, memoryMebibytes: 16_000, accelerators: 0 },
    }))?.starts ?? [];
    const later = replica.heartbeat(heartbeatOf("s", 4, {
        capacity: { cpuMillicores: 8_000, memoryMebibytes: 16_000, accelerators: 0 },
    }))?.starts ?? [];
    expect([...starts, ...later].map(({ task }) => task)).toContain("standing.0.0.0");
});

// Guards against a leader that forgets which of the accepted jobs come last.
it("keeps the mark of accepted jobs through an election", () => {
    const replica = startReplica();
    submitMany(replica, "j", 5);
    replica.failOver();
    expect(exceedsRate(replica, "j4")).toBe(true);
});

// Guards against callers that repeat refused submissions and so exceed the rate of their organisation.
it("doesn't count submissions that are refused for another reason", () => {
    const replica = startReplica();
    const large = stepOf({ taskCount: 1_000_000 });
    for (let attempt = 0; attempt < 10; attempt += 1) {
        const refused = { ok: false, refusal: Refusal.Overloaded };
        expect(replica.submit(jobFor("a", "large", large))).toEqual(refused);
    }
    submitMany(replica, "j", 4);
    expect(exceedsRate(replica, "j3")).toBeUndefined();
});
