import { RunEnd } from "../model/heartbeat.js";
import type { ReportedEnd, ReportedRun } from "../model/heartbeat.js";
import { heartbeatOf } from "./fixtures.js";
import type { SingleReplica } from "./single-replica.js";

const HEARTBEAT_INTERVAL_MS = 100;
const RUN_TIME_MS = 1_000;

/** A run on a server of the fleet. */
interface FleetRun {
    task: string;
    run: number;
    startedAtMs: number;
}

/** A backend server of the fleet. */
interface FleetServer {
    id: string;
    vmId: string;
    incarnation: number;
    sequence: number;
    runs: FleetRun[];
    ended: ReportedEnd[];
    endCount: number;
    /** Time at which a crashed server is back on its VM, under a new id; undefined while it is up. */
    backAtMs: number | undefined;
}

/** Which runs crash their server, and how long it is down. */
export interface FleetBehaviour {
    /** Returns the time from a run's start to the crash of its server; undefined if it doesn't crash it. */
    crashDelayMs: (task: string) => number | undefined;
    /** Time for which a crashed server is down. */
    downMs: number;
}

/** Backend servers that crash under some of their runs and come back under new ids, as on the platform. */
export class CrashFleet {
    /** Numbers of the starts, by task. */
    readonly starts = new Map<string, number>();
    readonly #replica: SingleReplica;
    readonly #behaviour: FleetBehaviour;
    readonly #servers: FleetServer[];
    #serverCount: number;

    constructor(replica: SingleReplica, serverCount: number, behaviour: FleetBehaviour) {
        this.#replica = replica;
        this.#behaviour = behaviour;
        this.#serverCount = serverCount;
        this.#servers = Array.from({ length: serverCount }, (unused, index) => newServer(`s${index}`, `vm${index}`, 1));
    }

    /** Returns how often the task that was started most often was started. */
    get maxStarts(): number {
        return Math.max(0, ...this.starts.values());
    }

    /** Advances the clock in steps of one heartbeat interval. */
    advance(durationMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += HEARTBEAT_INTERVAL_MS) {
            this.#replica.advance(HEARTBEAT_INTERVAL_MS);
            this.#servers.forEach(server => this.#advanceServer(server));
        }
    }

    /** Crashes the given servers at once. */
    crash(...indexes: number[]): void {
        indexes.forEach(index => this.#crash(this.#servers[index] as FleetServer));
    }

    /** Returns how often a task was started. */
    startsOf(task: string): number {
        return this.starts.get(task) ?? 0;
    }

    #advanceServer(server: FleetServer): void {
        const { nowMs } = this.#replica.times;
        if (server.backAtMs !== undefined) {
            if (nowMs < server.backAtMs) {
                return;
            }
            Object.assign(server, newServer(`s${this.#serverCount}`, server.vmId, server.incarnation + 1));
            this.#serverCount += 1;
        }
        if (this.#crashIfDue(server, nowMs)) {
            return;
        }
        this.#endRuns(server, nowMs);
        this.#exchangeHeartbeat(server, nowMs);
        this.#crashIfDue(server, nowMs);
    }

    #crashIfDue(server: FleetServer, nowMs: number): boolean {
        const isDue = server.runs.some(({ task, startedAtMs }) =>
            nowMs >= startedAtMs + (this.#behaviour.crashDelayMs(task) ?? Infinity)
        );
        if (isDue) {
            this.#crash(server);
        }
        return isDue;
    }

    #crash(server: FleetServer): void {
        server.runs = [];
        server.backAtMs = this.#replica.times.nowMs + this.#behaviour.downMs;
    }

    #endRuns(server: FleetServer, nowMs: number): void {
        for (const { task, run, startedAtMs } of server.runs) {
            if (nowMs >= startedAtMs + RUN_TIME_MS) {
                this.#end(server, task, run, RunEnd.Done);
            }
        }
    }

    #reportOf({ task, run, startedAtMs }: FleetRun, nowMs: number): ReportedRun {
        const progressPercent = Math.floor((100 * (nowMs - startedAtMs)) / RUN_TIME_MS);
        return { task, run, checkpoint: "", progressPercent, measurement: undefined };
    }

    #end(server: FleetServer, task: string, run: number, end: RunEnd): void {
        server.runs = server.runs.filter(other => other.task !== task);
        server.endCount += 1;
        server.ended.push({ sequence: server.endCount, task, run, end, checkpoint: "" });
    }

    #exchangeHeartbeat(server: FleetServer, nowMs: number): void {
        server.sequence += 1;
        const running = server.runs.map(run => this.#reportOf(run, nowMs));
        const orders = this.#replica.heartbeat(heartbeatOf(server.id, server.sequence, {
            incarnation: server.incarnation,
            vmId: server.vmId,
            running,
            ended: [...server.ended],
        }));
        if (orders === undefined) {
            return;
        }
        server.ended = server.ended.filter(({ sequence }) => sequence > orders.acknowledgedEnd);
        orders.stops
            .filter(({ task, run }) => server.runs.some(other => other.task === task && other.run === run))
            .forEach(({ task, run }) => this.#end(server, task, run, RunEnd.Stopped));
        for (const { task, run } of orders.starts) {
            this.starts.set(task, this.startsOf(task) + 1);
            server.runs.push({ task, run, startedAtMs: nowMs });
        }
    }
}

const newServer = (id: string, vmId: string, incarnation: number): FleetServer => ({
    id,
    vmId,
    incarnation,
    sequence: 0,
    runs: [],
    ended: [],
    endCount: 0,
    backAtMs: undefined,
});
