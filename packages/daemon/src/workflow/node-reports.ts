import type { WorkflowNodeOptions } from "@waxwingspread/workflow";
import { monotonicNowMs } from "../transport/monotonic-time.js";
import type { EventLog } from "./event-log.js";
import type { ControlMetrics } from "./workflow-metrics.js";

/** Callbacks by which a workflow node reports what it has done. */
type NodeReports = Required<
    Pick<WorkflowNodeOptions, "onCallRefused" | "onCommitted" | "onCrashingTask" | "onError" | "onServerEvent">
>;

/** Passes the reports of a workflow node to the log and to the metrics. */
export const createNodeReports = (eventLog: EventLog, metrics: ControlMetrics): NodeReports => ({
    onCallRefused: refusal => {
        eventLog.recordCallRefused(refusal, monotonicNowMs());
        metrics.recordCallRefused(refusal);
    },
    onCommitted: (events, nowMs) => {
        eventLog.recordCommitted(events, nowMs);
        metrics.recordCommitted(events, nowMs);
    },
    onCrashingTask: (task, nowMs) => {
        eventLog.recordCrashingTask(task, nowMs);
        metrics.recordCrashingTask();
    },
    onError: (error, action) => eventLog.recordFailure(error, action, monotonicNowMs()),
    onServerEvent: (event, nowMs) => eventLog.recordServerEvent(event, nowMs),
});
