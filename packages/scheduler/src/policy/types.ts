import type { HealthState, JobSpecification, Quota, Reason, Resources, WorkKind } from "@waxwingspread/protocol";

/** Class of work of one customer, as `customer/className`. */
export type ClassKey = string;

/** Identifies an attempt across jobs. */
export type TaskKey = string;

/** What placement knows of a backend server. */
export interface ServerView {
    backendServerId: string;
    availabilityZone: string;
    rack: string;
    capacity: Resources;
    slots: number;
    /** False while the server is leaving, silent, quarantined or in a zone that is out of service. */
    placeable: boolean;
    /** Greatest number of tasks at present; below `slots` while the server recovers or its zone returns. */
    slotLimit: number;
    /** Accepts one repeatable task to find out whether it works again. */
    probing: boolean;
}

/** A task that holds capacity on a backend server. */
export interface PlacedTask {
    taskKey: TaskKey;
    customer: string;
    classKey: ClassKey;
    workKind: WorkKind;
    reserved: Resources;
    placedAtMs: number;
    repeatable: boolean;
    throttled: boolean;
    /** Asked to stop; can't be chosen as a victim again. */
    stopping: boolean;
}

/** What is to be placed. */
export interface PlacementQuery {
    customer: string;
    classKey: ClassKey;
    workKind: WorkKind;
    reserved: Resources;
    repeatable: boolean;
    /** Servers on which the job has failed already. */
    excludedServerIds: readonly string[];
    /** Zones and racks that hold tasks of the same class, for spreading standing work. */
    spreadAway: readonly string[];
    /** Zero where the class has no target. */
    latencyTargetMs: number;
}

/** The chosen backend server. */
export interface Placement {
    backendServerId: string;
    /** Sentence for operators: why this one. */
    explanation: string;
}

/** Tasks to stop so that an urgent task finds a place. */
export interface Preemption {
    backendServerId: string;
    victims: TaskKey[];
    explanation: string;
}

/** Chooses places. The cost of one decision must not grow with the number of servers. */
export interface PlacementPolicy {
    upsertServer(server: ServerView): void;
    removeServer(backendServerId: string): void;
    occupy(backendServerId: string, task: PlacedTask): void;
    release(backendServerId: string, taskKey: TaskKey): void;
    /** Returns undefined where nothing fits at present. Ties are broken repeatably. */
    choose(query: PlacementQuery, nowMs: number): Placement | undefined;
    /** Batch tasks to evict for latency-critical or standing work; undefined where that can't help. */
    choosePreemption(query: PlacementQuery, nowMs: number): Preemption | undefined;
    /** True where some known server, empty, could hold it. */
    couldEverFit(reserved: Resources): boolean;
}

/** Speed of one task as measured at a past moment. */
export interface SpeedSample {
    taskKey: TaskKey;
    backendServerId: string;
    /** Leader's time of the measurement, derived from the backend server's clock. */
    measuredAtMs: number;
    used: Resources;
    /** Progress per second over that on an idle VM, from 0 to 1. */
    speedRatio: number;
}

/** What to do to a task that harms its neighbours or uses more than it reserved. */
export enum MitigationKind {
    Throttle = "throttle",
    Unthrottle = "unthrottle",
    Evict = "evict",
}

/** One step of mitigation. */
export interface Mitigation {
    kind: MitigationKind;
    backendServerId: string;
    taskKey: TaskKey;
    reason: Reason;
    explanation: string;
}

/** Learns from measurements and protects latency-critical work. */
export interface InterferencePolicy {
    /** Occupancy as of now; remembered so that late samples are credited to the right neighbours. */
    occupied(backendServerId: string, task: PlacedTask, nowMs: number): void;
    released(backendServerId: string, taskKey: TaskKey, nowMs: number): void;
    observe(sample: SpeedSample, nowMs: number): void;
    /** Slowdown factor (1 = none) expected for a class beside the given neighbours. */
    expectedSlowdown(classKey: ClassKey, neighbours: readonly ClassKey[], nowMs: number): {
        mean: number;
        uncertainty: number;
    };
    evaluate(nowMs: number): Mitigation[];
}

/** Reservations from observed use. */
export interface ReservationPolicy {
    observe(classKey: ClassKey, used: Resources): void;
    reserve(classKey: ClassKey, declared: Resources): Resources;
    /** Expected run time of the class, from those that completed. */
    observeRunTime(classKey: ClassKey, runTimeMs: number): void;
    expectedRunTimeMs(classKey: ClassKey, declaredMs: number): number;
}

/** A queued job as fair sharing sees it. */
export interface QueuedJob {
    jobKey: string;
    customer: string;
    classKey: ClassKey;
    workKind: WorkKind;
    reserved: Resources;
    queuedAtMs: number;
    notBeforeMs: number;
    deadlineMs: number;
    latencyTargetMs: number;
}

/** Limits of a customer as fair sharing sees them. */
export interface CustomerLimits {
    customer: string;
    quota: Quota;
    weight: number;
    latencyCriticalShare: number;
    batchShare: number;
}

/** Orders the queues and tells what may run within the quotas. */
export interface FairSharePolicy {
    setCustomer(limits: CustomerLimits): void;
    removeCustomer(customer: string): void;
    setFleetCapacity(capacity: Resources): void;
    started(customer: string, workKind: WorkKind, taskKey: TaskKey, reserved: Resources): void;
    ended(customer: string, taskKey: TaskKey): void;
    enqueue(job: QueuedJob): void;
    dequeue(jobKey: string): void;
    /** Jobs to try next, most deserving first, at most `limit`; latency-critical before standing before batch. */
    next(nowMs: number, limit: number): QueuedJob[];
    /** Undefined where the customer may start it now, otherwise the reason why not. */
    blockedBy(job: QueuedJob): Reason | undefined;
    /** Tasks to evict, in order, so that a customer below its quota gets back what others borrowed. */
    reclaim(nowMs: number, limit: number): { taskKey: TaskKey; explanation: string }[];
    queuedCount(customer: string): number;
}

/** Outcome of admission. */
export interface Admission {
    admitted: boolean;
    reason?: Reason;
    retryAfterMs?: number;
    detail?: string;
}

/** Refuses early what can't be met. */
export interface AdmissionPolicy {
    setCustomer(limits: CustomerLimits): void;
    removeCustomer(customer: string): void;
    admit(specification: JobSpecification, job: QueuedJob, expectedWaitMs: number, nowMs: number): Admission;
}

/** Delays and budgets of retries. */
export interface RetryPolicy {
    setCustomer(limits: CustomerLimits): void;
    nextDelayMs(attemptsMade: number): number;
    /** Takes one retry from the customer's budget; false where it is spent. */
    spend(customer: string, nowMs: number): boolean;
}

/** A change of a server's health that the scheduler records. */
export interface HealthChange {
    backendServerId: string;
    health: HealthState;
    consecutiveFailures: number;
    /** Slots usable in this state. */
    slotLimit: number;
}

/** Tells faulty servers from faulty jobs. */
export interface HealthPolicy {
    register(backendServerId: string, slots: number, health: HealthState, consecutiveFailures: number): void;
    forget(backendServerId: string): void;
    failed(backendServerId: string, jobKey: string, nowMs: number): HealthChange | undefined;
    succeeded(backendServerId: string, nowMs: number): HealthChange | undefined;
    /** Changes that are due by time alone, such as the start of a probe. */
    due(nowMs: number): HealthChange[];
    slotLimit(backendServerId: string): number;
}

/** Order and rate in which a zone is emptied and filled. */
export interface ZonePolicy {
    zoneOut(availabilityZone: string, drainDeadlineMs: number, nowMs: number): void;
    zoneBack(availabilityZone: string, nowMs: number): void;
    /** From the tasks still running in zones that are out, those to stop now, within the rate. */
    nextToStop(tasks: readonly PlacedTask[], nowMs: number): TaskKey[];
    /** Share of a zone's slots that may be filled now, from 0 to 1. */
    fillRatio(availabilityZone: string, nowMs: number): number;
    /** Zones whose return is complete. */
    returned(nowMs: number): string[];
}

/** All policies of one scheduler. */
export interface PolicySet {
    placement: PlacementPolicy;
    interference: InterferencePolicy;
    reservation: ReservationPolicy;
    fairShare: FairSharePolicy;
    admission: AdmissionPolicy;
    retry: RetryPolicy;
    health: HealthPolicy;
    zone: ZonePolicy;
}
