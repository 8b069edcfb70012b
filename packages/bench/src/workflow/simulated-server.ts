import { RunEnd } from "@waxwingspread/workflow";
import type { HeartbeatOrders, HeartbeatReport, ReportedEnd, ReportedRun } from "@waxwingspread/workflow";

const CAPACITY = { cpuMillicores: 16_000, memoryMebibytes: 64_000, accelerators: 0 };
const MIN_STANDING_TAIL_LATENCY_MS = 60;
const STANDING_TAIL_LATENCY_RANGE_MS = 40;
const FILLER_CPU_MILLICORES = 1_700;

/** Returns the run time of a job's tasks in milliseconds; undefined for standing tasks. */
export type RunDurationProvider = (jobId: string) => number | undefined;

interface SimulatedRun {
    task: string;
    run: number;
    startedAtMs: number;
    /** Undefined for a standing task. */
    durationMs: number | undefined;
}

/** Backend server that executes orders immediately and reports in the same form as the platform's servers. */
export class SimulatedServer {
    readonly id: string;
    readonly #durationOf: RunDurationProvider;
    readonly #runs = new Map<string, SimulatedRun>();
    #unacknowledgedEnds: ReportedEnd[] = [];
    #endCount = 0;
    #sequence = 0;
    /** Time at which the next heartbeat is due; undefined while a heartbeat awaits its response. */
    nextHeartbeatAtMs: number | undefined;
    starts = 0;
    heartbeats = 0;

    constructor(id: string, firstHeartbeatAtMs: number, durationOf: RunDurationProvider) {
        this.id = id;
        this.nextHeartbeatAtMs = firstHeartbeatAtMs;
        this.#durationOf = durationOf;
    }

    get runningTasks(): number {
        return this.#runs.size;
    }

    /** Completes the runs whose run time has elapsed. */
    advance(nowMs: number): void {
        for (const run of [...this.#runs.values()]) {
            if (run.durationMs !== undefined && nowMs - run.startedAtMs >= run.durationMs) {
                this.#end(run, RunEnd.Done);
            }
        }
    }

    /** Creates a heartbeat. No further one is due until {@link executeOrders} has handled its response. */
    report(nowMs: number): HeartbeatReport {
        this.nextHeartbeatAtMs = undefined;
        this.#sequence += 1;
        this.heartbeats += 1;
        return {
            serverId: this.id,
            incarnation: 1,
            sequence: this.#sequence,
            clockMs: nowMs,
            vmId: `vm-${this.id}`,
            service: "pool",
            availabilityZone: "a",
            rack: "r1",
            labels: ["a", "r1"],
            capacity: CAPACITY,
            isDraining: false,
            remainingMs: undefined,
            running: [...this.#runs.values()].map(run => createReportedRun(run, nowMs)),
            ended: [...this.#unacknowledgedEnds],
        };
    }

    /** Executes the orders of a heartbeat's response and schedules the next heartbeat. */
    executeOrders(orders: HeartbeatOrders, nowMs: number): void {
        this.#unacknowledgedEnds = this.#unacknowledgedEnds.filter(end => end.sequence > orders.acknowledgedEnd);
        for (const { task, run } of orders.starts) {
            this.starts += 1;
            const durationMs = this.#durationOf(task.split(".", 1)[0] ?? "");
            this.#runs.set(task, { task, run, startedAtMs: nowMs, durationMs });
        }
        for (const { task } of orders.stops) {
            const run = this.#runs.get(task);
            if (run !== undefined) {
                this.#end(run, RunEnd.Stopped);
            }
        }
        this.nextHeartbeatAtMs = nowMs + orders.nextHeartbeatMs;
    }

    #end({ task, run }: SimulatedRun, end: RunEnd): void {
        this.#runs.delete(task);
        this.#endCount += 1;
        this.#unacknowledgedEnds.push({ sequence: this.#endCount, task, run, end, checkpoint: "" });
    }
}

const createReportedRun = ({ task, run, startedAtMs, durationMs }: SimulatedRun, nowMs: number): ReportedRun => ({
    task,
    run,
    checkpoint: "",
    progressPercent: durationMs === undefined ? 100 : Math.floor((100 * (nowMs - startedAtMs)) / durationMs),
    measurement: durationMs === undefined
        ? MIN_STANDING_TAIL_LATENCY_MS + ((startedAtMs + nowMs) % STANDING_TAIL_LATENCY_RANGE_MS)
        : FILLER_CPU_MILLICORES,
});
