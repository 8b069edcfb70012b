import { create } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { ResourcesSchema, WorkKind } from "@waxwingspread/protocol";
import { MitigationKind } from "@waxwingspread/scheduler";
import type { PlacedTask, PlacementQuery, PolicySet, QueuedJob, ServerView } from "@waxwingspread/scheduler";
import { createJob, createMachineTask } from "./bench-job.js";
import type { BenchJob } from "./bench-job.js";
import { classKeyOf } from "./deployments.js";
import type { Deployment } from "./deployments.js";
import { EventQueue } from "./event-queue.js";
import { Fleet } from "./fleet.js";
import type { TaskReport } from "./fleet.js";
import type { MachineTask } from "./machines.js";
import { Recorder, StopCause } from "./recorder.js";
import type { RunResult } from "./recorder.js";
import { createServerViews, registerCustomers, serverIdOf, zonesToAvoid } from "./registration.js";
import type { TrueSlowdowns } from "./true-slowdowns.js";
import type { BatchJobSpec, Workload } from "./workload.js";
import { DRAIN_MS, DRAIN_START_MS, DRIFT_MS, RUN_MS, ZONE_INTERVAL_END_MS, ZONE_RETURN_MS } from "./workload.js";

/** Duration of a checkpoint. The task makes no progress, but still occupies its slot. */
const CHECKPOINT_MS = 400;
/** Run time that is repeated after resuming from a checkpoint. */
const RESTART_COST_MS = 1_000;
/** Bounds of the delay between a measurement and the arrival of its report. */
const REPORT_LAG_MS = [800, 2_000] as const;
const REPORT_INTERVAL_MS = 1_000;
const TICK_MS = 200;
const MITIGATION_INTERVAL_MS = 600;
/** Number of batch jobs kept queued for each customer, so that there is always more work than capacity. */
const BATCH_BACKLOG = 40;
const SELECTION_SIZE = 16;
const LATENCY_CRITICAL_SELECTION_SIZE = 4;
const MAX_ROUNDS = 12;
/** Time after which new victims are selected for a job that is still queued. */
const PREEMPTION_RETRY_MS = 1_500;
/** Time after the end of arrivals in which the last requests complete. */
const SETTLE_MS = 8_000;

/**
 * Simulates one policy variant on one workload: queueing, placement, preemption, mitigation of interference and the
 * drain and return of an availability zone.
 */
export class PolicyRun {
    readonly #deployment: Deployment;
    readonly #workload: Workload;
    readonly #policies: PolicySet;
    readonly #events = new EventQueue();
    readonly #fleet: Fleet;
    readonly #recorder = new Recorder();
    readonly #random: SeededRandom;
    readonly #slowdowns: TrueSlowdowns;
    readonly #servers = new Map<string, ServerView>();
    readonly #queued = new Map<string, BenchJob>();
    readonly #running = new Map<string, BenchJob>();
    readonly #nextBatch = new Map<string, number>();
    #jobCount = 0;
    #tickCount = 0;

    constructor(
        deployment: Deployment,
        workload: Workload,
        slowdowns: TrueSlowdowns,
        policies: PolicySet,
        seed: number,
    ) {
        this.#deployment = deployment;
        this.#workload = workload;
        this.#policies = policies;
        this.#slowdowns = slowdowns;
        this.#random = new SeededRandom(seed);
        const serverIds = Array.from({ length: deployment.servers }, (unused, index) => serverIdOf(index));
        this.#fleet = new Fleet(deployment, serverIds, slowdowns, this.#events, {
            ended: (serverId, task, nowMs) => this.#handleTaskEnd(task, nowMs),
            batchProgressed: (workMs, nowMs) => this.#recorder.recordBatchWork(workMs, nowMs),
        }, this.#random);
    }

    run(): RunResult {
        this.#setUp();
        for (;;) {
            const next = this.#events.take(RUN_MS + SETTLE_MS);
            if (next === undefined) {
                return this.#recorder.result();
            }
            next.action();
        }
    }

    #setUp(): void {
        this.#registerServers();
        registerCustomers(this.#deployment, this.#policies);
        for (let index = 0; index < this.#deployment.standingTasks; index += 1) {
            const classIndex = this.#deployment.classes.findIndex(profile => profile.workKind === WorkKind.STANDING);
            this.#submit(classIndex, Number.MAX_SAFE_INTEGER, 0);
        }
        this.#tick(0);
        for (const arrival of this.#workload.latencyCriticalArrivals) {
            this.#events.add(arrival.atMs, () => {
                this.#recorder.recordRequestArrival(arrival.atMs);
                this.#submit(arrival.classIndex, arrival.runTimeMs, arrival.atMs);
                this.#schedule(arrival.atMs, LATENCY_CRITICAL_SELECTION_SIZE);
            });
        }
        for (const period of this.#workload.interferencePeriods) {
            const { classIndex, fromMs, untilMs, intensity } = period;
            this.#events.add(fromMs, () => this.#fleet.multiplyIntensity(classIndex, intensity, fromMs));
            this.#events.add(untilMs, () => this.#fleet.multiplyIntensity(classIndex, 1 / intensity, untilMs));
        }
        const driftRandom = new SeededRandom(this.#workload.latencyCriticalArrivals.length);
        this.#events.add(DRIFT_MS, () => this.#fleet.advanceAll(DRIFT_MS, () => this.#slowdowns.drift(driftRandom)));
        [DRAIN_START_MS, ZONE_INTERVAL_END_MS, RUN_MS].forEach(atMs =>
            this.#events.add(atMs, () => this.#fleet.advanceAll(atMs, () => undefined))
        );
        this.#events.add(DRAIN_START_MS, () => this.#startDrain(DRAIN_START_MS));
        this.#events.add(ZONE_RETURN_MS, () => this.#startRefill(ZONE_RETURN_MS));
    }

    #registerServers(): void {
        let index = 0;
        for (const view of createServerViews(this.#deployment)) {
            this.#servers.set(view.backendServerId, view);
            this.#policies.placement.upsertServer(view);
            const firstMs = index * REPORT_INTERVAL_MS / this.#deployment.servers;
            this.#events.add(firstMs, () => this.#sendReports(view.backendServerId, firstMs));
            index += 1;
        }
    }

    #submit(classIndex: number, runTimeMs: number, nowMs: number): void {
        const profile = this.#deployment.classes[classIndex];
        if (profile === undefined) {
            return;
        }
        this.#jobCount += 1;
        this.#enqueue(createJob(`job${this.#jobCount}`, classIndex, profile, runTimeMs, nowMs));
    }

    #enqueue(job: BenchJob): void {
        this.#queued.set(job.key, job);
        this.#policies.fairShare.enqueue({
            jobKey: job.key,
            customer: job.profile.customer,
            classKey: classKeyOf(job.profile),
            workKind: job.profile.workKind,
            reserved: this.#policies.reservation.reserve(classKeyOf(job.profile), job.profile.declared),
            queuedAtMs: job.arrivedAtMs,
            notBeforeMs: 0,
            deadlineMs: 0,
            latencyTargetMs: job.profile.targetMs,
        });
    }

    #tick(nowMs: number): void {
        this.#tickCount += 1;
        this.#refillBacklog(nowMs);
        this.#stopDrainedTasks(nowMs);
        this.#continueRefill(nowMs);
        for (const { taskKey } of this.#policies.fairShare.selectReclaimVictims(nowMs, SELECTION_SIZE)) {
            this.#stopTask(taskKey, StopCause.Reclaimed, nowMs);
        }
        if (this.#tickCount % (MITIGATION_INTERVAL_MS / TICK_MS) === 0) {
            this.#applyMitigations(nowMs);
        }
        this.#schedule(nowMs, SELECTION_SIZE);
        if (nowMs + TICK_MS <= RUN_MS + SETTLE_MS) {
            this.#events.add(nowMs + TICK_MS, () => this.#tick(nowMs + TICK_MS));
        }
    }

    #refillBacklog(nowMs: number): void {
        for (const [customer, jobs] of this.#workload.batchByCustomer) {
            while (this.#policies.fairShare.queuedCount(customer) < BATCH_BACKLOG) {
                const next = this.#nextBatch.get(customer) ?? 0;
                const job: BatchJobSpec | undefined = jobs[next % jobs.length];
                if (job === undefined) {
                    break;
                }
                this.#nextBatch.set(customer, next + 1);
                this.#submit(job.classIndex, job.runTimeMs, nowMs);
            }
        }
    }

    #schedule(nowMs: number, selection: number): void {
        for (let round = 0; round < MAX_ROUNDS; round += 1) {
            let started = 0;
            for (const queued of this.#policies.fairShare.next(nowMs, selection)) {
                const job = this.#queued.get(queued.jobKey);
                if (job === undefined || this.#policies.fairShare.blockingReason(queued) !== undefined) {
                    continue;
                }
                const query = this.#createQuery(job, queued);
                const placement = this.#policies.placement.choose(query, nowMs);
                if (placement !== undefined) {
                    this.#assign(job, queued, placement.backendServerId, nowMs);
                    started += 1;
                }
                else if (queued.workKind !== WorkKind.BATCH) {
                    this.#preempt(job, query, nowMs);
                }
            }
            if (started === 0) {
                return;
            }
        }
    }

    #createQuery(job: BenchJob, queued: QueuedJob): PlacementQuery {
        const isStanding = job.profile.workKind === WorkKind.STANDING;
        const avoidedDomains = isStanding ? zonesToAvoid(this.#deployment, this.#zonesOfClass(job.classIndex)) : [];
        return {
            customer: queued.customer,
            classKey: queued.classKey,
            workKind: queued.workKind,
            reserved: queued.reserved,
            repeatable: job.profile.repeatable,
            excludedServerIds: [],
            avoidedDomains,
            latencyTargetMs: queued.latencyTargetMs,
        };
    }

    #zonesOfClass(classIndex: number): string[] {
        return [...this.#running.values()].filter(job => job.classIndex === classIndex).map(job => this.#zoneOf(job));
    }

    #zoneOf(job: BenchJob): string {
        return this.#servers.get(job.serverId)?.availabilityZone ?? "";
    }

    #jobsInDrainedZone(): BenchJob[] {
        return [...this.#running.values()].filter(job => this.#zoneOf(job) === this.#workload.drainedZone);
    }

    #preempt(job: BenchJob, query: PlacementQuery, nowMs: number): void {
        if (nowMs - job.lastPreemptionAtMs < PREEMPTION_RETRY_MS) {
            return;
        }
        const preemption = this.#policies.placement.choosePreemption(query, nowMs);
        if (preemption !== undefined) {
            job.lastPreemptionAtMs = nowMs;
            preemption.victims.forEach(victim => this.#stopTask(victim, StopCause.Preempted, nowMs));
        }
    }

    #assign(job: BenchJob, queued: QueuedJob, serverId: string, nowMs: number): void {
        this.#queued.delete(job.key);
        this.#policies.fairShare.dequeue(job.key);
        job.attempts += 1;
        const task: PlacedTask = {
            taskKey: `${job.key}/${job.attempts}`,
            customer: queued.customer,
            classKey: queued.classKey,
            workKind: queued.workKind,
            reserved: queued.reserved,
            placedAtMs: nowMs,
            repeatable: job.profile.repeatable,
            throttled: false,
            stopping: false,
        };
        job.task = task;
        job.serverId = serverId;
        job.startedAtMs = nowMs;
        this.#running.set(task.taskKey, job);
        this.#policies.fairShare.taskStarted(task.customer, task.workKind, task.taskKey, task.reserved);
        this.#policies.placement.occupy(serverId, task);
        this.#policies.interference.taskPlaced(serverId, task, nowMs);
        const startMs = nowMs + 2 * this.#deployment.oneWayMs;
        this.#events.add(
            startMs,
            () => this.#fleet.start(serverId, createMachineTask(job, task.taskKey, this.#random), startMs),
        );
    }

    #handleTaskEnd(machineTask: MachineTask, endedAtMs: number): void {
        const nowMs = endedAtMs + this.#deployment.oneWayMs;
        this.#events.add(nowMs, () => {
            const job = this.#running.get(machineTask.key);
            if (job === undefined) {
                return;
            }
            if (job.profile.workKind === WorkKind.LATENCY_CRITICAL) {
                this.#recorder.recordRequestCompletion(job.profile, job.arrivedAtMs, job.totalRunMs, nowMs);
            }
            else {
                this.#recorder.recordBatchCompletion();
            }
            if (!job.wasEvicted) {
                this.#policies.reservation.observeRunTime(classKeyOf(job.profile), endedAtMs - job.startedAtMs);
            }
            this.#release(job, nowMs);
        });
    }

    #release(job: BenchJob, nowMs: number): void {
        const task = job.task;
        if (task === undefined) {
            return;
        }
        job.task = undefined;
        this.#running.delete(task.taskKey);
        this.#policies.placement.release(job.serverId, task.taskKey);
        this.#policies.interference.taskReleased(job.serverId, task.taskKey, nowMs);
        this.#policies.fairShare.taskEnded(task.customer, task.taskKey);
    }

    /** Orders a checkpoint and a stop; the remaining work is requeued after the stop is confirmed. */
    #stopTask(taskKey: string, cause: StopCause, nowMs: number): void {
        const job = this.#running.get(taskKey);
        if (job?.task === undefined || job.task.stopping) {
            return;
        }
        if (job.profile.workKind === WorkKind.BATCH) {
            this.#recorder.recordEviction(cause, nowMs);
        }
        this.#updateTask(job, { stopping: true }, nowMs);
        const frozenMs = nowMs + 2 * this.#deployment.oneWayMs;
        const stoppedMs = frozenMs + CHECKPOINT_MS;
        this.#events.add(frozenMs, () => this.#fleet.update(job.serverId, taskKey, { frozen: true }, frozenMs));
        this.#events.add(stoppedMs, () => {
            const stopped = this.#fleet.remove(job.serverId, taskKey, stoppedMs);
            if (stopped !== undefined) {
                this.#requeue(job, stopped, stoppedMs);
            }
        });
    }

    #requeue(job: BenchJob, stopped: MachineTask, nowMs: number): void {
        this.#release(job, nowMs);
        const isBatch = job.profile.workKind === WorkKind.BATCH;
        job.remainingRunMs = isBatch ? stopped.remainingRunMs : job.totalRunMs;
        job.repeatedRunMs = isBatch ? stopped.repeatedRunMs + RESTART_COST_MS : 0;
        job.wasEvicted = true;
        this.#enqueue(job);
    }

    #updateTask(job: BenchJob, change: Partial<PlacedTask>, nowMs: number): void {
        if (job.task !== undefined) {
            job.task = { ...job.task, ...change };
            this.#policies.placement.occupy(job.serverId, job.task);
            this.#policies.interference.taskPlaced(job.serverId, job.task, nowMs);
        }
    }

    #applyMitigations(nowMs: number): void {
        for (const step of this.#policies.interference.evaluate(nowMs)) {
            const job = this.#running.get(step.taskKey);
            if (job === undefined) {
                continue;
            }
            if (step.kind === MitigationKind.Evict) {
                this.#stopTask(step.taskKey, StopCause.Interference, nowMs);
                continue;
            }
            const throttled = step.kind === MitigationKind.Throttle;
            if (throttled) {
                this.#recorder.recordThrottling();
            }
            const atMs = nowMs + 2 * this.#deployment.oneWayMs;
            this.#updateTask(job, { throttled }, nowMs);
            this.#events.add(atMs, () => this.#fleet.update(step.backendServerId, step.taskKey, { throttled }, atMs));
        }
    }

    #sendReports(serverId: string, nowMs: number): void {
        const reports = this.#fleet.report(serverId, nowMs);
        const [low, high] = REPORT_LAG_MS;
        const arrivedMs = nowMs + low + (high - low) * this.#random.nextRatio();
        this.#events.add(arrivedMs, () => reports.forEach(report => this.#handleReport(report, arrivedMs)));
        this.#events.add(nowMs + REPORT_INTERVAL_MS, () => this.#sendReports(serverId, nowMs + REPORT_INTERVAL_MS));
    }

    #handleReport(report: TaskReport, nowMs: number): void {
        const used = create(ResourcesSchema, {
            cpuMillicores: report.usedCpuMillicores,
            memoryMebibytes: report.usedMemoryMebibytes,
        });
        this.#policies.interference.observe({
            taskKey: report.taskKey,
            backendServerId: report.serverId,
            measuredAtMs: report.measuredAtMs,
            used,
            speedRatio: report.speedRatio,
        }, nowMs);
        const job = this.#running.get(report.taskKey);
        if (job !== undefined && !report.throttled) {
            this.#policies.reservation.observe(classKeyOf(job.profile), used);
        }
    }

    #startDrain(nowMs: number): void {
        this.#policies.zone.startDrain(this.#workload.drainedZone, nowMs + DRAIN_MS, nowMs);
        this.#setSlotLimits(0);
        this.#events.add(nowMs + DRAIN_MS, () => this.#killRemainingTasks(nowMs + DRAIN_MS));
    }

    #startRefill(nowMs: number): void {
        this.#policies.zone.startRefill(this.#workload.drainedZone, nowMs);
        this.#continueRefill(nowMs);
    }

    #stopDrainedTasks(nowMs: number): void {
        if (nowMs < DRAIN_START_MS || nowMs >= ZONE_RETURN_MS) {
            return;
        }
        const tasks = this.#jobsInDrainedZone().flatMap(job => job.task ?? []);
        this.#policies.zone.selectTasksToStop(tasks, nowMs).forEach(key => this.#stopTask(key, StopCause.Zone, nowMs));
    }

    /** Kills the tasks that remain in the zone at the deadline; batch jobs lose all their progress. */
    #killRemainingTasks(nowMs: number): void {
        for (const job of this.#jobsInDrainedZone()) {
            const lost = this.#fleet.remove(job.serverId, job.task?.taskKey ?? "", nowMs);
            if (lost !== undefined) {
                if (job.profile.workKind === WorkKind.BATCH) {
                    this.#recorder.recordEviction(StopCause.Zone, nowMs);
                    this.#recorder.recordBatchWork(lost.remainingRunMs - job.totalRunMs, nowMs);
                }
                this.#requeue(job, { ...lost, remainingRunMs: job.totalRunMs }, nowMs);
            }
        }
    }

    #continueRefill(nowMs: number): void {
        if (nowMs >= ZONE_RETURN_MS) {
            this.#policies.zone.takeRefilledZones(nowMs);
            this.#setSlotLimits(this.#policies.zone.fillRatio(this.#workload.drainedZone, nowMs));
        }
    }

    #setSlotLimits(fillRatio: number): void {
        for (const [id, view] of this.#servers) {
            const slotLimit = Math.floor(view.slots * fillRatio);
            if (view.availabilityZone === this.#workload.drainedZone && view.slotLimit !== slotLimit) {
                const changed = { ...view, slotLimit, placeable: slotLimit > 0 };
                this.#servers.set(id, changed);
                this.#policies.placement.upsertServer(changed);
            }
        }
    }
}
