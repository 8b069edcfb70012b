import type { HealthState, JobSpecification, Quota, Reason, Resources, WorkKind } from "@waxwingspread/protocol";

/** Identifies a customer's work class, as `customer/className`. */
export type ClassKey = string;

/** Identifies one attempt of one job; unique across all jobs. */
export type TaskKey = string;

/** A backend server as placement policies see it. */
export interface ServerView {
    backendServerId: string;
    availabilityZone: string;
    rack: string;
    capacity: Resources;
    slots: number;
    /** False while the server is leaving, unresponsive, quarantined or in a zone that is out of service. */
    placeable: boolean;
    /** Current upper bound on the number of tasks; below `slots` while the server or its zone returns to service. */
    slotLimit: number;
    /** True while the server accepts a single repeatable task that tests whether it works again. */
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
    /** True once the task was asked to stop; it cannot be selected for eviction again. */
    stopping: boolean;
}

/** A task that needs a backend server, and the constraints on the choice. */
export interface PlacementQuery {
    customer: string;
    classKey: ClassKey;
    workKind: WorkKind;
    reserved: Resources;
    repeatable: boolean;
    /** Servers on which the job has already failed. */
    excludedServerIds: readonly string[];
    /** Zones and racks that already hold tasks of the same class; avoided in order to spread standing work. */
    avoidedDomains: readonly string[];
    /** Zero if the class has no latency target. */
    latencyTargetMs: number;
}

/** The backend server chosen for a task. */
export interface Placement {
    backendServerId: string;
    /** States the reason for the choice, for operators. */
    explanation: string;
}

/** Batch tasks to evict from one backend server to free capacity for latency-critical or standing work. */
export interface Preemption {
    backendServerId: string;
    victims: TaskKey[];
    explanation: string;
}

/** Assigns tasks to backend servers. The cost of one decision must not grow with the number of servers. */
export interface PlacementPolicy {
    upsertServer(server: ServerView): void;
    removeServer(backendServerId: string): void;
    occupy(backendServerId: string, task: PlacedTask): void;
    release(backendServerId: string, taskKey: TaskKey): void;
    /** Returns undefined if the task fits on no server at present. Ties are broken deterministically. */
    choose(query: PlacementQuery, nowMs: number): Placement | undefined;
    /** Selects batch tasks to evict for latency-critical or standing work; undefined if no eviction makes it fit. */
    choosePreemption(query: PlacementQuery, nowMs: number): Preemption | undefined;
    /** Returns true if the reservation fits on at least one known server when that server is empty. */
    couldEverFit(reserved: Resources): boolean;
}

/** A measurement of a task's speed and resource usage. */
export interface SpeedSample {
    taskKey: TaskKey;
    backendServerId: string;
    /** Time of the measurement on the leader's clock, derived from the backend server's clock. */
    measuredAtMs: number;
    used: Resources;
    /** Progress per second relative to that on an idle VM, from 0 to 1. */
    speedRatio: number;
}

/** Action on a task that slows its neighbours or exceeds its reservation. */
export enum MitigationKind {
    Throttle = "throttle",
    Unthrottle = "unthrottle",
    Evict = "evict",
}

/** An action on one task, with its reason. */
export interface Mitigation {
    kind: MitigationKind;
    backendServerId: string;
    taskKey: TaskKey;
    reason: Reason;
    explanation: string;
}

/** Estimates interference from measurements and protects latency-critical work from it. */
export interface InterferencePolicy {
    /** Records that a task holds capacity or has changed, so that late samples are matched to the right neighbours. */
    taskPlaced(backendServerId: string, task: PlacedTask, nowMs: number): void;
    taskReleased(backendServerId: string, taskKey: TaskKey, nowMs: number): void;
    observe(sample: SpeedSample, nowMs: number): void;
    /** Expected slowdown factor (1 = none) of a class that shares a VM with the given neighbours. */
    expectedSlowdown(classKey: ClassKey, neighbours: readonly ClassKey[], nowMs: number): {
        mean: number;
        uncertainty: number;
    };
    /** Returns the actions that are due now. */
    evaluate(nowMs: number): Mitigation[];
}

/** Derives reservations and expected run times from observed usage. */
export interface ReservationPolicy {
    observe(classKey: ClassKey, used: Resources): void;
    reserve(classKey: ClassKey, declared: Resources): Resources;
    /** Records the run time of a completed task of the class. */
    observeRunTime(classKey: ClassKey, runTimeMs: number): void;
    expectedRunTimeMs(classKey: ClassKey, declaredMs: number): number;
}

/** A queued job as fair-share policies see it. */
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

/** A customer's quota, weight and shares, taken from its contract. */
export interface CustomerLimits {
    customer: string;
    quota: Quota;
    /** Fair-share weight relative to other customers. */
    weight: number;
    /** Part of the quota that latency-critical work may use. */
    latencyCriticalShare: number;
    /** Part of the quota that batch work may use. */
    batchShare: number;
}

/** Orders queued jobs by fair share and enforces the quotas. */
export interface FairSharePolicy {
    setCustomer(limits: CustomerLimits): void;
    removeCustomer(customer: string): void;
    setFleetCapacity(capacity: Resources): void;
    taskStarted(customer: string, workKind: WorkKind, taskKey: TaskKey, reserved: Resources): void;
    taskEnded(customer: string, taskKey: TaskKey): void;
    enqueue(job: QueuedJob): void;
    dequeue(jobKey: string): void;
    /**
     * Returns at most `limit` jobs to try next: latency-critical before standing before batch, and within each kind
     * in fair-share order.
     */
    next(nowMs: number, limit: number): QueuedJob[];
    /** Returns undefined if the customer may start the job now, otherwise the reason why not. */
    blockingReason(job: QueuedJob): Reason | undefined;
    /** Selects tasks to evict, in order, so that a customer below its quota regains capacity that others borrowed. */
    selectReclaimVictims(nowMs: number, limit: number): { taskKey: TaskKey; explanation: string }[];
    queuedCount(customer: string): number;
}

/** Decision on a submitted job; a refusal carries a reason. */
export interface Admission {
    admitted: boolean;
    reason?: Reason;
    retryAfterMs?: number;
    detail?: string;
}

/** Refuses jobs on submission that cannot be run in time or within the customer's limits. */
export interface AdmissionPolicy {
    setCustomer(limits: CustomerLimits): void;
    removeCustomer(customer: string): void;
    admit(specification: JobSpecification, job: QueuedJob, expectedWaitMs: number, nowMs: number): Admission;
}

/** Computes retry delays and limits the number of retries for each customer. */
export interface RetryPolicy {
    setCustomer(limits: CustomerLimits): void;
    nextDelayMs(attemptsMade: number): number;
    /** Takes one retry from the customer's budget; returns false if the budget is exhausted. */
    tryTakeRetry(customer: string, nowMs: number): boolean;
}

/** A new health state of a server, which the scheduler records. */
export interface HealthChange {
    backendServerId: string;
    health: HealthState;
    consecutiveFailures: number;
    /** Number of slots that may be used in this state. */
    slotLimit: number;
}

/** Detects faulty servers by the failures of different jobs, and quarantines and probes them. */
export interface HealthPolicy {
    register(backendServerId: string, slots: number, health: HealthState, consecutiveFailures: number): void;
    unregister(backendServerId: string): void;
    failed(backendServerId: string, jobKey: string, nowMs: number): HealthChange | undefined;
    succeeded(backendServerId: string, nowMs: number): HealthChange | undefined;
    /** Applies and returns changes that do not depend on a task's outcome, such as the start of a probe. */
    applyDueChanges(nowMs: number): HealthChange[];
    /** Number of slots that may be used in the server's current state; zero for unknown servers. */
    slotLimit(backendServerId: string): number;
}

/** Controls the order and rate in which an availability zone is drained and refilled. */
export interface ZonePolicy {
    /** Starts draining a zone; `drainDeadlineMs` is a point in time. */
    startDrain(availabilityZone: string, drainDeadlineMs: number, nowMs: number): void;
    /** Starts refilling a zone. */
    startRefill(availabilityZone: string, nowMs: number): void;
    /** Selects tasks to stop now, within the rate limit, from those in zones out of service and on leaving servers. */
    selectTasksToStop(tasks: readonly PlacedTask[], nowMs: number): TaskKey[];
    /** Share of a zone's slots that may be filled now, from 0 to 1. */
    fillRatio(availabilityZone: string, nowMs: number): number;
    /** Returns each zone once, when its refill is complete. */
    takeRefilledZones(nowMs: number): string[];
}

/** The policies that a scheduler uses. */
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
