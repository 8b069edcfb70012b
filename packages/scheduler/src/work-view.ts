import { jobKeyOf } from "@waxwingspread/common";
import type { JobKey } from "@waxwingspread/common";
import { AttemptState, HealthState, JobState, WorkKind, ZoneState } from "@waxwingspread/protocol";
import type { BackendServer, Contract, Job, Resources } from "@waxwingspread/protocol";
import { specificationOf } from "./decision.js";
import type { Decision } from "./decision.js";
import type { CustomerLimits, PlacedTask, PlacementQuery, QueuedJob, ServerView } from "./policy/types.js";
import type { BackendClocks } from "./servers/backend-clocks.js";
import { addResources, NO_RESOURCES, toResources } from "./state/resources.js";
import type { ResourceAmounts } from "./state/resources.js";
import { heldAttempt } from "./state/usage.js";

const TASK_SEPARATOR = "\u0001";

/** Returns the key by which the policies identify an attempt. */
export const taskKeyOf = (jobKey: JobKey, attemptNumber: number): string =>
    `${jobKey}${TASK_SEPARATOR}${attemptNumber}`;

/** Splits a task key into the job key and the attempt number. */
export const parseTaskKey = (taskKey: string): { jobKey: JobKey; attemptNumber: number } => {
    const position = taskKey.lastIndexOf(TASK_SEPARATOR);
    return { jobKey: taskKey.slice(0, position), attemptNumber: Number(taskKey.slice(position + 1)) };
};

const limitsOf = (contract: Contract): CustomerLimits | undefined =>
    contract.quota && {
        customer: contract.customer,
        quota: contract.quota,
        weight: contract.weight,
        latencyCriticalShare: contract.latencyCriticalShare,
        batchShare: contract.batchShare,
    };

const isSameView = (a: ServerView, b: ServerView): boolean =>
    a.placeable === b.placeable && a.slotLimit === b.slotLimit && a.probing === b.probing && a.slots === b.slots
    && a.capacity === b.capacity && a.availabilityZone === b.availabilityZone && a.rack === b.rack;

/** Keeps the policies consistent with the state: forwards every change of a record, including those of a rollback. */
export class WorkView {
    readonly #decision: Decision;
    readonly #clocks: BackendClocks;
    readonly #queued = new Map<JobKey, QueuedJob>();
    readonly #queuedByKind = new Map<WorkKind, number>();
    readonly #tasks = new Map<JobKey, { backendServerId: string; task: PlacedTask }>();
    /** Backend servers of the standing jobs of each class. */
    readonly #standingByClass = new Map<string, Map<JobKey, string>>();
    readonly #serversByZone = new Map<string, Set<string>>();
    readonly #leavingServers = new Set<string>();
    readonly #placeableCapacity = new Map<string, Resources>();
    readonly #serverViews = new Map<string, ServerView>();
    readonly #shrinking = new Set<string>();
    #fleetCapacity: ResourceAmounts = NO_RESOURCES;
    #totalSlots = 0;

    constructor(decision: Decision, clocks: BackendClocks) {
        this.#decision = decision;
        this.#clocks = clocks;
    }

    /** Initializes the policies from the state that a new leader takes over. */
    load(): void {
        const { state, policies, nowMs } = this.#decision;
        for (const zone of state.zones()) {
            if (zone.state === ZoneState.OUT_OF_SERVICE) {
                policies.zone.startDrain(zone.name, zone.drainDeadlineMs, nowMs);
            }
            if (zone.state === ZoneState.RETURNING) {
                policies.zone.startRefill(zone.name, zone.changedAtMs);
            }
        }
        for (const contract of state.contracts()) {
            this.contractChanged(contract.customer, contract);
        }
        for (const server of state.backendServers()) {
            this.backendServerChanged(server.backendServerId, undefined, server);
        }
        for (const job of state.jobs()) {
            this.jobChanged(jobKeyOf(specificationOf(job)), undefined, job);
        }
    }

    contractChanged(customer: string, contract: Contract | undefined): void {
        const { fairShare, admission, retry } = this.#decision.policies;
        const limits = contract && limitsOf(contract);
        for (const policy of [fairShare, admission]) {
            if (limits === undefined) {
                policy.removeCustomer(customer);
            }
            else {
                policy.setCustomer(limits);
            }
        }
        if (limits !== undefined) {
            retry.setCustomer(limits);
        }
    }

    backendServerChanged(id: string, before: BackendServer | undefined, after: BackendServer | undefined): void {
        const { health, placement } = this.#decision.policies;
        if (before !== undefined) {
            this.#totalSlots -= before.slots;
            this.#serversByZone.get(before.availabilityZone)?.delete(id);
            this.#leavingServers.delete(id);
        }
        if (after === undefined) {
            this.#serverViews.delete(id);
            this.#shrinking.delete(id);
            placement.removeServer(id);
            health.unregister(id);
            this.#setPlaceableCapacity(id, undefined);
            return;
        }
        this.#totalSlots += after.slots;
        const sameZone = this.#serversByZone.get(after.availabilityZone) ?? new Set<string>();
        this.#serversByZone.set(after.availabilityZone, sameZone.add(id));
        if (after.leaving) {
            this.#leavingServers.add(id);
        }
        if (before?.incarnation !== after.incarnation || before.slots !== after.slots) {
            health.register(id, after.slots, after.health, after.consecutiveFailures);
        }
        this.refreshServer(id);
    }

    /** Passes a server's slot limit, capacity and availability to the placement policy if any of them has changed. */
    refreshServer(id: string): void {
        const server = this.#decision.state.backendServer(id);
        if (server === undefined) {
            return;
        }
        const view = this.#serverView(server);
        const previous = this.#serverViews.get(id);
        if (previous !== undefined && isSameView(previous, view)) {
            return;
        }
        this.#serverViews.set(id, view);
        this.#decision.policies.placement.upsertServer(view);
        this.#setPlaceableCapacity(id, view.placeable ? view.capacity : undefined);
    }

    /** Sets whether a server receives no new work because its use exceeds the capacity that it announces. */
    setShrinking(id: string, shrinking: boolean): void {
        if (shrinking) {
            this.#shrinking.add(id);
        }
        else {
            this.#shrinking.delete(id);
        }
    }

    refreshZone(name: string): void {
        this.serversInZone(name).forEach(id => this.refreshServer(id));
    }

    serversInZone(name: string): string[] {
        return [...this.#serversByZone.get(name) ?? []];
    }

    leavingServers(): ReadonlySet<string> {
        return this.#leavingServers;
    }

    hasZone(name: string): boolean {
        return this.#decision.state.zone(name) !== undefined || this.serversInZone(name).length > 0;
    }

    get totalSlots(): number {
        return this.#totalSlots;
    }

    jobChanged(key: JobKey, before: Job | undefined, after: Job | undefined): void {
        this.#queueChanged(key, before, after);
        this.#taskChanged(key, before, after);
    }

    /** Returns the queue record of a job; undefined if it is not queued. */
    queuedJob(key: JobKey): QueuedJob | undefined {
        return this.#queued.get(key);
    }

    queuedOfKind(kind: WorkKind): number {
        return this.#queuedByKind.get(kind) ?? 0;
    }

    /** Returns the task that holds capacity for a job. */
    task(key: JobKey): PlacedTask | undefined {
        return this.#tasks.get(key)?.task;
    }

    tasksOn(backendServerId: string): PlacedTask[] {
        const { jobKeys } = this.#decision.state.useOfBackendServer(backendServerId);
        return [...jobKeys].map(key => this.task(key)).filter(task => task !== undefined);
    }

    /** Returns the kind of a job's work; work whose class is no longer in the contract counts as batch. */
    workKind(job: Job): WorkKind {
        const { customer, workClass } = specificationOf(job);
        return this.#decision.state.workClass(customer, workClass)?.kind ?? WorkKind.BATCH;
    }

    isRepeatable(job: Job): boolean {
        const { customer, workClass, repeatable } = specificationOf(job);
        return repeatable && !this.#decision.state.workClass(customer, workClass)?.neverRepeat;
    }

    placementQuery(job: Job, queued: QueuedJob): PlacementQuery {
        const serverIds = queued.workKind === WorkKind.STANDING
            ? this.#standingByClass.get(queued.classKey)?.values()
            : [];
        const servers = [...serverIds ?? []].map(id => this.#decision.state.backendServer(id));
        return {
            customer: queued.customer,
            classKey: queued.classKey,
            workKind: queued.workKind,
            reserved: queued.reserved,
            repeatable: this.isRepeatable(job),
            excludedServerIds: job.failedOn,
            avoidedDomains: [
                ...new Set(servers.flatMap(server => server ? [server.availabilityZone, server.rack] : [])),
            ],
            latencyTargetMs: queued.latencyTargetMs,
        };
    }

    /** Builds the queue record of a job from its specification, its class and the estimated reservation. */
    describe(key: JobKey, job: Job): QueuedJob {
        const { state, policies } = this.#decision;
        const specification = specificationOf(job);
        const { customer } = specification;
        const workClass = state.workClass(customer, specification.workClass);
        const classKey = `${customer}/${specification.workClass}`;
        const declared = specification.declaredResources ?? workClass?.defaultResources ?? toResources(NO_RESOURCES);
        const estimated = policies.reservation.reserve(classKey, declared);
        return {
            jobKey: key,
            customer,
            classKey,
            workKind: workClass?.kind ?? WorkKind.BATCH,
            reserved: policies.placement.couldEverFit(estimated) ? estimated : declared,
            queuedAtMs: job.acceptedAtMs,
            notBeforeMs: job.notBeforeMs,
            deadlineMs: specification.deadlineMs,
            latencyTargetMs: workClass?.latencyTargetMs ?? 0,
        };
    }

    #serverView(server: BackendServer): ServerView {
        const { state, policies, nowMs } = this.#decision;
        const { backendServerId, availabilityZone, rack, slots } = server;
        const zoneState = state.zoneState(availabilityZone);
        const healthySlots = Math.min(slots, policies.health.slotLimit(backendServerId));
        const filledSlots = zoneState === ZoneState.RETURNING
            ? Math.ceil(slots * policies.zone.fillRatio(availabilityZone, nowMs))
            : slots;
        const slotLimit = Math.min(healthySlots, filledSlots);
        return {
            backendServerId,
            availabilityZone,
            rack,
            slots,
            slotLimit,
            capacity: server.capacity ?? toResources(NO_RESOURCES),
            placeable: slotLimit > 0 && !server.leaving && !this.#shrinking.has(backendServerId)
                && zoneState !== ZoneState.OUT_OF_SERVICE
                && this.#clocks.isResponsive(backendServerId, nowMs),
            probing: server.health === HealthState.PROBING,
        };
    }

    #setPlaceableCapacity(id: string, capacity: Resources | undefined): void {
        const previous = this.#placeableCapacity.get(id);
        if (previous === capacity) {
            return;
        }
        this.#fleetCapacity = addResources(this.#fleetCapacity, previous ?? NO_RESOURCES, -1);
        this.#fleetCapacity = addResources(this.#fleetCapacity, capacity ?? NO_RESOURCES);
        if (capacity === undefined) {
            this.#placeableCapacity.delete(id);
        }
        else {
            this.#placeableCapacity.set(id, capacity);
        }
        this.#decision.policies.fairShare.setFleetCapacity(toResources(this.#fleetCapacity));
    }

    #queueChanged(key: JobKey, before: Job | undefined, after: Job | undefined): void {
        const { fairShare } = this.#decision.policies;
        const previous = this.#queued.get(key);
        if (previous !== undefined && before !== after) {
            this.#queued.delete(key);
            this.#queuedByKind.set(previous.workKind, this.queuedOfKind(previous.workKind) - 1);
            fairShare.dequeue(key);
        }
        if (after?.state === JobState.QUEUED) {
            const job = this.describe(key, after);
            this.#queued.set(key, job);
            this.#queuedByKind.set(job.workKind, this.queuedOfKind(job.workKind) + 1);
            fairShare.enqueue(job);
        }
    }

    #taskChanged(key: JobKey, before: Job | undefined, after: Job | undefined): void {
        const previous = heldAttempt(before);
        const attempt = heldAttempt(after);
        if (previous !== undefined && previous.number !== attempt?.number) {
            this.#release(key);
        }
        if (after === undefined || attempt === undefined) {
            return;
        }
        if (previous?.number !== attempt.number) {
            this.#occupy(key, after);
        }
        else if (previous.state !== attempt.state || previous.throttled !== attempt.throttled) {
            this.#refreshTask(key, after);
        }
    }

    #occupy(key: JobKey, job: Job): void {
        const { placement, interference, fairShare } = this.#decision.policies;
        const task = this.#placedTask(key, job);
        const backendServerId = heldAttempt(job)?.backendServerId ?? "";
        this.#tasks.set(key, { backendServerId, task });
        placement.occupy(backendServerId, task);
        interference.taskPlaced(backendServerId, task, this.#decision.nowMs);
        fairShare.taskStarted(task.customer, task.workKind, task.taskKey, task.reserved);
        if (task.workKind === WorkKind.STANDING) {
            const serversByJob = this.#standingByClass.get(task.classKey) ?? new Map<JobKey, string>();
            this.#standingByClass.set(task.classKey, serversByJob.set(key, backendServerId));
        }
    }

    #refreshTask(key: JobKey, job: Job): void {
        const previous = this.#tasks.get(key);
        if (previous === undefined) {
            return;
        }
        const task = { ...this.#placedTask(key, job), workKind: previous.task.workKind };
        this.#tasks.set(key, { ...previous, task });
        const { placement, interference } = this.#decision.policies;
        placement.release(previous.backendServerId, previous.task.taskKey);
        placement.occupy(previous.backendServerId, task);
        // The mitigator must know which tasks are throttled or stopping already.
        interference.taskPlaced(previous.backendServerId, task, this.#decision.nowMs);
    }

    #release(key: JobKey): void {
        const previous = this.#tasks.get(key);
        if (previous === undefined) {
            return;
        }
        const { placement, interference, fairShare } = this.#decision.policies;
        const { backendServerId, task } = previous;
        this.#tasks.delete(key);
        placement.release(backendServerId, task.taskKey);
        interference.taskReleased(backendServerId, task.taskKey, this.#decision.nowMs);
        fairShare.taskEnded(task.customer, task.taskKey);
        this.#standingByClass.get(task.classKey)?.delete(key);
    }

    #placedTask(key: JobKey, job: Job): PlacedTask {
        const { customer, workClass } = specificationOf(job);
        const attempt = heldAttempt(job);
        return {
            taskKey: taskKeyOf(key, attempt?.number ?? 0),
            customer,
            classKey: `${customer}/${workClass}`,
            workKind: this.workKind(job),
            reserved: attempt?.reserved ?? toResources(NO_RESOURCES),
            placedAtMs: attempt?.assignedAtMs ?? 0,
            repeatable: this.isRepeatable(job),
            throttled: attempt?.throttled ?? false,
            stopping: attempt?.state === AttemptState.STOPPING,
        };
    }
}
