import type { Amounts } from "./specification.js";

/** How a run ended, as reported by its backend server. */
export enum RunEnd {
    Done = "done",
    Failed = "failed",
    Stopped = "stopped",
    LeaseExpired = "lease-expired",
    /** Another member of the gang ended. */
    GangBroken = "gang-broken",
    /** The other members of the gang didn't arrive in time. */
    GangIncomplete = "gang-incomplete",
    NotStarted = "not-started",
}

/** A run that a backend server executes. */
export interface ReportedRun {
    task: string;
    run: number;
    /** Last saved progress; empty for none. */
    checkpoint: string;
    /** Share of the work that is done, or 100 for a standing task that is at work. */
    progressPercent: number;
    /** Tail response time in ms of a standing task, processor use in millicores of any other, last half second. */
    measurement: number | undefined;
}

/** The end of a run, repeated until it is acknowledged. */
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
    /** Time of the server's start; distinguishes its lives. */
    incarnation: number;
    /** Rises with each report of one incarnation. */
    sequence: number;
    /** The VM that the server runs on; empty when unknown. */
    vmId: string;
    service: string;
    availabilityZone: string;
    rack: string;
    labels: string[];
    capacity: Amounts;
    isDraining: boolean;
    /** Least time until a draining server leaves. */
    remainingMs: number | undefined;
    running: ReportedRun[];
    ended: ReportedEnd[];
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

/** An order to work at a share of full speed. */
export interface PaceOrder {
    task: string;
    run: number;
    pacePercent: number;
}

/** Answer to a heartbeat. */
export interface HeartbeatOrders {
    /** Leases of all runs are extended to this long after the heartbeat was sent. */
    leaseMs: number;
    /** Ends up to this sequence are recorded durably. */
    acknowledgedEnd: number;
    /** Orders of a lower term than the server has seen have no effect. */
    term: number;
    starts: StartOrder[];
    stops: StopOrder[];
    paces: PaceOrder[];
    nextHeartbeatMs: number;
}
