import { expect, it } from "vitest";
import { JobState } from "../model/calls.js";
import { RunEnd } from "../model/heartbeat.js";
import type { ReportedEnd } from "../model/heartbeat.js";
import type { JobSpecification } from "../model/specification.js";
import { heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

const DAY_MS = 24 * 3_600_000;
/** Each ten minutes for a year. */
const YEAR_OCCURRENCES = 365 * 24 * 6;
const INTERVAL_MS = 600_000;
/** Time after which followers elect another leader. */
const ELECTION_TIMEOUT_MS = 400;

const scheduledJob = (id: string, firstDueMs: number, intervalMs: number, occurrences: number): JobSpecification => ({
    ...jobOf(id, stepOf({ amounts: { cpuMillicores: 100, memoryMebibytes: 16, accelerators: 0 } })),
    schedule: { occurrences, firstDueMs, intervalMs },
});

/** Returns the processor time in milliseconds that a call uses. */
const processorMsOf = (call: () => void): number => {
    const startedAt = process.cpuUsage();
    call();
    const { user, system } = process.cpuUsage(startedAt);
    return (user + system) / 1_000;
};

/** A server that ends each of its runs before the next heartbeat. */
class QuickServer {
    /** Tasks in the order of their starts. */
    readonly tasks: string[] = [];
    readonly #replica: SingleReplica;
    #sequence = 0;
    #ended: ReportedEnd[] = [];

    constructor(replica: SingleReplica) {
        this.#replica = replica;
    }

    sendHeartbeats(count: number): void {
        for (let heartbeat = 0; heartbeat < count; heartbeat += 1) {
            this.#replica.advance(100);
            this.#sequence += 1;
            const orders = this.#replica.heartbeat(heartbeatOf("s", this.#sequence, { ended: this.#ended }));
            this.#ended = this.#ended.filter(({ sequence }) => sequence > (orders?.acknowledgedEnd ?? 0));
            for (const { task, run } of orders?.starts ?? []) {
                this.tasks.push(task);
                this.#ended.push({ sequence: this.tasks.length, task, run, end: RunEnd.Done, checkpoint: "" });
            }
        }
    }
}

// Load: two dozen jobs with a schedule of a year, none of which is due. Guards against leaders that go through all
// occurrences in each check, lose the leadership for it one after the other, and leave all other work alone.
it("takes no time for occurrences that are not due", () => {
    const replica = SingleReplica.started();
    const firstDueMs = replica.times.timeOfDayMs + DAY_MS;
    const acceptedMs = processorMsOf(() => {
        for (let index = 0; index < 24; index += 1) {
            replica.submit(scheduledJob(`j${index}`, firstDueMs, INTERVAL_MS, YEAR_OCCURRENCES));
        }
    });
    expect(acceptedMs).toBeLessThan(ELECTION_TIMEOUT_MS);
    const checkedMs = processorMsOf(() => {
        for (let check = 0; check < 20; check += 1) {
            replica.advance(50);
        }
    });
    expect(checkedMs).toBeLessThan(ELECTION_TIMEOUT_MS);
    expect(replica.node.snapshot().length).toBeLessThan(50_000);
    expect(processorMsOf(() => replica.failOver())).toBeLessThan(ELECTION_TIMEOUT_MS);
});

// Load: a schedule of which all occurrences are due, as after an outage. Guards against planning rounds that go through a
// queue with all of them, and against occurrences that are forgotten or run twice.
it("runs a schedule that is wholly overdue, in its order", () => {
    const replica = SingleReplica.started();
    const occurrences = 4_000;
    const heartbeats = 150;
    const server = new QuickServer(replica);
    replica.submit(scheduledJob("j", 0, 1, occurrences));
    const processorMs = processorMsOf(() => server.sendHeartbeats(heartbeats));
    expect(processorMs / heartbeats).toBeLessThan(ELECTION_TIMEOUT_MS / 4);
    expect(server.tasks).toEqual(Array.from({ length: occurrences }, (unused, occurrence) => `j.${occurrence}.0.0`));
    expect(replica.stateOf("j")).toBe(JobState.Completed);
});

// Guards against occurrences that are lost, or run again, when a leader with a snapshot takes over in the middle.
it.each([["few", 90], ["many", 500]])(
    "goes on with %s occurrences after a restart from a snapshot",
    (unused, count) => {
        const replica = SingleReplica.started();
        const server = new QuickServer(replica);
        replica.submit(scheduledJob("j", 0, 1, count));
        server.sendHeartbeats(2);
        expect(server.tasks.length).toBeLessThan(count);
        replica.node.restoreSnapshot(replica.node.snapshot());
        replica.reelect();
        server.sendHeartbeats(50);
        expect(server.tasks).toHaveLength(count);
        expect(new Set(server.tasks).size).toBe(count);
        expect(replica.stateOf("j")).toBe(JobState.Completed);
    },
);
