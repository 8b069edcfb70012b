import { create, toBinary } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import {
    AnnouncementSchema,
    ContractSchema,
    EventBatchSchema,
    OperatorCommandSchema,
    PollRequestSchema,
    ReportRequestSchema,
    StartReportSchema,
    StartResult,
    SubmitRequestSchema,
    TaskPhase,
    WorkKind,
} from "@waxwingspread/protocol";
import type { Announcement, Contract, Event, OperatorCommand, ReportResponse } from "@waxwingspread/protocol";
import { ClusterState, defaultSchedulerSettings, Scheduler } from "@waxwingspread/scheduler";
import { createHash } from "node:crypto";

const ZONES = ["zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7"];
const ENTRY_ID = "entry-1";
const SEED = 20_261_204;
const START_MS = 1_000_000;
const SLOTS = 16;
const TASK_RESOURCES = { cpuMillicores: 250, memoryMebibytes: 256, accelerators: 0 };
const SERVER_CAPACITY = { cpuMillicores: 32_000, memoryMebibytes: 128_000, accelerators: 0 };
const UNLIMITED = 1_000_000;

const createContract = (customer: string): Contract =>
    create(ContractSchema, {
        customer,
        weight: 1,
        latencyCriticalShare: 1,
        batchShare: 1,
        answerRetentionMs: 86_400_000,
        quota: {
            resources: { cpuMillicores: UNLIMITED * 100, memoryMebibytes: UNLIMITED * 100, accelerators: 0 },
            concurrentTasks: UNLIMITED,
            submissionsPerSecond: UNLIMITED,
            submissionBurst: UNLIMITED,
            queuedJobs: UNLIMITED,
            retriesPerMinute: UNLIMITED,
        },
        classes: [
            { name: "check", kind: WorkKind.LATENCY_CRITICAL, latencyTargetMs: 250, defaultResources: TASK_RESOURCES },
            { name: "trial", kind: WorkKind.BATCH, neverRepeat: true, defaultResources: TASK_RESOURCES },
        ],
        credentials: [{ credentialId: "main", salt: new Uint8Array(16), sha256: new Uint8Array(32) }],
    });

/**
 * Drives a leader's scheduler in memory, with backend servers, customers and running tasks, and commits each decision
 * immediately. Counts the events of the decisions and their encoded bytes.
 */
export class LoadedScheduler {
    readonly state = new ClusterState();
    readonly scheduler = new Scheduler(this.state, defaultSchedulerSettings, new SeededRandom(SEED));
    /** Events of each commit, in order. */
    readonly batches: Event[][] = [];
    readonly #tasks = new Map<string, { customer: string; requestId: string; attemptNumber: number }[]>();
    readonly #customers: string[];
    #commitIndex = 0;
    #sequence = 0;
    #requestCount = 0;
    nowMs = START_MS;
    decidedBytes = 0;
    decidedEvents = 0;

    constructor(readonly servers: number, customers: number) {
        this.#customers = Array.from({ length: customers }, (unused, number) => `customer-${number}`);
        this.scheduler.startTerm(1, "control-1", this.nowMs);
        this.#poll();
        this.#customers.forEach((customer, number) => this.execute(number, createContract(customer)));
        this.announceAll();
    }

    /** Writes a customer's contract; `expectedRevision` is the configuration revision that it replaces. */
    execute(expectedRevision: number, contract: Contract): void {
        const command: OperatorCommand = create(OperatorCommandSchema, {
            commandId: `command-${expectedRevision}`,
            expectedRevision,
            kind: { case: "writeContract", value: contract },
        });
        this.scheduler.execute(command, this.nowMs);
        this.commit();
    }

    /** Submits `count` jobs; returns how many of them were placed at once. */
    submitMany(count: number): number {
        let placed = 0;
        for (let number = 0; number < count; number += 1) {
            placed += this.submit() ? 1 : 0;
        }
        this.nowMs += 1;
        return placed;
    }

    /** Submits one job and reports that its task was started; returns false if the job was not placed at once. */
    submit(): boolean {
        const customer = this.#customers[this.#requestCount % this.#customers.length] ?? "";
        const requestId = `request-${this.#requestCount}`;
        this.#requestCount += 1;
        const response = this.scheduler.submit(
            create(SubmitRequestSchema, {
                entryId: ENTRY_ID,
                specification: {
                    customer,
                    requestId,
                    workClass: this.#requestCount % 2 === 0 ? "check" : "trial",
                    declaredResources: TASK_RESOURCES,
                    declaredRunTimeMs: 60_000,
                    repeatable: true,
                    payload: { sha256: sha256Of(requestId), sizeBytes: 500 },
                    contentSha256: sha256Of(requestId),
                },
            }),
            this.nowMs,
        );
        const { order } = response;
        if (order === undefined) {
            this.commit();
            return false;
        }
        const { attemptNumber, backendServerId } = order;
        this.#tasksOf(backendServerId).push({ customer, requestId, attemptNumber });
        const start = create(StartReportSchema, { customer, requestId, attemptNumber, result: StartResult.ACCEPTED });
        this.scheduler.report(create(ReportRequestSchema, { entryId: ENTRY_ID, starts: [start] }), this.nowMs);
        this.commit();
        return true;
    }

    /** Creates the next full announcement of a server, which lists all its running tasks. */
    announcement(number: number): Announcement {
        const backendServerId = `backend-${number}`;
        this.#sequence += 1;
        return create(AnnouncementSchema, {
            backendServerId,
            incarnation: `incarnation-${number}`,
            address: `10.0.0.${number}:7000`,
            availabilityZone: ZONES[number % ZONES.length] ?? "",
            rack: `rack-${Math.floor(number / 8)}`,
            capacity: SERVER_CAPACITY,
            slots: SLOTS,
            clockMs: this.nowMs,
            sequence: this.#sequence,
            tasks: this.#tasksOf(backendServerId).map(task => ({ ...task, phase: TaskPhase.RUNNING })),
        });
    }

    /** Advances the clock by 1 s and reports a full announcement of every server. */
    announceAll(): ReportResponse[] {
        this.nowMs += 1_000;
        this.#poll();
        const responses: ReportResponse[] = [];
        for (let number = 0; number < this.servers; number += 1) {
            const announcements = [this.announcement(number)];
            responses.push(
                this.scheduler.report(create(ReportRequestSchema, { entryId: ENTRY_ID, announcements }), this.nowMs),
            );
        }
        this.commit();
        return responses;
    }

    /** Takes the scheduler's pending events and commits them as one batch. */
    commit(): void {
        const { events } = this.scheduler.takeDecision();
        if (events.length === 0) {
            return;
        }
        this.#commitIndex += 1;
        this.decidedEvents += events.length;
        this.decidedBytes += toBinary(EventBatchSchema, create(EventBatchSchema, { events })).length;
        this.batches.push(events);
        this.state.markBatchEnd(this.#commitIndex);
        this.state.commitThrough(this.#commitIndex);
    }

    #poll(): void {
        this.scheduler.recordEntryPoll(
            create(PollRequestSchema, { entryId: ENTRY_ID, address: "10.0.0.1:1" }),
            this.nowMs,
        );
    }

    #tasksOf(backendServerId: string): { customer: string; requestId: string; attemptNumber: number }[] {
        const known = this.#tasks.get(backendServerId) ?? [];
        this.#tasks.set(backendServerId, known);
        return known;
    }
}

const sha256Of = (text: string): Uint8Array => new Uint8Array(createHash("sha256").update(text).digest());
