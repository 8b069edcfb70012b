import type { QueueContract } from "../../model/configuration.js";
import type { RunEnd } from "../../model/heartbeat.js";
import { queueAddressOf } from "../../model/queue-identity.js";
import { countedMillicoresOf, TaskKind } from "../../model/specification.js";
import type { JobRecord } from "../../state/job-record.js";
import { TaskPhase } from "../../state/occurrence-records.js";
import type { ServerCounts } from "../placement.js";
import type { RunView, ServerView } from "../server-view.js";
import type { SubmissionCheck } from "../submission-control.js";
import type { Times } from "../times.js";
import type { WaitingStep, WorkQueue } from "../work-queue.js";
import { finiteRoomCores } from "./finite-room.js";
import { JobOutcomes } from "./job-outcomes.js";
import type { JobOutcomeReport } from "./job-outcomes.js";
import { RunTimeRatios } from "./run-time-ratios.js";
import { READMISSION_RATIO, StandingAdmission, standingCoresOf } from "./standing-admission.js";
import type { RoomForecast, StandingAdmissionReport } from "./standing-admission.js";
import { summarizeWaits } from "./wait-summary.js";
import type { WaitSummary } from "./wait-summary.js";
import { competitionKeyOf, WorkDemand } from "./work-demand.js";
import type { Competition } from "./work-demand.js";

/** Interval at which it is decided anew whether room is scarce: each decision looks at all servers. */
const SCARCITY_INTERVAL_MS = 500;

/** Time in which the servers find a new leader. Until then it refuses nothing, since most of the room is unknown. */
const DISCOVERY_MS = 2_000;

/** What an operator sees of the overload control since the last report. */
export interface OverloadReport {
    waits: WaitSummary[];
    outcomes: JobOutcomeReport;
    standingAdmission: StandingAdmissionReport & Partial<RoomForecast>;
    /** Run times by queue, as multiples of the callers' estimates. */
    runTimeRatios: Record<string, number>;
}

/** Dependencies of an {@link OverloadControl}. */
export interface OverloadControlOptions {
    queue: WorkQueue;
    servers: () => Iterable<ServerView>;
    zonesOutOfService: () => ReadonlySet<string>;
    /** Time at which the leader's session began. */
    startedAtMs: number;
    /** Counts the servers that can run a step now. */
    countServers: (waiting: WaitingStep, nowMs: number) => ServerCounts;
}

/** Decides what is refused when there is too little room, and tells who pays for it. */
export class OverloadControl {
    readonly #options: OverloadControlOptions;
    readonly #outcomes = new JobOutcomes();
    readonly #runTimeRatios = new RunTimeRatios();
    readonly #demand = new WorkDemand();
    readonly #standingAdmission: StandingAdmission;
    #lastForecast: RoomForecast | undefined;
    /** Cached sizes of the finite tasks that lack room, by service and priority. */
    readonly #scarcity = new Map<string, { millicores: number; validUntilMs: number }>();
    /** Jobs whose end is still to be recorded. */
    readonly #openJobs = new Set<string>();

    constructor(options: OverloadControlOptions) {
        this.#options = options;
        this.#standingAdmission = new StandingAdmission((queue, nowMs) => this.#forecast(queue, nowMs));
    }

    /** Refuses a job that would take room that costs other callers more. */
    readonly check: SubmissionCheck = (job, queue, times, isPreview) =>
        times.nowMs - this.#options.startedAtMs < DISCOVERY_MS
            ? undefined
            : this.#standingAdmission.check(job, queue, times, isPreview);

    /** Returns the size of the finite tasks for which a queue's service has too little room; 0 if it has enough. */
    scarceTaskMillicores(queue: QueueContract, nowMs: number): number {
        const key = competitionKeyOf(queue);
        let cached = this.#scarcity.get(key);
        if (cached === undefined || nowMs >= cached.validUntilMs) {
            const { roomCores, neededCores } = this.#forecast(queue, nowMs);
            const isScarce = neededCores > 0 && roomCores < READMISSION_RATIO * neededCores;
            const { millicoresPerTask } = this.#demand.finiteNeed(queue, nowMs);
            cached = { millicores: isScarce ? millicoresPerTask : 0, validUntilMs: nowMs + SCARCITY_INTERVAL_MS };
            this.#scarcity.set(key, cached);
        }
        return cached.millicores;
    }

    /** Records an accepted job. A new leader records those of former ones in the same way, with their ages. */
    recordAccepted({ id, isOver, specification, queue, acceptedAtMs }: JobRecord, { nowMs, timeOfDayMs }: Times): void {
        this.#demand.record(specification, queue, nowMs - Math.max(0, timeOfDayMs - acceptedAtMs));
        if (!isOver) {
            this.#openJobs.add(id);
        }
    }

    /** Records that a server was chosen for a run. */
    recordAssigned(run: RunView, timeOfDayMs: number): void {
        this.#outcomes.recordAssigned(run, timeOfDayMs);
    }

    /** Records that a server has reported a run for the first time. */
    recordStarted(run: RunView | undefined): void {
        if (run !== undefined) {
            this.#outcomes.recordStarted(run);
        }
    }

    /** Records the end of a run of a job. */
    recordRunEnd(job: JobRecord | undefined, run: RunView | undefined, end: RunEnd, nowMs: number): void {
        if (job !== undefined && run !== undefined) {
            this.#runTimeRatios.recordEnd(queueAddressOf(job.queue), run, end, nowMs);
        }
    }

    /** Records the end of a job; has no effect for a job that is open or whose end has been recorded. */
    recordEnd(job: JobRecord | undefined, nowMs: number): void {
        if (job?.isOver !== true || !this.#openJobs.delete(job.id)) {
            return;
        }
        this.#outcomes.recordEnd(job);
        const cores = standingCoresOf(job.specification);
        if (cores > 0) {
            this.#standingAdmission.recordDeparture(cores, nowMs);
        }
    }

    /** Discards what is known of jobs that have ended. */
    retain(isOpen: (jobId: string) => boolean): void {
        this.#outcomes.retain(isOpen);
        for (const jobId of this.#openJobs) {
            if (!isOpen(jobId)) {
                this.#openJobs.delete(jobId);
            }
        }
    }

    /** Returns the waits at present, and the outcomes and decisions since the last call. */
    takeReport({ nowMs, timeOfDayMs }: Times): OverloadReport {
        const { queue, countServers } = this.#options;
        return {
            waits: summarizeWaits(queue.steps, waiting => countServers(waiting, nowMs), timeOfDayMs),
            outcomes: this.#outcomes.take(),
            standingAdmission: { ...this.#standingAdmission.takeReport(), ...this.#lastForecast },
            runTimeRatios: this.#runTimeRatios.toTable(),
        };
    }

    /** Standing tasks that wait will take their room as well. */
    #forecast(competition: Competition, nowMs: number): RoomForecast {
        const { queue, servers, zonesOutOfService } = this.#options;
        const { service } = competition;
        const { cores, millicoresPerTask } = this.#demand.finiteNeed(competition, nowMs);
        const roomCores = finiteRoomCores(servers(), service, zonesOutOfService(), millicoresPerTask)
            - waitingStandingCores(queue.steps, service);
        this.#lastForecast = { roomCores, neededCores: cores };
        return this.#lastForecast;
    }
}

const waitingStandingCores = (steps: readonly WaitingStep[], service: string): number => {
    let millicores = 0;
    for (const { kind, job, step, record } of steps) {
        if (kind === TaskKind.Standing && job.queue.service === service) {
            const tasks = record.tasks.filter(({ phase }) => phase === TaskPhase.Waiting).length;
            millicores += tasks * countedMillicoresOf(step);
        }
    }
    return millicores / 1_000;
};
