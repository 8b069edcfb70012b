import type { QueryEligibility } from "../leader/eligibility.js";
import type { JobPreview } from "../leader/job-preview.js";
import { LeaderSession } from "../leader/leader-session.js";
import type { ServerEvent } from "../leader/server-event.js";
import type { LeaderSettings } from "../leader/settings.js";
import type { Times } from "../leader/times.js";
import { Refusal, refused, succeeded } from "../model/calls.js";
import type { JobState, Respond } from "../model/calls.js";
import { findQueue } from "../model/configuration.js";
import type { Configuration } from "../model/configuration.js";
import type { HeartbeatOrders, HeartbeatReport } from "../model/heartbeat.js";
import { MaintenanceState } from "../model/maintenance.js";
import type { BeginMaintenance, MaintenanceOrder } from "../model/maintenance.js";
import type { JobSpecification } from "../model/specification.js";
import { decodeEvents, encodeRecords, EventKind } from "../state/events.js";
import type { WorkflowEvent } from "../state/events.js";
import type { CrashingTask } from "../state/job-record.js";
import { UnknownEventError, WorkflowState } from "../state/workflow-state.js";
import type { WorkflowSnapshot } from "../state/workflow-state.js";
import type { CallRefusal } from "./call-refusal.js";
import type { CallOrigin, QueueAddress } from "./caller-access.js";
import { CallerCalls } from "./caller-calls.js";
import { PendingCalls } from "./pending-calls.js";
import type { CommittedRecord, ReplicatedLog } from "./replicated-log.js";
import { SessionRestart } from "./session-restart.js";

/** Dependencies, settings and callbacks of a workflow node. */
export interface WorkflowNodeOptions {
    log: ReplicatedLog;
    settings: LeaderSettings;
    /** Called with committed events while this replica leads. */
    onCommitted?: (events: readonly WorkflowEvent[], nowMs: number) => void;
    /** Queries the eligibility service; without it, the jobs of queues that need its approvals wait. */
    queryEligibility?: QueryEligibility;
    /** Asks the platform to maintain a VM; without it, maintenance orders wait. */
    beginMaintenance?: BeginMaintenance;
    /**
     * Called with an unexpected error that the node has contained: it goes on without the failed record or event, or with
     * a new leader session. Without it, such errors are thrown.
     */
    onError?: (error: unknown, action: FailedAction) => void;
    /** Called when the leader's view of a backend server changes. */
    onServerEvent?: (event: ServerEvent, nowMs: number) => void;
    /** Called with each call that is refused while the configuration names organisations. */
    onCallRefused?: (refusal: CallRefusal) => void;
    /** Called when a job has failed because one of its tasks crashes the servers that start it. */
    onCrashingTask?: (task: CrashingTask, nowMs: number) => void;
}

/** What has failed with an unexpected error. */
export enum FailedAction {
    /** A committed record can't be read. */
    ReadRecord = "read-record",
    /** A committed event can't be applied to the replicated state. */
    ApplyEvent = "apply-event",
    /** The leader session can't follow committed events. */
    FollowEvents = "follow-events",
    /** Committed events can't be reported. */
    ReportEvents = "report-events",
    /** The leader session can't decide what is due. */
    Decide = "decide",
}

/** Interval at which a leader checks schedules for due occurrences. */
const SCHEDULE_CHECK_INTERVAL_MS = 50;

/**
 * One replica of the workflow state and, while this replica leads, its leader session. The node does no I/O: the
 * current time is an argument of each call, results are passed to callbacks, and changes go through the replicated log.
 */
export class WorkflowNode {
    readonly #log: ReplicatedLog;
    readonly #settings: LeaderSettings;
    readonly #options: WorkflowNodeOptions;
    #state = new WorkflowState();
    #session: LeaderSession | undefined;
    #sessionTerm = 0;
    /** Term of the last record applied. */
    #appliedTerm = 0;
    #events: WorkflowEvent[] = [];
    readonly #calls: PendingCalls;
    readonly #callerCalls: CallerCalls;
    /** Highest version that this session has recorded, committed or not. */
    #recordedVersion = -Infinity;
    #scheduleCheckAtMs = 0;
    #appliedIndex = 0;
    readonly #restart: SessionRestart;

    constructor(options: WorkflowNodeOptions) {
        this.#options = options;
        this.#log = options.log;
        this.#calls = new PendingCalls(options.log);
        this.#callerCalls = new CallerCalls({
            calls: this.#calls,
            readState: () => this.#state,
            readSession: () => this.#session,
            servingSession: nowMs => this.#servingSession(nowMs),
            propose: event => this.#events.push(event),
            reportRefusal: refusal => options.onCallRefused?.(refusal),
        });
        this.#restart = new SessionRestart(options.log);
        this.#settings = options.settings;
    }

    get state(): WorkflowState {
        return this.#state;
    }

    /** The current leader session; undefined while this replica does not lead. */
    get session(): LeaderSession | undefined {
        return this.#session;
    }

    /**
     * Accepts a job durably. Submitting the same id again succeeds without another effect. A job that was cancelled before
     * is accepted as cancelled.
     */
    submit(origin: CallOrigin, job: JobSpecification, respond: Respond<void>, times: Times): void {
        this.#callerCalls.submit(origin, job, respond, times);
    }

    /**
     * Cancels a job; succeeds without effect for a job that has already ended. For an unknown job the cancellation is kept
     * and the refusal is UnknownJob: a submission that the caller sent before may arrive later.
     */
    cancel(jobId: string, respond: Respond<void>, times: Times, origin?: CallOrigin): void {
        this.#callerCalls.cancel(jobId, respond, times, origin);
    }

    /** Returns a job's state. */
    jobState(jobId: string, respond: Respond<JobState>, times: Times, origin?: CallOrigin): void {
        this.#callerCalls.jobState(jobId, respond, times, origin);
    }

    /** Returns the number of a queue's jobs that have not ended and of which no task has started. */
    pendingJobs(origin: CallOrigin, respond: Respond<number>, times: Times): void {
        this.#callerCalls.pendingJobs(origin, respond, times);
    }

    /** Returns what would happen to a submission now: whether it is refused, and where its tasks would go. */
    previewJob(address: QueueAddress, job: JobSpecification, respond: Respond<JobPreview>, times: Times): void {
        if (!this.#canServe(times.nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#calls.addRead(
            () => {
                const queue = findQueue(this.#state.configuration, address.host, address.path);
                const preview = queue === undefined ? undefined : this.#session?.preview({ job, queue }, times);
                respond(preview === undefined ? refused(Refusal.UnknownQueue) : succeeded(preview));
            },
            respond,
            times.nowMs,
        );
    }

    /** Accepts a configuration durably; succeeds without effect unless its version is higher than the current one. */
    configure(configuration: Configuration, respond: Respond<void>, { nowMs }: Times): void {
        if (!this.#canServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        const { version } = configuration;
        const committedVersion = this.#state.configuration?.version ?? -Infinity;
        if (version <= committedVersion) {
            this.#calls.addRead(() => respond(succeeded(undefined)), respond, nowMs);
        }
        else if (version <= this.#recordedVersion) {
            this.#calls.addBarrier(() => respond(succeeded(undefined)), respond);
        }
        else {
            this.#recordedVersion = version;
            this.#enqueueChange({ kind: EventKind.ConfigurationAccepted, configuration }, respond);
        }
    }

    /** Returns the document of the current configuration as it was sent; undefined before the first. */
    readConfiguration(respond: Respond<string | undefined>, { nowMs }: Times): void {
        if (!this.#canServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#calls.addRead(() => respond(succeeded(this.#state.configuration?.document)), respond, nowMs);
    }

    /** Takes an availability zone out of service or returns it to service. */
    setZone(availabilityZone: string, isOut: boolean, respond: Respond<void>, { nowMs }: Times): void {
        if (!this.#canServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#enqueueChange(
            { kind: isOut ? EventKind.ZoneTakenOut : EventKind.ZoneReturned, availabilityZone },
            respond,
        );
    }

    /** Accepts an order to maintain VMs durably. Repeating the same id has no further effect. */
    orderMaintenance(order: MaintenanceOrder, respond: Respond<void>, { nowMs, timeOfDayMs }: Times): void {
        if (!this.#canServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#enqueueChange({ kind: EventKind.MaintenanceOrdered, order, atMs: timeOfDayMs }, respond);
    }

    /** Returns the state of a maintenance order; undefined for an unknown id. */
    maintenanceState(id: number, respond: Respond<MaintenanceState | undefined>, { nowMs }: Times): void {
        if (!this.#canServe(nowMs)) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#calls.addRead(
            () => {
                const record = this.#state.maintenance(id);
                const state = record?.isCompleted === true ? MaintenanceState.Completed : MaintenanceState.Running;
                respond(succeeded(record === undefined ? undefined : state));
            },
            respond,
            nowMs,
        );
    }

    /** Processes a heartbeat; succeeds with undefined, in place of orders, for an outdated one. */
    heartbeat(report: HeartbeatReport, respond: Respond<HeartbeatOrders | undefined>, times: Times): void {
        if (!this.#canServe(times.nowMs) || this.#session === undefined) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#session.handleHeartbeat(report, orders => {
            const isCurrent = this.#log.isLeader && this.#log.term === this.#sessionTerm;
            respond(isCurrent ? succeeded(orders) : refused(Refusal.NotLeader));
        }, times);
    }

    /** Handles the announced exit of a backend server. */
    leave(serverId: string, respond: Respond<void>, { nowMs }: Times): void {
        if (!this.#canServe(nowMs) || this.#session === undefined) {
            respond(refused(Refusal.NotLeader));
            return;
        }
        this.#session.handleExitNotice(serverId, nowMs);
        respond(succeeded(undefined));
    }

    /** Runs the leader session at the given time and proposes its events. Call it after each batch of other calls. */
    run(times: Times): void {
        this.#attemptInSession(FailedAction.Decide, times, () => {
            this.#updateSession(times);
            this.#calls.answerReads();
            this.#runSession(times);
            this.#propose(times.nowMs);
        });
    }

    /** Whether reads wait for the answers of followers, so that `run` should follow these soon. */
    get hasPendingReads(): boolean {
        return this.#calls.hasReads;
    }

    /** Applies committed records. Each record must be passed exactly once and in log order. */
    applyCommitted(records: readonly CommittedRecord[], times: Times): void {
        for (const record of records) {
            const events = this.#readEvents(record);
            events.forEach(event => this.#apply(event, times));
            const session = this.#session;
            if (session !== undefined) {
                this.#attemptInSession(
                    FailedAction.FollowEvents,
                    times,
                    () => {
                        this.#callerCalls.handleApplied(events);
                        session.handleAppliedEvents(events, times);
                    },
                );
                this.#attempt(FailedAction.ReportEvents, () => this.#options.onCommitted?.(events, times.nowMs));
            }
            this.#appliedTerm = record.term;
            this.#appliedIndex = record.index;
            this.#calls.complete(record.index, record.term === this.#sessionTerm && this.#session !== undefined);
        }
    }

    /** Returns the serialized state after all records applied so far. */
    snapshot(): Uint8Array {
        return Buffer.from(JSON.stringify(this.#state.toSnapshot()));
    }

    /** Replaces the state by a snapshot and ends the leader session. */
    restoreSnapshot(snapshot: Uint8Array): void {
        const content = JSON.parse(Buffer.from(snapshot).toString()) as WorkflowSnapshot;
        this.#state = WorkflowState.fromSnapshot(content);
        this.#endSession();
    }

    /** Ends the leader session after this replica has lost the leadership. */
    handleLeadershipLost(): void {
        this.#endSession();
    }

    /** Reads the events of a record. One that can't be read would end every replica, each time that it starts. */
    #readEvents({ data }: CommittedRecord): readonly WorkflowEvent[] {
        let events: readonly WorkflowEvent[] = [];
        this.#attempt(FailedAction.ReadRecord, () => {
            events = data === undefined ? [] : decodeEvents(data);
        });
        return events;
    }

    /** Applies an event. It fails in the same way on all replicas, so that their states stay equal. */
    #apply(event: WorkflowEvent, times: Times): void {
        this.#attemptInSession(FailedAction.ApplyEvent, times, () => this.#state.apply(event));
    }

    /** Calls a function and contains its error. Returns whether it has succeeded. */
    #attempt(action: FailedAction, call: () => void): boolean {
        const { onError } = this.#options;
        try {
            call();
            return true;
        }
        catch (error) {
            // An exhausted stack depends on the process, not on the record: replicas would diverge.
            const isLocal = action === FailedAction.ApplyEvent && error instanceof RangeError;
            if (onError === undefined || error instanceof UnknownEventError || isLocal) {
                throw error;
            }
            onError(error, action);
            return false;
        }
    }

    /** Calls a function and contains its error: the session, which may have changed in part, is replaced by a new one. */
    #attemptInSession(action: FailedAction, { nowMs }: Times, call: () => void): void {
        if (!this.#attempt(action, call)) {
            this.#endSession();
            this.#restart.recordFailure(nowMs);
        }
    }

    #runSession(times: Times): void {
        if (this.#session === undefined) {
            return;
        }
        if (times.nowMs >= this.#scheduleCheckAtMs) {
            this.#scheduleCheckAtMs = times.nowMs + SCHEDULE_CHECK_INTERVAL_MS;
            this.#session.checkSchedules(times);
        }
        this.#session.run(times);
    }

    #canServe(nowMs: number): boolean {
        return this.#servingSession(nowMs) !== undefined;
    }

    /** The leader session; undefined unless it may answer calls now. */
    #servingSession(nowMs: number): LeaderSession | undefined {
        const mayServe = this.#log.term === this.#sessionTerm && this.#log.hasQuorumLease(nowMs);
        return mayServe ? this.#session : undefined;
    }

    #updateSession(times: Times): void {
        // A session takes over what earlier leaders have recorded, all of which precedes the first record of its term.
        const hasAppliedAll = this.#appliedTerm === this.#log.term;
        const isLeading = this.#log.isLeader && hasAppliedAll && this.#log.hasQuorumLease(times.nowMs);
        if (this.#session !== undefined && (!this.#log.isLeader || this.#log.term !== this.#sessionTerm)) {
            this.#endSession();
        }
        if (this.#session === undefined && isLeading && this.#restart.mayBegin(this.#appliedIndex, times.nowMs)) {
            this.#restart.recordBegin();
            this.#sessionTerm = this.#log.term;
            this.#session = new LeaderSession({
                state: this.#state,
                term: this.#log.term,
                settings: this.#settings,
                propose: event => this.#events.push(event),
                queryEligibility: this.#options.queryEligibility ?? (() => undefined),
                beginMaintenance: this.#options.beginMaintenance ?? (() => undefined),
                report: (event, nowMs) => this.#options.onServerEvent?.(event, nowMs),
                reportCrashingTask: (task, nowMs) => this.#options.onCrashingTask?.(task, nowMs),
            }, times);
        }
    }

    #endSession(): void {
        this.#session?.close();
        this.#session = undefined;
        this.#events = [];
        this.#recordedVersion = -Infinity;
        this.#callerCalls.endSession();
        this.#calls.failAll();
    }

    #enqueueChange(event: WorkflowEvent, respond: Respond<void>): void {
        this.#events.push(event);
        this.#calls.addChange(() => respond(succeeded(undefined)), respond);
    }

    #propose(nowMs: number): void {
        if (this.#events.length === 0 && !this.#calls.hasUnproposed) {
            return;
        }
        const proposed = encodeRecords(this.#events).map(record => this.#log.propose(record, nowMs));
        this.#events = [];
        const last = proposed.at(-1);
        if (last?.isOk() === true) {
            this.#calls.recordProposed(last.value);
        }
        else {
            this.#endSession();
        }
    }
}
