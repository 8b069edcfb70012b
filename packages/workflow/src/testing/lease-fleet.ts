import { RunEnd } from "../model/heartbeat.js";
import type { HeartbeatOrders, HeartbeatReport, ReportedEnd, StartOrder } from "../model/heartbeat.js";
import type { Amounts } from "../model/specification.js";
import { heartbeatOf } from "./fixtures.js";
import type { SingleReplica } from "./single-replica.js";

const HEARTBEAT_INTERVAL_MS = 100;

/** A run at work on a server. */
export interface FleetRun {
    task: string;
    run: number;
    startedAtMs: number;
    endsAtMs: number;
}

/** A server of a {@link LeaseFleet}. */
class LeaseServer {
    runs: FleetRun[] = [];
    isCutOff = false;
    /** Time until which the server stays silent after a crash. */
    downUntilMs = 0;
    #ended: ReportedEnd[] = [];
    #incarnation = 1;
    #sequence = 0;
    #endCount = 0;
    #leaseEndsAtMs = 0;

    constructor(readonly id: string, readonly capacity: Amounts) {}

    /** Ends the runs that are due, and all runs once the lease has lapsed. */
    advance(nowMs: number): void {
        const hasLapsed = nowMs >= this.#leaseEndsAtMs;
        for (const run of this.runs.filter(({ endsAtMs }) => hasLapsed || endsAtMs <= nowMs)) {
            this.#end(run, hasLapsed ? RunEnd.LeaseExpired : RunEnd.Done);
        }
    }

    report(progressOf: (run: FleetRun) => number): HeartbeatReport {
        this.#sequence += 1;
        return heartbeatOf(this.id, this.#sequence, {
            incarnation: this.#incarnation,
            capacity: this.capacity,
            running: this.runs.map(own => ({
                task: own.task,
                run: own.run,
                checkpoint: "",
                progressPercent: progressOf(own),
                measurement: undefined,
            })),
            ended: [...this.#ended],
        });
    }

    /**
     * Executes an answer to a heartbeat that was sent at the given time. `start` is called for each new run, and returns
     * undefined to reject it.
     */
    execute(
        orders: HeartbeatOrders,
        sentAtMs: number,
        start: (order: StartOrder) => FleetRun | undefined,
        onStop: (run: FleetRun) => void,
    ): void {
        this.#leaseEndsAtMs = sentAtMs + orders.leaseMs;
        this.#ended = this.#ended.filter(({ sequence }) => sequence > orders.acknowledgedEnd);
        for (const { task, run } of orders.stops) {
            this.runs
                .filter(own => own.task === task && own.run === run)
                .forEach(own => {
                    onStop(own);
                    this.#end(own, RunEnd.Stopped);
                });
        }
        for (const order of orders.starts) {
            const run = start(order);
            if (run === undefined) {
                this.#listEnd(order, RunEnd.NotStarted);
            }
            else {
                this.runs.push(run);
            }
        }
    }

    crash(downUntilMs: number): void {
        this.runs = [];
        this.#ended = [];
        this.#endCount = 0;
        this.#sequence = 0;
        this.#incarnation += 1;
        this.downUntilMs = downUntilMs;
    }

    #end(run: FleetRun, end: RunEnd): void {
        this.runs = this.runs.filter(other => other !== run);
        this.#listEnd(run, end);
    }

    #listEnd({ task, run }: Pick<FleetRun, "task" | "run">, end: RunEnd): void {
        this.#endCount += 1;
        this.#ended.push({ sequence: this.#endCount, task, run, end, checkpoint: "" });
    }
}

/** Backend servers that execute orders, keep leases, and can be cut off or crash. */
export class LeaseFleet {
    readonly servers: readonly LeaseServer[];
    readonly #replica: SingleReplica;
    readonly #runTimeMs: (task: string) => number;
    readonly #onStart: (task: string) => void;
    readonly #onStop: (run: FleetRun) => void;
    readonly #progressOf: (run: FleetRun, nowMs: number) => number;
    readonly #rejects: (serverId: string, order: StartOrder) => boolean;
    readonly #gangOf: (task: string) => string | undefined;
    /** Times at which gangs end, by gang and run. All members end together. */
    readonly #gangEndsAtMs = new Map<string, number>();

    constructor(
        replica: SingleReplica,
        {
            count,
            capacity,
            runTimeMs,
            onStart = () => undefined,
            onStop = () => undefined,
            progressOf = () => 0,
            gangOf = () => undefined,
            rejects = () => false,
        }: {
            count: number;
            capacity: Amounts;
            runTimeMs: (task: string) => number;
            /** Called when a task has been started. */
            onStart?: (task: string) => void;
            /** Called when a run is about to end by an order to stop. */
            onStop?: (run: FleetRun) => void;
            /** Returns the progress that a heartbeat shows of a run, in percent. */
            progressOf?: (run: FleetRun, nowMs: number) => number;
            /** Whether a server rejects a start. */
            rejects?: (serverId: string, order: StartOrder) => boolean;
            /** Returns the gang that a task belongs to. */
            gangOf?: (task: string) => string | undefined;
        },
    ) {
        this.#replica = replica;
        this.#runTimeMs = runTimeMs;
        this.#onStart = onStart;
        this.#onStop = onStop;
        this.#progressOf = progressOf;
        this.#rejects = rejects;
        this.#gangOf = gangOf;
        this.servers = Array.from({ length: count }, (unused, index) => new LeaseServer(`server-${index}`, capacity));
    }

    /** Keys of the tasks at work on any server; a task that runs twice is listed twice. */
    get runningTasks(): string[] {
        return this.servers.flatMap(({ runs }) => runs.map(({ task }) => task));
    }

    /** Advances the clock in steps of one heartbeat interval. */
    advance(durationMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += HEARTBEAT_INTERVAL_MS) {
            this.#replica.advance(HEARTBEAT_INTERVAL_MS);
            this.servers.forEach(server => this.#advanceServer(server));
        }
    }

    #advanceServer(server: LeaseServer): void {
        const { nowMs } = this.#replica.times;
        server.advance(nowMs);
        if (server.isCutOff || server.downUntilMs > nowMs) {
            return;
        }
        const orders = this.#replica.heartbeat(server.report(run => this.#progressOf(run, nowMs)));
        if (orders !== undefined) {
            server.execute(orders, nowMs, order => this.#start(server, order, nowMs), this.#onStop);
        }
    }

    #start({ id }: LeaseServer, order: StartOrder, nowMs: number): FleetRun | undefined {
        if (this.#rejects(id, order)) {
            return undefined;
        }
        const run = this.#startedRunOf(order, nowMs);
        this.#onStart(order.task);
        return run;
    }

    #startedRunOf({ task, run }: StartOrder, nowMs: number): FleetRun {
        const gang = this.#gangOf(task);
        const endsAtMs = this.#gangEndsAtMs.get(`${gang}/${run}`) ?? nowMs + this.#runTimeMs(task);
        if (gang !== undefined) {
            this.#gangEndsAtMs.set(`${gang}/${run}`, endsAtMs);
        }
        return { task, run, startedAtMs: nowMs, endsAtMs };
    }
}
