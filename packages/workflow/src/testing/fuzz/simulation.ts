import { SeededRandom } from "@waxwingspread/common";
import { Ok } from "ts-results-es";
import type { Times } from "../../leader/times.js";
import { Refusal } from "../../model/calls.js";
import type { JobState } from "../../model/calls.js";
import type { HeartbeatOrders, HeartbeatReport } from "../../model/heartbeat.js";
import { RunEnd } from "../../model/heartbeat.js";
import type { JobSpecification, StepSpecification, TaskPosition } from "../../model/specification.js";
import type { CommittedRecord } from "../../node/replicated-log.js";
import { WorkflowNode } from "../../node/workflow-node.js";
import { decodeEvents, EventKind } from "../../state/events.js";
import { configurationOf, HOST } from "../fixtures.js";
import { LEADER_SETTINGS } from "../single-replica.js";
import { DelayedMessages } from "./delayed-messages.js";
import { LivenessCheck } from "./liveness.js";
import { Oracle } from "./oracle.js";
import type { SubmittedJob } from "./oracle.js";
import { SimulatedWorker } from "./simulated-worker.js";
import type { TaskBehaviour, WorkerOptions } from "./simulated-worker.js";
import { StandingCheck } from "./standing-check.js";

const START_MS = 1_000_000;
const TICK_MS = 20;
const MAX_ATTEMPTS = 3;
/** Time between the loss of a leader and the election of the next one. */
const ELECTION_MS = 500;
const MIN_CLOCK_RATE = 0.98;
const MAX_NETWORK_DELAY_MS = 60;
/** Additional delay of the messages of a worker whose network is slow; longer than a worker waits for an answer. */
const MAX_SLOW_NETWORK_DELAY_MS = 2_500;
/** Time for which a follower holds a heartbeat until a leader answers it. */
const MAX_PASS_ON_MS = 800;
const LIVENESS_INTERVAL_MS = 100;

/** Duration and outcome of the runs of a job. */
export interface JobBehaviour {
    durationMs: number;
    /** Whether the tasks fail wherever they run. */
    failsAlways: boolean;
    /** Whether each run crashes its worker. */
    crashesWorkers?: boolean;
    /** Time after which a run of a standing task fails; undefined if it runs until it is stopped. */
    standingFailureMs?: number;
    /** Path prefix of the job's queue; `batch` by default. */
    queue?: string;
}

/** Properties of a simulated worker. */
export type SimulatedFleet = readonly Pick<
    WorkerOptions,
    "availabilityZone" | "labels" | "capacity" | "clockRate" | "guardsCapacity" | "hiddenMillicores" | "dropsAnswers"
>[];

/** Four equal workers in two zones, one of them with a slow clock, two that guard their capacity. */
export const SMALL_FLEET: SimulatedFleet = ["a", "a", "b", "b"].map((availabilityZone, index) => ({
    availabilityZone,
    labels: [index % 2 === 0 ? "even" : "odd", "r1"],
    capacity: { cpuMillicores: 4_000, memoryMebibytes: 8_000, accelerators: 0 },
    clockRate: index === 0 ? MIN_CLOCK_RATE : 1,
    guardsCapacity: index === 1 || index === 2,
    hiddenMillicores: 0,
    dropsAnswers: false,
}));

const DEFAULT_BEHAVIOUR: JobBehaviour = { durationMs: 100, failsAlways: false };

interface Leader {
    node: WorkflowNode;
    term: number;
    /** False after the loss of the leadership; earlier answers may still be in flight. */
    isLeading: boolean;
}

/** Simulates workers, callers and a succession of leaders on a log of which only committed records survive. */
export class Simulation {
    readonly jobs = new Map<string, SubmittedJob>();
    readonly workers: SimulatedWorker[];
    readonly oracle: Oracle;
    readonly liveness: LivenessCheck;
    readonly standing: StandingCheck;
    readonly #behaviours = new Map<string, JobBehaviour>();
    readonly #random: SeededRandom;
    /** Times until which workers fail all runs that end by themselves, by worker. */
    readonly #failingUntilMs = new Map<string, number>();
    /** Times until which workers exchange no messages with the leader, by worker. */
    readonly #partitionedUntilMs = new Map<string, number>();
    /** Times until which the messages of workers arrive late, by worker. */
    readonly #slowUntilMs = new Map<string, number>();
    readonly #messages = new DelayedMessages();
    #log: CommittedRecord[] = [];
    #committedCount = 0;
    #leader: Leader | undefined;
    #nextElectionAtMs = START_MS;
    /** Time until which the log commits nothing, as without a quorum. */
    #stalledUntilMs = START_MS;
    #term = 0;
    #nowMs = START_MS;

    constructor(seed: number, fleet = SMALL_FLEET) {
        this.#random = new SeededRandom(seed);
        this.workers = fleet.map((properties, index) =>
            new SimulatedWorker({
                ...properties,
                id: `w${index}`,
                behaviour: this.#createBehaviour(),
                observer: {
                    started: (worker, order, run, nowMs) => {
                        this.oracle.started(worker, order, run, nowMs);
                        this.#completeGang(run.position);
                    },
                    rejected: (worker, run, nowMs) => this.oracle.rejected(worker, run, nowMs),
                    ended: (worker, run, end) => {
                        this.oracle.ended(run, end);
                        this.#breakGang(run.position, end);
                    },
                    acknowledged: (task, run, end) => this.oracle.acknowledged(task, run, end),
                    crashed: (worker, nowMs) => {
                        this.oracle.crashed(worker, nowMs);
                        this.liveness.recordCrash(nowMs);
                    },
                },
            })
        );
        this.oracle = new Oracle(this.jobs, this.workers);
        this.liveness = new LivenessCheck(this.jobs, this.workers, this.oracle);
        this.standing = new StandingCheck(this.jobs, this.workers, this.oracle);
    }

    get #times(): Times {
        return { nowMs: this.#nowMs, timeOfDayMs: this.#nowMs };
    }

    /** Advances the simulated time in steps of `TICK_MS`. */
    advance(durationMs: number): void {
        const endMs = this.#nowMs + durationMs;
        while (this.#nowMs < endMs) {
            this.#nowMs += TICK_MS;
            this.#electLeader();
            this.workers.forEach(worker => worker.advance(this.#nowMs));
            this.#messages.deliverDue(this.#nowMs);
            this.workers.forEach(worker => this.#sendHeartbeat(worker));
            this.#runLeader();
        }
    }

    /** Advances the simulated time and checks that standing tasks are at work; to be called between disturbances. */
    advanceCheckingStanding(durationMs: number): void {
        const endMs = this.#nowMs + durationMs;
        while (this.#nowMs < endMs) {
            this.advance(LIVENESS_INTERVAL_MS);
            this.standing.observe(this.#nowMs);
        }
    }

    /** Tells the check of standing tasks that a disturbance lasts until the given time from now. */
    recordDisturbance(durationMs: number): void {
        this.standing.recordDisturbance(this.#nowMs + durationMs);
    }

    /** Changes a worker's capacity to a share of its original one. */
    /** Advances the simulated time without disturbances while it checks that all tasks with capacity are at work. */
    advanceCheckingLiveness(durationMs: number): void {
        const endMs = this.#nowMs + durationMs;
        while (this.#nowMs < endMs) {
            this.advance(LIVENESS_INTERVAL_MS);
            this.liveness.observe(this.#nowMs);
        }
    }

    submit(specification: JobSpecification, behaviour: JobBehaviour): void {
        const job: SubmittedJob = this.jobs.get(specification.id) ?? {
            specification,
            maxAttempts: MAX_ATTEMPTS,
            crashesWorkers: behaviour.crashesWorkers === true,
            isAccepted: false,
            cancelledAtMs: undefined,
            possibleCancellations: 0,
        };
        this.jobs.set(specification.id, job);
        this.#behaviours.set(specification.id, behaviour);
        const address = { host: HOST, path: `/${behaviour.queue ?? "batch"}/${specification.id}` };
        this.#leader?.node.submit(address, specification, result => {
            job.isAccepted ||= result.ok;
        }, this.#times);
        this.#runLeader();
    }

    /** Repeats the submissions that were not acknowledged, as callers do. */
    resubmit(): void {
        for (const [id, job] of this.jobs) {
            if (!job.isAccepted) {
                this.submit(job.specification, this.#behaviours.get(id) ?? DEFAULT_BEHAVIOUR);
            }
        }
    }

    cancel(id: string): void {
        const job = this.jobs.get(id);
        if (this.#leader === undefined || job === undefined) {
            return;
        }
        job.possibleCancellations += 1;
        this.#leader.node.cancel(id, result => {
            if (result.ok) {
                job.cancelledAtMs ??= this.#nowMs;
            }
            else if (result.refusal !== Refusal.Uncertain) {
                job.possibleCancellations -= 1;
            }
        }, this.#times);
        this.#runLeader();
    }

    setZone(zone: string, isOut: boolean): void {
        if (!isOut) {
            this.oracle.zonesOutSinceMs.delete(zone);
        }
        this.#leader?.node.setZone(zone, isOut, result => {
            if (result.ok && isOut) {
                this.oracle.zonesOutSinceMs.set(zone, this.#nowMs);
            }
            else if (result.ok) {
                this.oracle.zonesOutSinceMs.delete(zone);
            }
        }, this.#times);
        this.#runLeader();
    }

    /**
     * Drops the leader; its answers in flight still arrive. The next leader has the committed records and may have a part
     * of the others, which it commits.
     */
    loseLeader(): void {
        if (this.#leader !== undefined) {
            this.#leader.isLeading = false;
            this.#leader.node.handleLeadershipLost();
            this.#leader = undefined;
            this.#nextElectionAtMs = this.#nowMs + ELECTION_MS;
        }
        this.#log.length = this.#random.nextInteger(this.#committedCount, this.#log.length);
    }

    /** Stops all commits for the given time. */
    stallLog(durationMs: number): void {
        this.#stalledUntilMs = this.#nowMs + durationMs;
    }

    /** Crashes a worker that is up again at once. */
    restartWorker(index: number): void {
        const worker = this.workers[index];
        worker?.crash(0, this.#nowMs);
        worker?.restart();
    }

    /** Crashes a worker by a fault of its own. */
    crashWorker(index: number, downMs: number): void {
        this.workers[index]?.crash(downMs, this.#nowMs);
    }

    drainWorker(index: number): void {
        const worker = this.workers[index];
        if (worker !== undefined) {
            worker.isDraining = true;
        }
    }

    partitionWorker(index: number, durationMs: number): void {
        this.#partitionedUntilMs.set(`w${index}`, this.#nowMs + durationMs);
    }

    /** Delays the messages from and to a worker, so that heartbeats arrive after later ones or at a later leader. */
    slowDownNetwork(index: number, durationMs: number): void {
        this.#slowUntilMs.set(`w${index}`, this.#nowMs + durationMs);
    }

    failWorker(index: number, durationMs: number): void {
        this.#failingUntilMs.set(`w${index}`, this.#nowMs + durationMs);
    }

    /** Changes a worker's capacity to a share of its full capacity. */
    resizeWorker(index: number, cpuRatio: number, memoryRatio: number): void {
        const worker = this.workers[index];
        if (worker !== undefined) {
            const { cpuMillicores, memoryMebibytes, accelerators } = worker.options.capacity;
            worker.capacity.change({
                cpuMillicores: Math.floor(cpuMillicores * cpuRatio),
                memoryMebibytes: Math.floor(memoryMebibytes * memoryRatio),
                accelerators,
            }, this.#nowMs);
        }
    }

    /** Ends all disruptions. */
    heal(): void {
        this.#partitionedUntilMs.clear();
        this.#slowUntilMs.clear();
        this.#failingUntilMs.clear();
        this.#stalledUntilMs = this.#nowMs;
        this.workers.filter(worker => worker.isDraining || !worker.isUp).forEach(worker => worker.restart());
        this.workers.forEach(worker => worker.capacity.change(worker.options.capacity, this.#nowMs));
        ["a", "b"].forEach(zone => this.setZone(zone, false));
    }

    /** Returns a job's state as reported to its caller; undefined without an answer. */
    stateOf(id: string): JobState | undefined {
        let state: JobState | undefined;
        this.#leader?.node.jobState(id, result => {
            state = result.ok ? result.value : undefined;
        }, this.#times);
        this.#runLeader();
        return state;
    }

    #createBehaviour(): TaskBehaviour {
        const stepOf = ({ jobId, step }: TaskPosition): StepSpecification | undefined =>
            this.jobs.get(jobId)?.specification.steps[step];
        return {
            stepOf,
            durationMs: position =>
                stepOf(position)?.isStanding === true
                    ? this.#behaviours.get(position.jobId)?.standingFailureMs
                    : this.#behaviours.get(position.jobId)?.durationMs,
            fails: (position, unusedRun, workerId) =>
                this.#behaviours.get(position.jobId)?.failsAlways === true
                || stepOf(position)?.isStanding === true
                || this.#nowMs < (this.#failingUntilMs.get(workerId) ?? 0),
            crashes: ({ jobId }) => this.#behaviours.get(jobId)?.crashesWorkers === true,
        };
    }

    #electLeader(): void {
        // A new leader serves only after its own first record, and so all earlier ones, are committed.
        if (this.#leader !== undefined || this.#nowMs < Math.max(this.#nextElectionAtMs, this.#stalledUntilMs)) {
            return;
        }
        this.#term += 1;
        const leader: Leader = { term: this.#term, isLeading: true, node: this.#createNode(this.#term) };
        this.#leader = leader;
        this.#log.push({ index: this.#log.length + 1, term: this.#term, data: undefined });
        leader.node.applyCommitted(this.#log, this.#times);
        this.#committedCount = this.#log.length;
        this.#runLeader();
        leader.node.configure(this.#createConfiguration(), () => undefined, this.#times);
        this.#runLeader();
    }

    #createConfiguration() {
        const configuration = configurationOf(1);
        const queues = configuration.queues.map(queue => ({ ...queue, maxAttempts: MAX_ATTEMPTS, priority: 1 }));
        const urgent = queues.map(queue => ({ ...queue, name: "urgent", pathPrefix: "/urgent/", priority: 0 }));
        return { ...configuration, queues: [...queues, ...urgent] };
    }

    #createNode(term: number): WorkflowNode {
        const isLeading = (): boolean => this.#leader?.term === term;
        return new WorkflowNode({
            settings: LEADER_SETTINGS,
            log: {
                term,
                get isLeader() {
                    return isLeading();
                },
                hasQuorumLease: isLeading,
                startLeadershipCheck: nowMs => nowMs,
                isLeadershipConfirmed: isLeading,
                propose: data => {
                    decodeEvents(data)
                        .flatMap(event => event.kind === EventKind.RunsAssigned ? event.runs : [])
                        .forEach(run => this.oracle.assigned(run, this.#nowMs));
                    this.#log.push({ index: this.#log.length + 1, term, data });
                    return Ok(this.#log.length);
                },
            },
        });
    }

    /** Commits the records proposed so far, unless the log is stalled, and runs the leader; both in two rounds. */
    #runLeader(): void {
        const leader = this.#leader;
        if (leader === undefined) {
            return;
        }
        for (let round = 0; round < 2; round += 1) {
            if (this.#nowMs >= this.#stalledUntilMs) {
                const records = this.#log.slice(this.#committedCount);
                this.#committedCount = this.#log.length;
                leader.node.applyCommitted(records, this.#times);
            }
            leader.node.run(this.#times);
        }
    }

    #isPartitioned(worker: SimulatedWorker): boolean {
        return this.#nowMs < (this.#partitionedUntilMs.get(worker.id) ?? 0);
    }

    #sendHeartbeat(worker: SimulatedWorker): void {
        if (!worker.isHeartbeatDue(this.#nowMs)) {
            return;
        }
        const report = worker.report(this.#nowMs);
        if (this.#isPartitioned(worker)) {
            return;
        }
        const { sequence, incarnation, isDraining } = report;
        const respond = (orders: HeartbeatOrders | undefined): void => {
            if (isDraining) {
                const key = `${worker.id}/${incarnation}`;
                const sinceMs = this.oracle.drainingSinceMs.get(key) ?? this.#nowMs;
                this.oracle.drainingSinceMs.set(key, sinceMs);
            }
            this.#scheduleDelivery(worker, () => {
                if (!this.#isPartitioned(worker)) {
                    worker.answer(sequence, incarnation, orders, this.#nowMs);
                }
            });
        };
        this.#scheduleDelivery(worker, () => this.#passOn(report, respond, this.#nowMs + MAX_PASS_ON_MS));
    }

    /**
     * Delivers a heartbeat to the leader as a follower does: while there is none, and if the leader is lost before it has
     * answered, the heartbeat waits for the next one.
     */
    #passOn(report: HeartbeatReport, respond: (orders: HeartbeatOrders | undefined) => void, untilMs: number): void {
        const retry = (): void => {
            if (this.#nowMs < untilMs) {
                const deliver = (): void => this.#passOn(report, respond, untilMs);
                this.#messages.send(this.#nowMs + TICK_MS, deliver);
            }
        };
        if (this.#leader === undefined) {
            retry();
            return;
        }
        this.#leader.node.heartbeat(report, result => result.ok ? respond(result.value) : retry(), this.#times);
    }

    #scheduleDelivery(worker: SimulatedWorker, deliver: () => void): void {
        const isSlow = this.#nowMs < (this.#slowUntilMs.get(worker.id) ?? 0);
        const maxDelayMs = isSlow ? MAX_SLOW_NETWORK_DELAY_MS : MAX_NETWORK_DELAY_MS;
        this.#messages.send(this.#nowMs + this.#random.nextInteger(0, maxDelayMs), deliver);
    }

    /** Starts the work of a gang once all members of one run are present. */
    #completeGang(position: TaskPosition): void {
        const members = this.#presentMembers(position);
        const [first] = members;
        if (first?.run.step.isGang !== true || members.length < first.run.step.taskCount) {
            return;
        }
        for (const { run } of members) {
            run.isGangComplete = true;
            run.endsAtMs = this.#nowMs + (this.#behaviours.get(position.jobId)?.durationMs ?? 0);
        }
    }

    #breakGang(position: TaskPosition, end: RunEnd): void {
        const isGang = this.jobs.get(position.jobId)?.specification.steps[position.step]?.isGang === true;
        const isFollowUp = end === RunEnd.GangBroken;
        if (!isGang || isFollowUp) {
            return;
        }
        const membersEnd = end === RunEnd.Done ? RunEnd.Done : RunEnd.GangBroken;
        this.#presentMembers(position)
            .filter(({ run }) => run.isGangComplete)
            .forEach(({ worker, run }) => worker.endGangMember(run.task, membersEnd));
    }

    #presentMembers(position: TaskPosition) {
        const isMember = (other: TaskPosition): boolean =>
            other.jobId === position.jobId && other.step === position.step && other.occurrence === position.occurrence;
        return this.workers.flatMap(worker =>
            [...worker.runs.values()].filter(run => isMember(run.position)).map(run => ({ worker, run }))
        );
    }
}
