import { RunEnd } from "../model/heartbeat.js";
import type { HeartbeatOrders, HeartbeatReport } from "../model/heartbeat.js";
import type { BeginMaintenance } from "../model/maintenance.js";
import { parseTaskKey, stepKeyOf } from "../model/specification.js";
import { OrganisationLimits } from "../organisations/organisation-limits.js";
import { organisationUsageOf } from "../organisations/organisation-usage.js";
import type { OrganisationUsage } from "../organisations/organisation-usage.js";
import { LossReason } from "../state/crash-history.js";
import { EventKind } from "../state/events.js";
import type { RecordedEnd, WorkflowEvent } from "../state/events.js";
import type { CrashingTask, JobRecord } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import { AppliedRuns } from "./applied-runs.js";
import { createSubmissionControl } from "./create-submission-control.js";
import { EarlyCancellations } from "./early-cancellations.js";
import { Eligibility } from "./eligibility.js";
import type { QueryEligibility } from "./eligibility.js";
import { Evacuation } from "./evacuation.js";
import { FillerMoves } from "./filler-moves.js";
import { FillerPacing } from "./filler-pacing.js";
import { HeartbeatAnswers } from "./heartbeat-answers.js";
import { HeartbeatFilter } from "./heartbeat-filter.js";
import { HeartbeatReconciler } from "./heartbeat-reconciler.js";
import { previewJob } from "./job-preview.js";
import type { JobPreview, Submission } from "./job-preview.js";
import { JobRetention } from "./job-retention.js";
import { Maintenance } from "./maintenance.js";
import { OpenHeartbeats } from "./open-heartbeats.js";
import { OrderWriter } from "./order-writer.js";
import { OverloadControl } from "./overload/overload-control.js";
import { Planner } from "./planner.js";
import { PressureModel } from "./pressure-model.js";
import { PressureRecords } from "./pressure-records.js";
import { adoptRuns } from "./run-adoption.js";
import { RunLosses } from "./run-losses.js";
import { RunStops } from "./run-stops.js";
import { ServerDirectory } from "./server-directory.js";
import { ServerEventKind } from "./server-event.js";
import type { ServerEvent } from "./server-event.js";
import { ServerFailures } from "./server-failures.js";
import { ServerSpeed } from "./server-speed.js";
import type { ServerView } from "./server-view.js";
import type { LeaderSettings } from "./settings.js";
import { hasStepSucceeded } from "./step-success.js";
import type { SubmissionControl } from "./submission-control.js";
import type { Times } from "./times.js";
import { UnstartedTasks } from "./unstarted-tasks.js";
import { utilizationOf } from "./utilization.js";
import type { Utilization } from "./utilization.js";
import { waitReportsOf } from "./wait-report.js";
import type { WaitReport } from "./wait-report.js";
import { WorkQueue } from "./work-queue.js";

/** Delay of the first planning. Backend servers need it to find a new leader; until then most capacity is unknown. */
const INITIAL_PLANNING_DELAY_MS = 400;

/** Options and dependencies of a {@link LeaderSession}. */
export interface LeaderSessionOptions {
    state: WorkflowState;
    term: number;
    settings: LeaderSettings;
    /** Adds an event to the next log record. */
    propose: (event: WorkflowEvent) => void;
    /** Called when the assumed state of a backend server changes. */
    report: (event: ServerEvent, nowMs: number) => void;
    /** Called when a job has failed because one of its tasks crashes the servers that start it. */
    reportCrashingTask: (task: CrashingTask, nowMs: number) => void;
    queryEligibility: QueryEligibility;
    beginMaintenance: BeginMaintenance;
}

/**
 * Scheduling state of one replica while it leads in one term: its view of the backend servers and its decisions. All
 * of it is derived from the replicated state and from heartbeats, and is discarded when the leadership ends.
 */
export class LeaderSession {
    readonly cancellations: EarlyCancellations;
    readonly submissions: SubmissionControl;
    readonly overload: OverloadControl;
    readonly #options: LeaderSessionOptions;
    readonly #directory: ServerDirectory;
    readonly #unstartedTasks = new UnstartedTasks();
    readonly #queue = new WorkQueue(task => this.#unstartedTasks.get(task)?.waitingSinceMs);
    readonly #pressure: PressureModel;
    readonly #pressureRecords: PressureRecords;
    readonly #pacing: FillerPacing;
    readonly #eligibility: Eligibility;
    readonly #limits: OrganisationLimits;
    readonly #planner: Planner;
    readonly #reconciler: HeartbeatReconciler;
    readonly #answers: HeartbeatAnswers;
    readonly #evacuation: Evacuation;
    readonly #speed = new ServerSpeed();
    readonly #moves: FillerMoves;
    readonly #maintenance: Maintenance;
    readonly #heartbeats = new OpenHeartbeats();
    readonly #heartbeatFilter: HeartbeatFilter;
    readonly #failures: ServerFailures;
    readonly #losses: RunLosses;
    readonly #stops: RunStops;
    readonly #runs: AppliedRuns;
    readonly #retention: JobRetention;
    readonly #startedJobs = new Set<string>();
    #isPlanDue = true;
    readonly #planningStartsAtMs: number;

    constructor(options: LeaderSessionOptions, times: Times) {
        const { state, settings } = options;
        this.#options = options;
        this.#planningStartsAtMs = times.nowMs + INITIAL_PLANNING_DELAY_MS;
        this.#directory = new ServerDirectory(settings, times.nowMs);
        this.#pressure = new PressureModel(state.pressures);
        this.#pacing = new FillerPacing(this.#pressure);
        this.#pressureRecords = new PressureRecords(this.#pressure, options.propose, times.nowMs);
        this.#eligibility = new Eligibility((query, respond) =>
            options.queryEligibility(query, (eligible, nowMs) => {
                respond(eligible, nowMs);
                this.#isPlanDue = true;
            })
        );
        this.#limits = new OrganisationLimits(state, this.#directory);
        this.#planner = new Planner({
            state,
            queue: this.#queue,
            directory: this.#directory,
            pressure: this.#pressure,
            eligibility: this.#eligibility,
            limits: this.#limits,
            scarceTaskMillicores: (queue, nowMs) => this.overload.scarceTaskMillicores(queue, nowMs),
        });
        this.overload = new OverloadControl({
            queue: this.#queue,
            servers: () => this.#directory.servers,
            zonesOutOfService: () => state.zonesOutOfService,
            startedAtMs: times.nowMs,
            countServers: (waiting, nowMs) => this.#planner.countServersFor(waiting, nowMs),
        });
        this.#reconciler = new HeartbeatReconciler(state);
        this.#heartbeatFilter = new HeartbeatFilter(state);
        this.#evacuation = new Evacuation(this.#directory, times.nowMs);
        this.#stops = new RunStops(state, this.#directory);
        const kept = { state, retentionMs: settings.retentionMs, propose: options.propose };
        this.cancellations = new EarlyCancellations(kept);
        this.submissions = createSubmissionControl({
            state,
            settings,
            queue: this.#queue,
            planner: this.#planner,
            limits: this.#limits,
            overload: this.overload,
        });
        this.#retention = new JobRetention({ ...kept, cancellations: this.cancellations }, times.nowMs);
        this.#losses = new RunLosses({ state, directory: this.#directory, propose: options.propose });
        this.#runs = new AppliedRuns({
            state,
            queue: this.#queue,
            directory: this.#directory,
            planner: this.#planner,
            losses: this.#losses,
            stops: this.#stops,
            overload: this.overload,
            propose: options.propose,
            reportCrashingTask: options.reportCrashingTask,
        });
        this.#failures = new ServerFailures(step => hasStepSucceeded(state, this.#directory, step));
        this.#answers = this.#createAnswers();
        this.#moves = new FillerMoves((run, nowMs) => this.#planner.canPlaceElsewhere(run, nowMs));
        this.#maintenance = new Maintenance({
            state,
            directory: this.#directory,
            term: options.term,
            settings,
            propose: options.propose,
            begin: options.beginMaintenance,
        }, times.nowMs);
        this.#losses.recordFormerRuns(adoptRuns(state, this.#directory, settings, times), times);
        if (!this.#answers.isLeaseRecorded) {
            options.propose({ kind: EventKind.LeaseExtended, leaseMs: settings.leaseMs });
        }
        for (const job of state.jobs.values()) {
            this.#handleAccepted(job.id, times);
        }
    }

    /** Number of backend servers that the leader knows. */
    get serverCount(): number {
        return this.#directory.size;
    }

    /** Whether a task of the job has started, according to the replicated state or to a heartbeat. */
    hasStarted(job: JobRecord): boolean {
        return job.hasStarted || this.#startedJobs.has(job.id);
    }

    /** Returns the current utilization of all backend servers. */
    utilization(): Utilization {
        return utilizationOf(this.#directory.servers, this.#queue, this.#pressure);
    }

    /** Returns what organisations hold and wait for at present, the busiest ones first. */
    organisations(): OrganisationUsage[] {
        return organisationUsageOf(this.#limits, this.#queue);
    }

    /** Returns what would happen to a submission now, without a change. */
    preview(submission: Submission, times: Times): JobPreview {
        const isKnown = this.#options.state.job(submission.job.id) !== undefined;
        return previewJob(submission, { planner: this.#planner, submissions: this.submissions, isKnown }, times);
    }

    /** Returns reports on the tasks that have waited longest for a start. */
    waitReports(times: Times): WaitReport[] {
        const sources = { queue: this.#queue, directory: this.#directory, planner: this.#planner };
        return waitReportsOf({ ...sources, unstartedTasks: this.#unstartedTasks, limits: this.#limits }, times);
    }

    /**
     * Handles a heartbeat. The response is sent once the events that it depends on are committed, or after a bounded
     * delay; it is undefined (no orders) for a heartbeat that is stale or that another program has sent.
     */
    handleHeartbeat(
        report: HeartbeatReport,
        respond: (orders: HeartbeatOrders | undefined) => void,
        times: Times,
    ): void {
        const { nowMs, timeOfDayMs } = times;
        const previous = this.#directory.get(report.serverId);
        const wasDraining = previous?.isDraining === true;
        const dropped = this.#heartbeatFilter.check(report, previous, nowMs);
        if (dropped !== undefined) {
            this.#options.report(dropped, nowMs);
            respond(undefined);
            return;
        }
        const server = this.#directory.recordHeartbeat(report, times);
        if (server === undefined) {
            respond(undefined);
            return;
        }
        if (previous !== undefined && server !== previous) {
            this.#forgetMeasurements(previous);
        }
        if (server !== previous) {
            this.#report(previous === undefined ? ServerEventKind.Heard : ServerEventKind.Restarted, server, nowMs);
        }
        else if (server.isDraining && !wasDraining) {
            this.#report(ServerEventKind.Draining, server, nowMs);
        }
        this.#losses.recordHeartbeat(previous, server, times);
        const wasAvoided = server.avoidUntilMs > nowMs;
        const changes = this.#reconciler.reconcile(server, report, nowMs);
        if (changes.newEnds.length > 0) {
            this.#options.propose({
                kind: EventKind.RunsEnded,
                server: { serverId: server.id, incarnation: server.incarnation },
                throughSequence: server.lastProposedEnd,
                ends: changes.newEnds,
                atMs: timeOfDayMs,
            });
            this.#failures.recordEnds(server, this.#withoutOldApprovals(server, changes.newEnds, nowMs), nowMs);
            this.#unstartedTasks.recordEnds(server, changes.newEnds);
        }
        this.#limits.ledger.recordUntracked(server.id, changes.untrackedRuns);
        changes.startedJobs.forEach(id => this.#startedJobs.add(id));
        changes.startedTasks.forEach(task => {
            this.#unstartedTasks.recordStarted(task);
            this.overload.recordStarted(server.runs.get(task));
        });
        if (changes.startedTasks.length > 0) {
            this.#failures.recordStart(server, nowMs);
        }
        this.#losses.recordLost(changes.missingRuns, LossReason.Missing, times);
        this.#losses.clearProven(server, times);
        this.#pressure.observe(server, nowMs);
        this.#speed.observe(server, nowMs);
        this.#pacing.adjust(server, nowMs);
        this.#moves.observe(server, nowMs);
        if (server.avoidUntilMs > nowMs && !wasAvoided) {
            this.#report(ServerEventKind.Avoided, server, nowMs);
        }
        this.#heartbeats.add({ report, respond, receivedAtMs: nowMs });
        this.#isPlanDue = true;
    }

    /** Handles the notice that a backend server has ended its work and exits. */
    handleExitNotice(serverId: string, nowMs: number): void {
        this.#directory.handleExitNotice(serverId, nowMs);
    }

    /** Updates the session after events were applied to the replicated state. */
    handleAppliedEvents(events: readonly WorkflowEvent[], times: Times): void {
        for (const event of events) {
            this.#limits.ledger.handleApplied(event);
            this.#handleApplied(event, times);
        }
        this.#isPlanDue = true;
    }

    /** Expires leases, plans assignments, and responds to the heartbeats that are ready. Called periodically. */
    run(times: Times): void {
        const { nowMs } = times;
        for (const server of this.#directory.takeExpired(nowMs)) {
            this.#report(ServerEventKind.LeaseExpired, server, nowMs);
            this.#heartbeats.answerWithoutOrders(server.id);
            this.#forgetMeasurements(server);
            this.#losses.recordExpired(server, times);
            this.#limits.ledger.recordUntracked(server.id, []);
        }
        this.#maintenance.run(times);
        this.#evacuation.run(nowMs);
        this.#moves.run(nowMs);
        if (this.#isPlanDue && nowMs >= this.#planningStartsAtMs) {
            const { runs, isComplete } = this.#planner.plan(times);
            this.#isPlanDue = !isComplete;
            if (runs.length > 0) {
                this.#options.propose({ kind: EventKind.RunsAssigned, runs });
            }
        }
        this.#answers.send(times);
        this.#pressureRecords.run(nowMs);
        if (this.#retention.run(nowMs)) {
            this.#discardExpired(nowMs);
        }
    }

    /** Queues the occurrences of scheduled jobs that have become due. */
    checkSchedules({ timeOfDayMs }: Times): void {
        for (const job of this.#options.state.jobs.values()) {
            if (job.specification.schedule !== undefined && !job.isOver) {
                this.#isPlanDue = this.#queue.addDue(job, timeOfDayMs) || this.#isPlanDue;
            }
        }
    }

    /** Ends the session; pending heartbeats are answered without orders. */
    close(): void {
        this.#heartbeats.close();
    }

    #handleApplied(event: WorkflowEvent, times: Times): void {
        switch (event.kind) {
            case EventKind.JobAccepted:
                this.#handleAccepted(event.job.id, times);
                return;
            case EventKind.JobCancelled:
                this.cancellations.handleApplied(event.jobId, times.nowMs);
                this.#stops.stopJob(event.jobId);
                this.#refreshJob(event.jobId, times);
                this.overload.recordEnd(this.#options.state.job(event.jobId), times.nowMs);
                return;
            case EventKind.JobsForgotten:
                event.jobIds.forEach(id => this.#startedJobs.delete(id));
                return;
            case EventKind.RunsAssigned:
                this.#runs.handleAssigned(event, times);
                return;
            case EventKind.RunsEnded:
                this.#runs.handleEnded(event, times);
                return;
            case EventKind.RunsLost:
                this.#runs.handleLost(event, times);
                return;
            case EventKind.ConfigurationAccepted:
            case EventKind.ZoneTakenOut:
            case EventKind.ZoneReturned:
                this.#planner.restart();
                return;
            default:
                return;
        }
    }

    #handleAccepted(jobId: string, times: Times): void {
        const job = this.#options.state.job(jobId);
        if (job !== undefined) {
            this.#queue.refresh(job, times.timeOfDayMs);
            this.overload.recordAccepted(job, times);
        }
    }

    #createAnswers(): HeartbeatAnswers {
        const { state, settings, term } = this.#options;
        return new HeartbeatAnswers({
            state,
            settings,
            heartbeats: this.#heartbeats,
            directory: this.#directory,
            orders: new OrderWriter(state, this.#eligibility, term, settings, this.#limits.ledger),
            failures: this.#failures,
            losses: this.#losses,
            unstartedTasks: this.#unstartedTasks,
        });
    }

    /** Discards the approvals of rejected starts; returns the ends other than those for which they may have been too old. */
    #withoutOldApprovals(server: ServerView, ends: readonly RecordedEnd[], nowMs: number): RecordedEnd[] {
        return ends.filter(({ task, run, end }) => {
            const { position, eligibilityToken } = server.findRun(task, run) ?? {};
            return end !== RunEnd.NotStarted
                || position === undefined
                || eligibilityToken === undefined
                || !this.#eligibility.recordRejection(stepKeyOf(position), server, eligibilityToken, nowMs);
        });
    }

    /** Discards what was measured of one incarnation of a server, whose runs are lost. */
    #forgetMeasurements(server: ServerView): void {
        this.#failures.forget(server.id);
        this.#pacing.forget(server);
        this.#pressure.forget(server.id);
        this.#speed.forget(server.id);
        this.#moves.forget(server.id);
        server.runs.forEach(run => this.#unstartedTasks.recordLost(run));
    }

    #report(kind: ServerEventKind, server: ServerView, nowMs: number): void {
        const { id: serverId, incarnation, vmId } = server;
        this.#options.report({ kind, serverId, incarnation, vmId, runs: server.runs.size }, nowMs);
    }

    #refreshJob(jobId: string, { timeOfDayMs }: Times): void {
        const job = this.#options.state.job(jobId);
        if (job !== undefined) {
            this.#queue.refresh(job, timeOfDayMs);
        }
    }

    /** Discards what is known beside the state of jobs that have ended, and of servers and losses that are long past. */
    #discardExpired(nowMs: number): void {
        const { state } = this.#options;
        this.#failures.evictExpired(nowMs);
        this.#losses.evictExpired(nowMs);
        this.#unstartedTasks.retain(jobId => state.job(jobId)?.isOver === false);
        this.overload.retain(jobId => state.job(jobId)?.isOver === false);
        this.#eligibility.retain(step => state.job(parseTaskKey(`${step}.0`)?.jobId ?? "")?.isOver === false);
    }
}
