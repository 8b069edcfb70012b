import { EventKind } from "@waxwingspread/workflow";
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

// Guards against a log volume that grows with the load.
it("limits the lines per second and then reports how many were dropped", () => {
    const lines = linesOf(log => {
        for (let count = 0; count < 1_000; count += 1) {
            log.recordCommitted([{ kind: EventKind.JobCancelled, jobId: "aa", atMs: 0 }], 100);
        }
        log.recordCommitted([{ kind: EventKind.JobCancelled, jobId: "bb", atMs: 0 }], 1_200);
    });
    expect(lines).toHaveLength(202);
    expect(lines.at(-2)).toMatchObject({ msg: "log lines dropped", count: 800 });
});
