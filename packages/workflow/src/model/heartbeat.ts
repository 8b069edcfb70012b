import type { Amounts } from "./specification.js";

/** How a run ended, as reported by its backend server. */
export enum RunEnd {
    Done = "done",
    Failed = "failed",
    Stopped = "stopped",
    LeaseExpired = "lease-expired",
    /** Another member of the gang ended. */
    GangBroken = "gang-broken",
    /** Not all members of the gang started before the timeout. */
    GangIncomplete = "gang-incomplete",
    NotStarted = "not-started",
}

/** A run that a backend server executes. */
export interface ReportedRun {
    task: string;
    run: number;
    /** Last saved progress; empty for none. */
    checkpoint: string;
    /** Completed share of the work; 100 for a standing task that is in operation. */
    progressPercent: number;
    /**
     * Measured over the last half second: tail latency in milliseconds for a standing task, CPU usage in millicores for
     * any other task.
     */
    measurement: number | undefined;
}

/** The end of a run. Heartbeats repeat it until it is acknowledged. */
export interface ReportedEnd {
    sequence: number;
    task: string;
    run: number;
    end: RunEnd;
    checkpoint: string;
}

/** A backend server's report about itself. */
export interface HeartbeatReport {
    serverId: string;
    /** Start time of the server; distinguishes a restarted server from the one before. */
    incarnation: number;
    /** Increases with each report of an incarnation. */
    sequence: number;
    /** Monotonic clock of the server when it sent the report; undefined when unknown. */
    clockMs: number | undefined;
    /** The VM that the server runs on; empty when unknown. */
    vmId: string;
    service: string;
    availabilityZone: string;
    rack: string;
    labels: string[];
    capacity: Amounts;
    isDraining: boolean;
    /** Minimum time until a draining server exits; undefined when unknown. */
    remainingMs: number | undefined;
    running: ReportedRun[];
    ended: ReportedEnd[];
    /**
     * Whether the server may have ended further runs that `ended` has no room for. A run that is listed nowhere then may have
     * ended. Undefined in reports that a follower of a former version passes on.
     */
    mayHaveMoreEnds?: boolean;
}

/** An order to start a run. */
export interface StartOrder {
    task: string;
    run: number;
    payload: string;
    checkpoint: string;
    /** Approval of the eligibility service; undefined where the queue needs none. */
    eligibilityToken: string | undefined;
}

/** An order to stop a run. */
export interface StopOrder {
    task: string;
    run: number;
}

/** An order to continue a run at a percentage of full speed. */
export interface PaceOrder {
    task: string;
    run: number;
    pacePercent: number;
}

/** Answer to a heartbeat. */
export interface HeartbeatOrders {
    /** The leases of all runs are extended to end this long after the heartbeat was sent. */
    leaseMs: number;
    /** Ends with sequence numbers up to this one are recorded durably. */
    acknowledgedEnd: number;
    /** The server ignores orders whose term is lower than the highest that it has received. */
    term: number;
    starts: StartOrder[];
    stops: StopOrder[];
    paces: PaceOrder[];
    /** Delay between this answer and the next heartbeat. */
    nextHeartbeatMs: number;
}
