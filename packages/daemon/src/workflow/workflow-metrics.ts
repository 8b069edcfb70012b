import { EventKind, Exclusion, JobState, Refusal, RunEnd, TaskKind, WaitCause } from "@waxwingspread/workflow";
import type {
    CallRefusal,
    CallResult,
    EventOf,
    OrganisationUsage,
    Utilization,
    WaitReport,
    WorkflowEvent,
} from "@waxwingspread/workflow";
import { Registry } from "prom-client";
import { MetricFactory } from "../metrics/metric-factory.js";
import { ForwardedOperation } from "./operations.js";
import type { VoterStatus } from "./operations.js";
import { OrganisationMetrics } from "./organisation-metrics.js";
import { OverloadMetrics } from "./overload-metrics.js";

const OK_LABEL = "ok";
/** From one commit within a zone up to the maximum wait of a caller. */
const REQUEST_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];
/** From the next heartbeat of an idle server up to the delay at which a job counts as late. */
const START_BUCKETS_SECONDS = [0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

/** From one tick up to the time in which followers replace a leader. */
const PHASE_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/** From a service that answers at once up to one that takes much longer than the validity of its approvals. */
const ELIGIBILITY_BUCKETS_SECONDS = [0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16];
const FAILED_LABEL = "failed";

/** What may delay the answers of a control replica. */
export enum ControlPhase {
    /** Time for which the event loop was held. */
    EventLoop = "event-loop",
    /** Time from a heartbeat's arrival until it is handled. */
    HeartbeatQueued = "heartbeat-queued",
    /** Time from a heartbeat's arrival until its answer. */
    HeartbeatAnswered = "heartbeat-answered",
    SessionStart = "session-start",
    /** One run of the leader session, planning included. */
    Decision = "decision",
}

/** Organisations with series of their own; the further ones share one. */
const MAX_LABELLED_ORGANISATIONS = 50;

const isHeldByLimit = ({ cause }: WaitReport): boolean => cause !== undefined && cause !== WaitCause.Share;

const OUTCOMES = [OK_LABEL, ...Object.values(Refusal)];

/** Metrics of an entry. */
export class EntryMetrics {
    readonly registry = new Registry();
    readonly #factory = new MetricFactory(this.registry);
    readonly #labels = { operation: Object.values(ForwardedOperation), outcome: OUTCOMES };
    readonly #requests = this.#factory.counter("requests", "Requests of callers, by outcome", this.#labels);
    readonly #duration = this.#factory.duration(
        "request_duration",
        "Time from a request's arrival to the leader's answer or to its refusal",
        { operation: Object.values(ForwardedOperation) },
        REQUEST_BUCKETS_SECONDS,
    );

    /** Records the outcome and the duration of a request. */
    recordRequest(operation: ForwardedOperation, result: CallResult<unknown>, durationMs: number): void {
        this.#requests.add({ operation, outcome: result.ok ? OK_LABEL : result.refusal });
        this.#duration.observeMs({ operation }, durationMs);
    }
}

type Handlers = { [Kind in EventKind]?: (event: EventOf<Kind>, nowMs: number) => void };

/** Metrics of a control replica. Event counters include only the events that it has committed as the leader. */
export class ControlMetrics {
    readonly registry = new Registry();
    readonly #factory = new MetricFactory(this.registry);
    readonly overload = new OverloadMetrics(this.#factory);
    /** Acceptance time of each job that waits for its first run, by job id. */
    readonly #acceptedAtMs = new Map<string, number>();
    readonly #heartbeats = this.#factory.counter("heartbeats", "Heartbeats of backend servers, by outcome", {
        outcome: OUTCOMES,
    });
    readonly #jobs = this.#factory.counter("job_events", "Jobs accepted, cancelled and given up", {
        event: ["accepted", "cancelled", "given-up"],
    });
    readonly #refusedCalls = this.#factory.openLabelCounter({
        name: "refused_calls",
        help: "Calls that this replica has refused as the leader, by reason and organisation of the API key",
        closedLabel: "reason",
        closedValues: Object.values(Refusal),
        openLabel: "organisation",
        maxOpenValues: MAX_LABELLED_ORGANISATIONS,
    });
    readonly #runsAssigned = this.#factory.counter("runs_assigned", "Runs given to backend servers", {});
    readonly #runsEnded = this.#factory.counter("runs_ended", "Ends of runs, by how they ended", {
        end: [...Object.values(RunEnd), "lost"],
    });
    readonly #startDelay = this.#factory.duration(
        "accepted_to_assigned",
        "Time from a job's acceptance to its first run",
        {},
        START_BUCKETS_SECONDS,
    );
    readonly #longestDuration = this.#factory.duration(
        "longest_duration",
        "Longest duration of a phase in each interval of 0.2 s",
        { phase: Object.values(ControlPhase) },
        PHASE_BUCKETS_SECONDS,
    );
    readonly #eligibilityQuery = this.#factory.duration(
        "eligibility_query_duration",
        "Time from a query to the eligibility service to its answer or failure",
        { outcome: [OK_LABEL, FAILED_LABEL] },
        ELIGIBILITY_BUCKETS_SECONDS,
    );
    readonly #electionToSession = this.#factory.duration(
        "election_to_session",
        "Time from this replica's election to its leader session",
        {},
        PHASE_BUCKETS_SECONDS,
    );
    readonly #electionToFirstAnswer = this.#factory.duration(
        "election_to_first_answer",
        "Time from this replica's election to its first answer to a heartbeat",
        {},
        PHASE_BUCKETS_SECONDS,
    );
    readonly #isLeader = this.#factory.gauge("is_leader", "1 while this replica leads", {});
    readonly #term = this.#factory.gauge("term", "Present term", {});
    readonly #diskFull = this.#factory.gauge("disk_full", "1 while the disk refuses writes for want of room", {});
    readonly #voters = this.#factory.gauge("voters", "Voters that respond, on the leader", {});
    readonly #targetVoters = this.#factory.gauge("target_voters", "Voters that the tolerated losses require", {});
    readonly #tolerableLosses = this.#factory.gauge(
        "tolerable_voter_losses",
        "Further voters whose loss leaves a majority, on the leader",
        {},
    );
    readonly #servers = this.#factory.gauge("backend_servers", "Backend servers that the leader knows", {});
    readonly #cores = this.#factory.gauge("cores", "Processors of the backend servers, by use", {
        use: ["capacity", "standing", "finite", "filler"],
    });
    readonly #waitingTasks = this.#factory.gauge("waiting_tasks", "Tasks that wait for a run, by kind", {
        kind: Object.values(TaskKind),
    });
    readonly #standingTasksOverTarget = this.#factory.gauge(
        "standing_tasks_over_target",
        "Standing tasks over their targets",
        {},
    );

    readonly #longestWait = this.#factory.gauge(
        "longest_wait_seconds",
        "Longest wait of a task for a start, 0 if it is short, by kind",
        { kind: Object.values(TaskKind) },
    );
    readonly #unstartedRuns = this.#factory.gauge(
        "longest_wait_unstarted_runs",
        "Assignments of the task with the longest wait that ended without a start, by cause",
        { kind: Object.values(TaskKind), cause: ["lost", "rejected"] },
    );
    readonly #longestWaitServers = this.#factory.gauge(
        "longest_wait_servers",
        "Servers with room for the task with the longest wait, and the others by what excludes them",
        { kind: Object.values(TaskKind), state: ["room", ...Object.values(Exclusion)] },
    );

    readonly #organisations = new OrganisationMetrics(this.registry);

    readonly #handlers: Handlers = {
        [EventKind.JobAccepted]: ({ job }, nowMs) => {
            this.#jobs.add({ event: "accepted" });
            this.#acceptedAtMs.set(job.id, nowMs);
        },
        [EventKind.JobCancelled]: ({ jobId }) => {
            this.#jobs.add({ event: JobState.Cancelled });
            this.#acceptedAtMs.delete(jobId);
        },
        [EventKind.RunsAssigned]: ({ runs }, nowMs) => {
            this.#runsAssigned.add({}, runs.length);
            runs.forEach(run => this.#observeStartDelay(run.task, nowMs));
        },
        [EventKind.RunsEnded]: ({ ends }) => ends.forEach(({ end }) => this.#runsEnded.add({ end })),
        [EventKind.RunsLost]: ({ runs }) => this.#runsEnded.add({ end: "lost" }, runs.length),
    };

    /** Counts a heartbeat by its outcome. */
    recordHeartbeat(result: CallResult<unknown>): void {
        this.#heartbeats.add({ outcome: result.ok ? OK_LABEL : result.refusal });
    }

    /** Records the longest duration of each phase in an interval. */
    recordLongestDurations(durationsMs: Readonly<Record<ControlPhase, number>>): void {
        Object.values(ControlPhase).forEach(phase => this.#longestDuration.observeMs({ phase }, durationsMs[phase]));
    }

    /** Records the start of a leader session. */
    recordSessionStart(sinceElectionMs: number): void {
        this.#electionToSession.observeMs({}, sinceElectionMs);
    }

    /** Records the first answer to a heartbeat after an election. */
    recordFirstAnswer(sinceElectionMs: number): void {
        this.#electionToFirstAnswer.observeMs({}, sinceElectionMs);
    }

    /** Records the duration of a query to the eligibility service. */
    recordEligibilityQuery(isAnswered: boolean, durationMs: number): void {
        this.#eligibilityQuery.observeMs({ outcome: isAnswered ? OK_LABEL : FAILED_LABEL }, durationMs);
    }

    /** Counts events that this replica has committed as the leader. */
    recordCommitted(events: readonly WorkflowEvent[], nowMs: number): void {
        for (const event of events) {
            const handle = this.#handlers[event.kind] as ((event: WorkflowEvent, nowMs: number) => void) | undefined;
            handle?.(event, nowMs);
        }
    }

    /** Counts a job that has failed because one of its tasks crashes the servers that start it. */
    recordCrashingTask(): void {
        this.#jobs.add({ event: "given-up" });
    }

    /** Counts a refused call; one without a valid key has an empty organisation. */
    recordCallRefused({ refusal, organisation }: CallRefusal): void {
        this.#refusedCalls.add(refusal, organisation ?? "");
    }

    /** Sets the current role and term. Discards the acceptance times of waiting jobs unless the replica leads. */
    setRole(isLeader: boolean, term: number): void {
        this.#isLeader.set({}, isLeader ? 1 : 0);
        this.#term.set({}, term);
        if (!isLeader) {
            this.#acceptedAtMs.clear();
            this.#organisations.set([]);
        }
    }

    /** Sets whether the disk refuses writes for want of room. */
    setDiskFull(isFull: boolean): void {
        this.#diskFull.set({}, isFull ? 1 : 0);
    }

    /** Sets the gauges of the voters; a replica that does not lead reports zeros. */
    setVoterStatus(status: VoterStatus | undefined): void {
        this.#voters.set({}, status?.voters ?? 0);
        this.#targetVoters.set({}, status?.targetVoters ?? 0);
        this.#tolerableLosses.set({}, status?.tolerableLosses ?? 0);
    }

    /** Sets the gauges of the backend servers' utilization. */
    setUtilization(utilization: Utilization): void {
        this.#servers.set({}, utilization.servers);
        this.#cores.set({ use: "capacity" }, utilization.capacityCores);
        this.#cores.set({ use: "standing" }, utilization.standingCores);
        this.#cores.set({ use: "finite" }, utilization.finiteCores);
        this.#cores.set({ use: "filler" }, utilization.fillerUsedCores);
        Object.values(TaskKind).forEach(kind => this.#waitingTasks.set({ kind }, utilization.waitingTasks[kind]));
        this.#standingTasksOverTarget.set({}, utilization.standingTasksOverTarget);
    }

    /** Sets the gauges of the organisations, the busiest ones first. */
    setOrganisations(usages: readonly OrganisationUsage[]): void {
        this.#organisations.set(usages);
    }

    /**
     * Sets the gauges of the tasks with the longest waits, but for those that only the limits of their organisation hold
     * back; those of kinds without a report become zero.
     */
    setWaitReports(reports: readonly WaitReport[]): void {
        for (const kind of Object.values(TaskKind)) {
            const report = reports.find(candidate => candidate.kind === kind && !isHeldByLimit(candidate));
            this.#longestWait.set({ kind }, (report?.waitedMs ?? 0) / 1_000);
            this.#unstartedRuns.set({ kind, cause: "lost" }, report?.lostRuns ?? 0);
            this.#unstartedRuns.set({ kind, cause: "rejected" }, report?.rejectedRuns ?? 0);
            this.#longestWaitServers.set({ kind, state: "room" }, report?.serversWithRoom ?? 0);
            for (const exclusion of Object.values(Exclusion)) {
                this.#longestWaitServers.set({ kind, state: exclusion }, report?.excludedServers[exclusion] ?? 0);
            }
        }
    }

    #observeStartDelay(task: string, nowMs: number): void {
        const jobId = task.split(".", 1)[0] ?? "";
        const acceptedAtMs = this.#acceptedAtMs.get(jobId);
        if (acceptedAtMs !== undefined) {
            this.#acceptedAtMs.delete(jobId);
            this.#startDelay.observeMs({}, nowMs - acceptedAtMs);
        }
    }
}
