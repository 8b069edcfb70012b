import type { SeededRandom } from "@waxwingspread/common";
import { HealthState, Reason, WorkKind } from "@waxwingspread/protocol";
import type { JobSpecification, Resources } from "@waxwingspread/protocol";
import { addResources, fitsWithin, NO_RESOURCES, scaleResources } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { TokenBucket } from "../timing/token-bucket.js";
import { setBucket } from "../timing/token-bucket.js";
import { BasicZonePolicy } from "./basic-zone-policy.js";
import type {
    Admission,
    AdmissionPolicy,
    CustomerLimits,
    FairSharePolicy,
    HealthChange,
    HealthPolicy,
    InterferencePolicy,
    PlacedTask,
    Placement,
    PlacementPolicy,
    PlacementQuery,
    PolicySet,
    Preemption,
    QueuedJob,
    ReservationPolicy,
    RetryPolicy,
    ServerView,
    TaskKey,
} from "./types.js";

/** Order in which {@link createBasicPolicies} prefers servers with enough free capacity. */
export enum BasicPlacement {
    FirstFit = "first-fit",
    LeastLoaded = "least-loaded",
}

const FAILURES_BEFORE_QUARANTINE = 3;
const MAXIMUM_QUARANTINED_RATIO = 0.2;
const QUARANTINE_MS = 30_000;
const FIRST_RETRY_DELAY_MS = 200;
const MAXIMUM_RETRY_DELAY_MS = 30_000;
const MAXIMUM_BACKOFF_EXPONENT = 10;

interface ServerLoad {
    view: ServerView;
    tasks: Map<TaskKey, PlacedTask>;
    used: ResourceAmounts;
}

/** Scans all servers for each decision, so that its cost grows with the fleet. Only a baseline and for tests. */
class BasicPlacementPolicy implements PlacementPolicy {
    readonly #servers = new Map<string, ServerLoad>();
    readonly #order: BasicPlacement;

    constructor(order: BasicPlacement) {
        this.#order = order;
    }

    upsertServer(server: ServerView): void {
        const known = this.#servers.get(server.backendServerId);
        if (known === undefined) {
            this.#servers.set(server.backendServerId, { view: server, tasks: new Map(), used: NO_RESOURCES });
            return;
        }
        known.view = server;
    }

    removeServer(backendServerId: string): void {
        this.#servers.delete(backendServerId);
    }

    occupy(backendServerId: string, task: PlacedTask): void {
        const server = this.#servers.get(backendServerId);
        if (server !== undefined) {
            this.release(backendServerId, task.taskKey);
            server.tasks.set(task.taskKey, task);
            server.used = addResources(server.used, task.reserved);
        }
    }

    release(backendServerId: string, taskKey: TaskKey): void {
        const server = this.#servers.get(backendServerId);
        const task = server?.tasks.get(taskKey);
        if (server !== undefined && task !== undefined) {
            server.tasks.delete(taskKey);
            server.used = addResources(server.used, task.reserved, -1);
        }
    }

    choose(query: PlacementQuery): Placement | undefined {
        let best: ServerLoad | undefined;
        for (const server of this.#servers.values()) {
            if (
                this.#isEligible(server, query)
                && isWithinCapacity(server, query.reserved, server.used, server.tasks.size)
            ) {
                best = best === undefined || this.#precedes(server, best, query) ? server : best;
            }
        }
        return best && {
            backendServerId: best.view.backendServerId,
            explanation: `${this.#order} among those with room`,
        };
    }

    choosePreemption(query: PlacementQuery): Preemption | undefined {
        let best: Preemption | undefined;
        for (const server of this.#servers.values()) {
            const victims = this.#isEligible(server, query) ? selectVictims(server, query.reserved) : undefined;
            if (victims !== undefined && (best === undefined || victims.length < best.victims.length)) {
                const { backendServerId } = server.view;
                best = { backendServerId, victims, explanation: "fewest batch tasks to evict" };
            }
        }
        return best;
    }

    couldEverFit(reserved: Resources): boolean {
        return [...this.#servers.values()].some(({ view }) => fitsWithin(reserved, view.capacity));
    }

    #isEligible({ view, tasks }: ServerLoad, query: PlacementQuery): boolean {
        const isProbeAllowed = !view.probing || query.repeatable && tasks.size === 0;
        return view.placeable && isProbeAllowed && !query.excludedServerIds.includes(view.backendServerId);
    }

    #precedes(a: ServerLoad, b: ServerLoad, query: PlacementQuery): boolean {
        const spreadDifference = spreadRank(a, query) - spreadRank(b, query);
        const loadDifference = this.#order === BasicPlacement.LeastLoaded ? loadRatio(a) - loadRatio(b) : 0;
        return spreadDifference < 0 || spreadDifference === 0
                && (loadDifference < 0 || loadDifference === 0 && a.view.backendServerId < b.view.backendServerId);
    }
}

const loadRatio = ({ view, used }: ServerLoad): number =>
    Math.max(used.cpuMillicores / view.capacity.cpuMillicores, used.memoryMebibytes / view.capacity.memoryMebibytes);

const spreadRank = ({ view }: ServerLoad, { avoidedDomains }: PlacementQuery): number =>
    Number(avoidedDomains.includes(view.availabilityZone)) + Number(avoidedDomains.includes(view.rack));

const isWithinCapacity = ({ view }: ServerLoad, reserved: Resources, used: ResourceAmounts, tasks: number): boolean =>
    tasks < view.slotLimit && fitsWithin(addResources(used, reserved), view.capacity);

/**
 * Selects batch tasks to evict, repeatable ones first, then the most recent; undefined if all are not enough.
 * Capacity of tasks that are already stopping counts as free.
 */
const selectVictims = (server: ServerLoad, reserved: Resources): TaskKey[] | undefined => {
    const stopping = [...server.tasks.values()].filter(task => task.stopping);
    let used = stopping.reduce((total, task) => addResources(total, task.reserved, -1), server.used);
    let tasks = server.tasks.size - stopping.length;
    const candidates = [...server.tasks.values()]
        .filter(task => task.workKind === WorkKind.BATCH && !task.stopping)
        .sort((a, b) => Number(b.repeatable) - Number(a.repeatable) || b.placedAtMs - a.placedAtMs);
    const victims: TaskKey[] = [];
    for (const task of candidates) {
        if (isWithinCapacity(server, reserved, used, tasks)) {
            break;
        }
        used = addResources(used, task.reserved, -1);
        tasks -= 1;
        victims.push(task.taskKey);
    }
    return isWithinCapacity(server, reserved, used, tasks) ? victims : undefined;
};

/** Ignores interference: expects no slowdown and never mitigates. */
class BasicInterferencePolicy implements InterferencePolicy {
    taskPlaced(): void {
        return undefined;
    }

    taskReleased(): void {
        return undefined;
    }

    observe(): void {
        return undefined;
    }

    expectedSlowdown(): { mean: number; uncertainty: number } {
        return { mean: 1, uncertainty: 0 };
    }

    evaluate(): [] {
        return [];
    }
}

/** Uses the declared amounts and run times unchanged. */
class BasicReservationPolicy implements ReservationPolicy {
    observe(): void {
        return undefined;
    }

    reserve(unusedClassKey: string, declared: Resources): Resources {
        return declared;
    }

    observeRunTime(): void {
        return undefined;
    }

    expectedRunTimeMs(unusedClassKey: string, declaredMs: number): number {
        return declaredMs;
    }
}

interface CustomerUsage {
    tasks: Map<TaskKey, { workKind: WorkKind; reserved: Resources }>;
    byKind: Map<WorkKind, ResourceAmounts>;
}

const WORK_KINDS_BY_PRIORITY = [WorkKind.LATENCY_CRITICAL, WorkKind.STANDING, WorkKind.BATCH];

/** First in, first out within each work kind. Customers cannot exceed their quotas, so nothing is reclaimed. */
class BasicFairSharePolicy implements FairSharePolicy {
    readonly #limits = new Map<string, CustomerLimits>();
    readonly #usageByCustomer = new Map<string, CustomerUsage>();
    readonly #queues = new Map(WORK_KINDS_BY_PRIORITY.map(kind => [kind, new Map<string, QueuedJob>()]));

    setCustomer(limits: CustomerLimits): void {
        this.#limits.set(limits.customer, limits);
    }

    removeCustomer(customer: string): void {
        this.#limits.delete(customer);
    }

    setFleetCapacity(): void {
        return undefined;
    }

    taskStarted(customer: string, workKind: WorkKind, taskKey: TaskKey, reserved: Resources): void {
        const usage = this.#usageByCustomer.get(customer) ?? { tasks: new Map(), byKind: new Map() };
        this.#usageByCustomer.set(customer, usage);
        usage.tasks.set(taskKey, { workKind, reserved });
        usage.byKind.set(workKind, addResources(usage.byKind.get(workKind) ?? NO_RESOURCES, reserved));
    }

    taskEnded(customer: string, taskKey: TaskKey): void {
        const usage = this.#usageByCustomer.get(customer);
        const task = usage?.tasks.get(taskKey);
        if (usage !== undefined && task !== undefined) {
            usage.tasks.delete(taskKey);
            usage.byKind.set(
                task.workKind,
                addResources(usage.byKind.get(task.workKind) ?? NO_RESOURCES, task.reserved, -1),
            );
        }
    }

    enqueue(job: QueuedJob): void {
        this.#queues.get(job.workKind)?.set(job.jobKey, job);
    }

    dequeue(jobKey: string): void {
        this.#queues.forEach(queue => queue.delete(jobKey));
    }

    next(nowMs: number, limit: number): QueuedJob[] {
        const chosen: QueuedJob[] = [];
        for (const kind of WORK_KINDS_BY_PRIORITY) {
            for (const job of this.#queues.get(kind)?.values() ?? []) {
                if (chosen.length >= limit) {
                    return chosen;
                }
                if (job.notBeforeMs <= nowMs && this.blockingReason(job) === undefined) {
                    chosen.push(job);
                }
            }
        }
        return chosen;
    }

    blockingReason(job: QueuedJob): Reason | undefined {
        const limits = this.#limits.get(job.customer);
        if (limits === undefined) {
            return Reason.CUSTOMER_REMOVED;
        }
        const usage = this.#usageByCustomer.get(job.customer);
        const sum = (kinds: readonly WorkKind[]): ResourceAmounts =>
            kinds.map(kind => usage?.byKind.get(kind) ?? NO_RESOURCES)
                .reduce((total, used) => addResources(total, used), job.reserved as ResourceAmounts);
        const quota = limits.quota.resources ?? NO_RESOURCES;
        const shares = new Map([
            [WorkKind.LATENCY_CRITICAL, limits.latencyCriticalShare],
            [WorkKind.BATCH, limits.batchShare],
        ]);
        const isWithinQuota = (usage?.tasks.size ?? 0) < limits.quota.concurrentTasks
            && fitsWithin(sum(WORK_KINDS_BY_PRIORITY), quota)
            && fitsWithin(sum([job.workKind]), scaleResources(quota, shares.get(job.workKind) ?? 1));
        return isWithinQuota ? undefined : Reason.QUOTA_IN_USE;
    }

    selectReclaimVictims(): [] {
        return [];
    }

    queuedCount(customer: string): number {
        return [...this.#queues.values()].flatMap(queue => [...queue.values()])
            .filter(job => job.customer === customer).length;
    }
}

/** Limits the submission rate and refuses deadlines that the expected wait and declared run time exceed. */
class BasicAdmissionPolicy implements AdmissionPolicy {
    readonly #buckets = new Map<string, TokenBucket>();

    setCustomer({ customer, quota }: CustomerLimits): void {
        setBucket(this.#buckets, customer, quota.submissionsPerSecond, Math.max(1, quota.submissionBurst));
    }

    removeCustomer(customer: string): void {
        this.#buckets.delete(customer);
    }

    admit(specification: JobSpecification, job: QueuedJob, expectedWaitMs: number, nowMs: number): Admission {
        const bucket = this.#buckets.get(job.customer);
        if (bucket !== undefined && !bucket.take(nowMs)) {
            return {
                admitted: false,
                reason: Reason.RATE_EXCEEDED,
                retryAfterMs: Math.ceil(1_000 / Math.max(bucket.perSecond, 0.001)),
            };
        }
        const earliestEndMs = nowMs + expectedWaitMs + specification.declaredRunTimeMs;
        if (job.deadlineMs > 0 && earliestEndMs > job.deadlineMs) {
            return { admitted: false, reason: Reason.DEADLINE_UNREACHABLE, retryAfterMs: expectedWaitMs };
        }
        return { admitted: true };
    }
}

/** Exponential backoff with jitter, and a retry budget for each customer. */
class BasicRetryPolicy implements RetryPolicy {
    readonly #buckets = new Map<string, TokenBucket>();
    readonly #random: SeededRandom;

    constructor(random: SeededRandom) {
        this.#random = random;
    }

    setCustomer({ customer, quota }: CustomerLimits): void {
        setBucket(this.#buckets, customer, quota.retriesPerMinute / 60, quota.retriesPerMinute);
    }

    nextDelayMs(attemptsMade: number): number {
        const exponent = Math.min(Math.max(attemptsMade - 1, 0), MAXIMUM_BACKOFF_EXPONENT);
        return Math.min(FIRST_RETRY_DELAY_MS * 2 ** exponent, MAXIMUM_RETRY_DELAY_MS)
            * (0.5 + this.#random.nextRatio());
    }

    tryTakeRetry(customer: string, nowMs: number): boolean {
        return this.#buckets.get(customer)?.take(nowMs) ?? false;
    }
}

interface ServerHealth {
    slots: number;
    health: HealthState;
    failures: number;
    failedJobs: Set<string>;
    quarantinedUntilMs: number;
}

/** Quarantines a server after three consecutive failures of different jobs; one successful probe restores it. */
class BasicHealthPolicy implements HealthPolicy {
    readonly #servers = new Map<string, ServerHealth>();

    register(backendServerId: string, slots: number, health: HealthState, consecutiveFailures: number): void {
        const { quarantinedUntilMs = 0, failedJobs = new Set<string>() } = this.#servers.get(backendServerId) ?? {};
        const failures = consecutiveFailures;
        this.#servers.set(backendServerId, { slots, health, failures, failedJobs, quarantinedUntilMs });
    }

    unregister(backendServerId: string): void {
        this.#servers.delete(backendServerId);
    }

    failed(backendServerId: string, jobKey: string, nowMs: number): HealthChange | undefined {
        const server = this.#servers.get(backendServerId);
        if (server === undefined || server.health === HealthState.QUARANTINED || server.failedJobs.has(jobKey)) {
            return undefined;
        }
        server.failedJobs.add(jobKey);
        server.failures += 1;
        const isFaulty = server.health === HealthState.PROBING || server.failures >= FAILURES_BEFORE_QUARANTINE;
        if (isFaulty && this.#canQuarantine()) {
            server.health = HealthState.QUARANTINED;
            server.quarantinedUntilMs = nowMs + QUARANTINE_MS;
        }
        return this.#toHealthChange(backendServerId, server);
    }

    succeeded(backendServerId: string): HealthChange | undefined {
        const server = this.#servers.get(backendServerId);
        if (server === undefined || server.health === HealthState.QUARANTINED) {
            return undefined;
        }
        const hasChanged = server.failures > 0 || server.health !== HealthState.HEALTHY;
        server.failures = 0;
        server.failedJobs.clear();
        server.health = HealthState.HEALTHY;
        return hasChanged ? this.#toHealthChange(backendServerId, server) : undefined;
    }

    applyDueChanges(nowMs: number): HealthChange[] {
        const changes: HealthChange[] = [];
        for (const [id, server] of this.#servers) {
            if (server.health === HealthState.QUARANTINED && nowMs >= server.quarantinedUntilMs) {
                server.health = HealthState.PROBING;
                server.failedJobs.clear();
                changes.push(this.#toHealthChange(id, server));
            }
        }
        return changes;
    }

    slotLimit(backendServerId: string): number {
        const server = this.#servers.get(backendServerId);
        const limits = new Map([[HealthState.QUARANTINED, 0], [HealthState.PROBING, 1]]);
        return server === undefined ? 0 : limits.get(server.health) ?? server.slots;
    }

    #canQuarantine(): boolean {
        const quarantined = [...this.#servers.values()].filter(({ health }) => health === HealthState.QUARANTINED);
        return quarantined.length < Math.max(1, Math.floor(this.#servers.size * MAXIMUM_QUARANTINED_RATIO));
    }

    #toHealthChange(backendServerId: string, { health, failures }: ServerHealth): HealthChange {
        const slotLimit = this.slotLimit(backendServerId);
        return { backendServerId, health, consecutiveFailures: failures, slotLimit };
    }
}

/** Creates the simplest correct policies, for use as a baseline and in tests. */
export const createBasicPolicies = (
    random: SeededRandom,
    placement: BasicPlacement = BasicPlacement.LeastLoaded,
): PolicySet => ({
    placement: new BasicPlacementPolicy(placement),
    interference: new BasicInterferencePolicy(),
    reservation: new BasicReservationPolicy(),
    fairShare: new BasicFairSharePolicy(),
    admission: new BasicAdmissionPolicy(),
    retry: new BasicRetryPolicy(random),
    health: new BasicHealthPolicy(),
    zone: new BasicZonePolicy(),
});
