import {
    CallerOperation,
    CrashInvolvement,
    EventKind,
    FailedAction,
    LossReason,
    Refusal,
    ServerEventKind,
} from "@waxwingspread/workflow";
import type { CallRefusal, QueueContract } from "@waxwingspread/workflow";
import { pino } from "pino";
import { expect, it } from "vitest";
import { EventLog } from "./event-log.js";

const linesOf = (logEvents: (log: EventLog) => void): Record<string, unknown>[] => {
    const lines: Record<string, unknown>[] = [];
    const destination = { write: (line: string) => void lines.push(JSON.parse(line) as Record<string, unknown>) };
    logEvents(new EventLog(pino({}, destination)));
    return lines;
};

// Guards against log lines about a job that cannot be found by its id.
it("names the job in each line about one of its runs", () => {
    const runs = [{ task: "aa.0.1.2", run: 3, serverId: "s", incarnation: 1 }];
    const lines = linesOf(log => log.recordCommitted([{ kind: EventKind.RunsAssigned, runs }], 0));
    expect(lines).toMatchObject([{ msg: "job event", event: "assigned", jobId: "aa", task: "aa.0.1.2", run: 3 }]);
});

// Guards against lines that name two queues alike, because they share a name.
it("tells the address of the queue of an accepted job", () => {
    const job = { id: "aa", payload: "", steps: [], schedule: undefined };
    const queue = { name: "q", host: "h.example", pathPrefix: "/q/" } as QueueContract;
    const lines = linesOf(log =>
        log.recordCommitted([{ kind: EventKind.JobAccepted, job, queue, acceptedAtMs: 0 }], 0)
    );
    expect(lines).toMatchObject([{ event: "accepted", queue: "q", queueAddress: "h.example /q/" }]);
});

// Guards against a failed job whose caller can't be told which task and which servers decided it (issue 22).
it("names the task, the reason and the servers of a job that is given up", () => {
    const crashes = [{ run: 1, serverId: "s", vmId: "v", involvement: CrashInvolvement.SoleSuspect }];
    const lines = linesOf(log => log.recordCrashingTask({ task: "aa.0.1.2", run: 1, crashes }, 0));
    expect(lines).toMatchObject([{
        msg: "job event",
        event: "given-up",
        jobId: "aa",
        task: "aa.0.1.2",
        reason: "the task crashes the servers that start it",
        crashes,
    }]);
});

// Guards against lost runs whose cause, a crash or a cut, has to be guessed (issue 22).
it("tells why a run is lost and how it was involved in a crash", () => {
    const crash = { serverId: "s", vmId: "v", involvement: CrashInvolvement.Suspected };
    const runs = [{ task: "aa.0.1.2", run: 3, checkpoint: "", reason: LossReason.ServerRestarted, crash }];
    const lines = linesOf(log => log.recordCommitted([{ kind: EventKind.RunsLost, runs }], 0));
    expect(lines).toMatchObject([{
        event: "lost",
        jobId: "aa",
        reason: "server-restarted",
        crash: "suspected",
        serverId: "s",
    }]);
});

// Guards against a log volume that grows with the load.
it("limits the lines per second and then reports how many were dropped", () => {
    const lines = linesOf(log => {
        for (let count = 0; count < 1_000; count += 1) {
            log.recordCommitted([{ kind: EventKind.JobCancelled, jobId: "aa", atMs: 0 }], 100);
        }
        log.recordCommitted([{ kind: EventKind.JobCancelled, jobId: "bb", atMs: 0 }], 1_200);
    });
    expect(lines).toHaveLength(52);
    expect(lines.at(-2)).toMatchObject({ msg: "log lines dropped", event: "cancelled", count: 950 });
});

// Guards against rare lines, which explain a fault, that are dropped beside a high rate of starts and ends.
it("logs a rare event while the lines of frequent ones are dropped", () => {
    const runs = Array.from({ length: 1_000 }, (unused, run) => ({
        task: `aa.0.0.${run}`,
        run,
        serverId: "s",
        incarnation: 1,
    }));
    const lines = linesOf(log => {
        log.recordCommitted([{ kind: EventKind.RunsAssigned, runs }], 0);
        log.recordCommitted([{ kind: EventKind.JobCancelled, jobId: "bb", atMs: 0 }], 10);
        log.recordServerEvent(
            { kind: ServerEventKind.LeaseExpired, serverId: "s", incarnation: 1, vmId: "v", runs: 9 },
            20,
        );
    });
    expect(lines.filter(({ event }) => event === "assigned").length).toBeLessThan(1_000);
    expect(lines).toContainEqual(expect.objectContaining({ event: "cancelled", jobId: "bb" }));
    expect(lines).toContainEqual(expect.objectContaining({ event: "lease-expired", serverId: "s" }));
});

// Guards against processor time for lines that nobody sees.
it("doesn't read the fields of a line that is dropped", () => {
    let readCount = 0;
    const runs = Array.from({ length: 1_000 }, (unused, run) => ({
        get task(): string {
            readCount += 1;
            return `aa.0.0.${run}`;
        },
        run,
        serverId: "s",
        incarnation: 1,
    }));
    const lines = linesOf(log => log.recordCommitted([{ kind: EventKind.RunsAssigned, runs }], 0));
    expect(readCount).toBe(lines.length);
});

// Guards against a fault that fails in each decision and fills the log within seconds.
it("limits the lines about unexpected errors", () => {
    const lines: string[] = [];
    const log = new EventLog(pino({ level: "info" }, { write: line => void lines.push(line) }));
    for (let count = 0; count < 100; count += 1) {
        log.recordFailure(new Error("failed in a test"), FailedAction.Decide, 0);
    }
    expect(lines).toHaveLength(5);
    log.recordFailure(new Error("failed in a test"), FailedAction.Decide, 1_000);
    expect(lines).toHaveLength(6);
});

const REFUSAL: CallRefusal = {
    operation: CallerOperation.JobState,
    refusal: Refusal.UnknownJob,
    hasKey: true,
    organisation: "beta",
    path: "/batch/aa",
    jobId: "aa",
    owner: "acme",
};

// Guards against refused calls whose organisation can't be found.
it("names the organisations of a refused call", () => {
    const lines = linesOf(log => log.recordCallRefused(REFUSAL, 0));
    expect(lines).toMatchObject([{ msg: "call refused", refusal: "unknown-job", organisation: "beta", owner: "acme" }]);
});

// Guards against a wave of removed keys, or paths of any length, that displace the lines about other refusals.
it("limits the lines about refused calls by reason, and the text of a request in them", () => {
    const path = "/".repeat(10_000);
    const lines = linesOf(log => {
        for (let count = 0; count < 1_000; count += 1) {
            log.recordCallRefused({ ...REFUSAL, refusal: Refusal.Unauthenticated, path }, 0);
        }
        log.recordCallRefused(REFUSAL, 0);
    });
    expect(lines).toHaveLength(51);
    expect(lines.every(line => String(line.path).length <= 200)).toBe(true);
    expect(lines.at(-1)).toMatchObject({ refusal: "unknown-job" });
});
