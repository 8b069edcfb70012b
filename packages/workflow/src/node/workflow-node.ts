import type { AskEligibility } from "../leader/eligibility.js";
import { LeaderSession } from "../leader/leader-session.js";
import type { ServerEvent } from "../leader/server-event.js";
import type { LeaderSettings } from "../leader/settings.js";
import type { Times } from "../leader/times.js";
import { JobState, Refusal, refused, succeeded } from "../model/calls.js";
import type { Respond } from "../model/calls.js";
import { findQueue } from "../model/configuration.js";
import type { Configuration } from "../model/configuration.js";
import type { HeartbeatOrders, HeartbeatReport } from "../model/heartbeat.js";
import { MaintenanceState } from "../model/maintenance.js";
import type { BeginMaintenance, MaintenanceOrder } from "../model/maintenance.js";
import type { JobSpecification } from "../model/specification.js";
import { decodeEvents, encodeEvents, EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import { WorkflowState } from "../state/workflow-state.js";
import type { WorkflowSnapshot } from "../state/workflow-state.js";
import type { CommittedRecord, ReplicatedLog } from "./replicated-log.js";

/** Host and path of a caller's request, which select a queue. */
export interface QueueAddress {
    host: string;
    path: string;
}

/** Settings of a workflow node. */
export interface WorkflowNodeOptions {
    log: ReplicatedLog;
    settings: LeaderSettings;
    /** Told of the committed events while this replica leads. */
    onCommitted?: (events: readonly WorkflowEvent[], nowMs: number) => void;
    /** Asks the eligibility service; without it, queues that need its approvals wait. */
    askEligibility?: AskEligibility;
    /** Has the platform maintain a VM; without it, maintenance orders wait. */
    beginMaintenance?: BeginMaintenance;
    /** Told of changes in what the leader believes of backend servers. */
    onServerEvent?: (event: ServerEvent, nowMs: number) => void;
}

interface Waiter {
    committed: () => void;
    /** Told whether the change was certainly not made. */
    failed: (isCertain: boolean) => void;
}

/** Interval at which a leader looks for occurrences that have become due. */
const SCHEDULE_INTERVAL_MS = 50;

/**
 * One replica of the workflow state with, while it leads, the leader's session. It does no I/O: calls and the time
 * go in, results go to the given callbacks, and changes go through the replicated log.
 */
export class WorkflowNode {
    readonly #log: ReplicatedLog;
    readonly #settings: LeaderSettings;
    readonly #options: WorkflowNodeOptions;
    #state = new WorkflowState();
    #session: LeaderSession | undefined;
    #sessionTerm = 0;
    #events: WorkflowEvent[] = [];
    #newWaiters: Waiter[] = [];
    readonly #waiters = new Map<number, Waiter[]>();
    #scheduleCheckAtMs = 0;

    constructor(options: WorkflowNodeOptions) {
        this.#options = options;
        this.#log = options.log;
        this.#settings = options.settings;
    }

    get state(): WorkflowState {
        return this.#state;
    }

    /** The session of the present leadership; undefined on other replicas. */
    get session(): LeaderSession | undefined {
        return this.#session;
    }

    /** Accepts a job durably. The same id again is the same job. */
    submit(address: QueueAddress, job: JobSpecification, respond: Respond<void>, times: Times): void {
        if (!this.#mayServe(times.nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        if (this.#state.job(job.id) !== undefined) {
            respond(succeeded(undefined));
            return;
        }
        const queue = findQueue(this.#state.configuration, address.host, address.path);
        if (queue === undefined) {
            this.#confirm(() => respond(refused(this.#unknownQueue())), respond);
            return;
        }
        const acceptedAtMs = times.timeOfDayMs;
        this.#change({ kind: EventKind.JobAccepted, job, queue, acceptedAtMs }, respond);
    }

    /** Cancels a job; succeeds again for one that is over. */
    cancel(jobId: string, respond: Respond<void>, { nowMs, timeOfDayMs }: Times): void {
        if (!this.#mayServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        const change = (): void => this.#change({ kind: EventKind.JobCancelled, jobId, atMs: timeOfDayMs }, respond);
        if (this.#known(jobId)) {
            change();
            return;
        }
        // The job may be in a record that isn't committed yet.
        this.#confirm(() => this.#known(jobId) ? change() : respond(unknownJob()), respond);
    }

    /** Returns a job's state. */
    jobState(jobId: string, respond: Respond<JobState>, { nowMs }: Times): void {
        if (!this.#mayServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        const answer = (): void => {
            const state = this.#stateOf(jobId);
            respond(state === undefined ? unknownJob() : succeeded(state));
        };
        if (this.#known(jobId)) {
            answer();
            return;
        }
        this.#confirm(answer, respond);
    }

    /** Returns the number of a queue's jobs of which no task has begun. */
    pendingJobs(address: QueueAddress, respond: Respond<number>, { nowMs }: Times): void {
        if (!this.#mayServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#confirm(() => {
            const queue = findQueue(this.#state.configuration, address.host, address.path);
            respond(queue === undefined ? refused(this.#unknownQueue()) : succeeded(this.#countPending(queue.name)));
        }, respond);
    }

    /** Accepts a configuration durably; one that isn't newer changes nothing. */
    configure(configuration: Configuration, respond: Respond<void>, { nowMs }: Times): void {
        if (!this.#mayServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        const isNewer = configuration.version > (this.#state.configuration?.version ?? -Infinity);
        if (isNewer) {
            this.#change({ kind: EventKind.ConfigurationAccepted, configuration }, respond);
        }
        else {
            this.#confirm(() => respond(succeeded(undefined)), respond);
        }
    }

    /** Returns the newest configuration as it was sent; undefined before the first. */
    readConfiguration(respond: Respond<string | undefined>, { nowMs }: Times): void {
        if (!this.#mayServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#confirm(() => respond(succeeded(this.#state.configuration?.document)), respond);
    }

    /** Takes an availability zone out of service or returns it. */
    setZone(availabilityZone: string, isOut: boolean, respond: Respond<void>, { nowMs }: Times): void {
        if (!this.#mayServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#change({ kind: isOut ? EventKind.ZoneTakenOut : EventKind.ZoneReturned, availabilityZone }, respond);
    }

    /** Accepts an order to maintain VMs durably. The same id again is the same order. */
    orderMaintenance(order: MaintenanceOrder, respond: Respond<void>, { nowMs, timeOfDayMs }: Times): void {
        if (!this.#mayServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#change({ kind: EventKind.MaintenanceOrdered, order, atMs: timeOfDayMs }, respond);
    }

    /** Returns the state of a maintenance; undefined for an unknown one. */
    maintenanceState(id: number, respond: Respond<MaintenanceState | undefined>, { nowMs }: Times): void {
        if (!this.#mayServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#confirm(() => {
            const record = this.#state.maintenance(id);
            const state = record?.isCompleted === true ? MaintenanceState.Completed : MaintenanceState.Running;
            respond(succeeded(record === undefined ? undefined : state));
        }, respond);
    }

    /** Takes in a heartbeat; succeeds with undefined for one that is outdated. */
    heartbeat(report: HeartbeatReport, respond: Respond<HeartbeatOrders | undefined>, times: Times): void {
        if (!this.#mayServe(times.nowMs) || this.#session === undefined) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#session.heartbeat(report, orders => {
            const isCurrent = this.#log.isLeader && this.#log.term === this.#sessionTerm;
            respond(isCurrent ? succeeded(orders) : refused(Refusal.NotLeader));
        }, times);
    }

    /** Takes note that a backend server exits. */
    leave(serverId: string, respond: Respond<void>, { nowMs }: Times): void {
        if (!this.#mayServe(nowMs) || this.#session === undefined) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#session.leave(serverId, nowMs);
        respond(succeeded(undefined));
    }

    /** Lets time pass and proposes what has been decided. To be called after each turn of events. */
    run(times: Times): void {
        this.#followRole(times);
        if (this.#session !== undefined) {
            if (times.nowMs >= this.#scheduleCheckAtMs) {
                this.#scheduleCheckAtMs = times.nowMs + SCHEDULE_INTERVAL_MS;
                this.#session.checkSchedules(times);
            }
            this.#session.run(times);
        }
        this.#propose(times.nowMs);
    }

    /** Applies committed records, each once and in order. */
    committed(records: readonly CommittedRecord[], times: Times): void {
        for (const record of records) {
            const events = record.data === undefined ? [] : decodeEvents(record.data);
            events.forEach(event => this.#state.apply(event));
            if (this.#session !== undefined) {
                this.#session.applied(events, times);
                this.#options.onCommitted?.(events, times.nowMs);
            }
            this.#settle(record);
        }
    }

    /** Returns the state after all committed records. */
    snapshot(): Uint8Array {
        return Buffer.from(JSON.stringify(this.#state.toSnapshot()));
    }

    /** Replaces the state. */
    restore(snapshot: Uint8Array): void {
        const content = JSON.parse(Buffer.from(snapshot).toString()) as WorkflowSnapshot;
        this.#state = WorkflowState.fromSnapshot(content);
        this.#endSession();
    }

    /** Takes note that this replica doesn't lead any more. */
    leadershipLost(): void {
        this.#endSession();
    }

    #mayServe(nowMs: number): boolean {
        return this.#session !== undefined && this.#log.term === this.#sessionTerm && this.#log.hasQuorumLease(nowMs);
    }

    #followRole(times: Times): void {
        const isLeading = this.#log.isLeader && this.#log.hasQuorumLease(times.nowMs);
        if (this.#session !== undefined && (!this.#log.isLeader || this.#log.term !== this.#sessionTerm)) {
            this.#endSession();
        }
        if (this.#session === undefined && isLeading) {
            this.#sessionTerm = this.#log.term;
            this.#session = new LeaderSession({
                state: this.#state,
                term: this.#log.term,
                settings: this.#settings,
                propose: event => this.#events.push(event),
                askEligibility: this.#options.askEligibility ?? (() => undefined),
                beginMaintenance: this.#options.beginMaintenance ?? (() => undefined),
                report: (event, nowMs) => this.#options.onServerEvent?.(event, nowMs),
            }, times);
        }
    }

    #endSession(): void {
        this.#session?.close();
        this.#session = undefined;
        this.#events = [];
        const proposed = [...this.#waiters.values()].flat();
        const unsent = this.#newWaiters;
        this.#newWaiters = [];
        this.#waiters.clear();
        proposed.forEach(waiter => waiter.failed(false));
        unsent.forEach(waiter => waiter.failed(true));
    }

    #change(event: WorkflowEvent, respond: Respond<void>): void {
        this.#events.push(event);
        this.#newWaiters.push({
            committed: () => respond(succeeded(undefined)),
            failed: isCertain => respond(refused(isCertain ? Refusal.NotLeader : Refusal.Uncertain)),
        });
    }

    /** Calls back once a record proposed after this call is committed, so that the state read then is current. */
    #confirm(committed: () => void, respond: (result: ReturnType<typeof refused>) => void): void {
        this.#newWaiters.push({ committed, failed: () => respond(refused(Refusal.NotLeader)) });
    }

    #propose(nowMs: number): void {
        if (this.#events.length === 0 && this.#newWaiters.length === 0) {
            return;
        }
        const events = this.#events;
        const waiters = this.#newWaiters;
        this.#events = [];
        this.#newWaiters = [];
        const proposed = this.#log.propose(encodeEvents(events), nowMs);
        if (proposed.isOk()) {
            this.#waiters.set(proposed.value, waiters);
            return;
        }
        waiters.forEach(waiter => waiter.failed(true));
        this.#endSession();
    }

    #settle({ index, term }: CommittedRecord): void {
        const waiters = this.#waiters.get(index);
        if (waiters === undefined) {
            return;
        }
        this.#waiters.delete(index);
        const isOwn = term === this.#sessionTerm && this.#session !== undefined;
        waiters.forEach(waiter => isOwn ? waiter.committed() : waiter.failed(false));
    }

    #known(jobId: string): boolean {
        return this.#state.job(jobId) !== undefined;
    }

    #stateOf(jobId: string): JobState | undefined {
        const job = this.#state.job(jobId);
        const hasBegun = job !== undefined && this.#session?.hasStarted(job) === true;
        return job?.state === JobState.Queued && hasBegun ? JobState.Running : job?.state;
    }

    #countPending(queueName: string): number {
        let count = 0;
        for (const job of this.#state.jobs.values()) {
            const isPending = job.queue.name === queueName && !job.isOver && this.#session?.hasStarted(job) !== true;
            count += isPending ? 1 : 0;
        }
        return count;
    }

    /** Without a configuration a queue may exist all the same. */
    #unknownQueue(): Refusal {
        return this.#state.configuration === undefined ? Refusal.NotRun : Refusal.UnknownQueue;
    }
}

const unknownJob = (): ReturnType<typeof refused> => refused(Refusal.UnknownJob);
