import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { jobKeyOf, SeededRandom } from "@waxwingspread/common";
import {
    AnnouncementSchema,
    ContractSchema,
    JobSpecificationSchema,
    OperatorCommandSchema,
    PollRequestSchema,
    ReportRequestSchema,
    SubmitRequestSchema,
    WorkKind,
} from "@waxwingspread/protocol";
import type {
    Contract,
    Event,
    Job,
    JobSpecification,
    OperatorCommand,
    OperatorResult,
    ReportRequest,
    ReportResponse,
    SubmitResponse,
} from "@waxwingspread/protocol";
import type { AddressedOrder } from "../orders/order-tracker.js";
import { Scheduler } from "../scheduler.js";
import { defaultSchedulerSettings } from "../settings.js";
import { ClusterState } from "../state/cluster-state.js";

/** Capacity of each backend server in tests. */
export const SERVER_CAPACITY = { cpuMillicores: 8_000, memoryMebibytes: 8_000, accelerators: 0 };

/** Declared resources of each job in tests: four fit on a server. */
export const JOB_RESOURCES = { cpuMillicores: 2_000, memoryMebibytes: 2_000, accelerators: 0 };

/** A contract with one class of each kind and a class that is never repeated, and a quota that tests rarely reach. */
export const contractOf = (customer: string, change: MessageInitShape<typeof ContractSchema> = {}): Contract =>
    create(ContractSchema, {
        customer,
        weight: 1,
        latencyCriticalShare: 1,
        batchShare: 1,
        answerRetentionMs: 3_600_000,
        quota: {
            resources: { cpuMillicores: 1_000_000, memoryMebibytes: 1_000_000, accelerators: 10 },
            concurrentTasks: 1_000,
            submissionsPerSecond: 1_000,
            submissionBurst: 1_000,
            queuedJobs: 1_000,
            retriesPerMinute: 1_000,
        },
        classes: [
            { name: "check", kind: WorkKind.LATENCY_CRITICAL, latencyTargetMs: 100, defaultResources: JOB_RESOURCES },
            { name: "trial", kind: WorkKind.BATCH, defaultResources: JOB_RESOURCES },
            { name: "recall", kind: WorkKind.BATCH, neverRepeat: true, defaultResources: JOB_RESOURCES },
            { name: "watch", kind: WorkKind.STANDING, defaultResources: JOB_RESOURCES },
        ],
        ...change,
    } as MessageInitShape<typeof ContractSchema>);

/** A request of customer "acme" that is repeatable unless its class is "recall". */
export const specificationFor = (
    requestId: string,
    workClass: string,
    change: MessageInitShape<typeof JobSpecificationSchema> = {},
): JobSpecification =>
    create(JobSpecificationSchema, {
        customer: "acme",
        requestId,
        workClass,
        repeatable: workClass !== "recall",
        contentSha256: new Uint8Array([1, 2, 3]),
        ...change,
    } as MessageInitShape<typeof JobSpecificationSchema>);

/** Drives a scheduler and its state in tests: commits every decision at once and announces simple backend servers. */
export class Harness {
    readonly state = new ClusterState();
    readonly events: Event[] = [];
    /** All orders released so far. */
    readonly released: AddressedOrder[] = [];
    readonly random: SeededRandom;
    scheduler: Scheduler;
    nowMs = 1_000_000;
    #term = 0;
    #batch = 0;
    #returnedOrders = 0;
    #sequence = 0;
    #command = 0;

    constructor(seed = 1) {
        this.random = new SeededRandom(seed);
        this.scheduler = this.#startLeader();
    }

    get term(): number {
        return this.#term;
    }

    /** Starts with the contract of "acme" and servers "s1", "s2" and so on, alternately in zones "a" and "b". */
    static ready(servers: number, seed = 1): Harness {
        const harness = new Harness(seed);
        harness.poll("e1");
        harness.execute({ case: "writeContract", value: contractOf("acme") });
        for (let number = 1; number <= servers; number += 1) {
            harness.announce(`s${number}`);
        }
        return harness;
    }

    /** Another leader takes over: uncommitted changes and everything held in memory only are lost. */
    changeLeader(): void {
        this.state.rollback();
        this.scheduler = this.#startLeader();
        this.poll("e1");
    }

    commit(): AddressedOrder[] {
        const { events, orders } = this.scheduler.takeDecision();
        this.events.push(...events);
        this.released.push(...orders);
        this.#batch += 1;
        this.state.markBatchEnd(this.#batch);
        this.state.commitThrough(this.#batch);
        return orders;
    }

    poll(entryId: string): void {
        const poll = create(PollRequestSchema, { entryId, address: entryId, availabilityZone: "a" });
        this.scheduler.recordEntryPoll(poll, this.nowMs);
    }

    /** Advances the time in steps of 100 ms, with polls of the entry; returns all orders since the last call. */
    advance(durationMs: number): AddressedOrder[] {
        const endMs = this.nowMs + durationMs;
        while (this.nowMs < endMs) {
            this.nowMs += Math.min(100, endMs - this.nowMs);
            this.poll("e1");
            this.scheduler.tick(this.nowMs);
            this.commit();
        }
        const orders = this.released.slice(this.#returnedOrders);
        this.#returnedOrders = this.released.length;
        return orders;
    }

    submit(specification: JobSpecification, entryId = "e1"): SubmitResponse {
        const response = this.scheduler.submit(create(SubmitRequestSchema, { specification, entryId }), this.nowMs);
        this.commit();
        return response;
    }

    report(request: MessageInitShape<typeof ReportRequestSchema>): ReportResponse {
        const message: ReportRequest = create(ReportRequestSchema, request);
        const response = this.scheduler.report(message, this.nowMs);
        this.commit();
        return response;
    }

    /** Announces a server whose clock equals the leader's; it lists the tasks given as [requestId, attempt]. */
    announce(
        id: string,
        change: MessageInitShape<typeof AnnouncementSchema> = {},
        tasks: readonly (readonly [string, number])[] = [],
    ): ReportResponse {
        this.#sequence += 1;
        const zone = Number(id.slice(1)) % 2 === 1 ? "a" : "b";
        return this.report({
            entryId: "e1",
            announcements: [
                create(AnnouncementSchema, {
                    backendServerId: id,
                    incarnation: "i1",
                    address: `${id}:1`,
                    availabilityZone: zone,
                    rack: `rack-${id}`,
                    capacity: SERVER_CAPACITY,
                    slots: 4,
                    clockMs: this.nowMs,
                    sequence: this.#sequence,
                    tasks: tasks.map(([requestId, attemptNumber]) => ({
                        customer: "acme",
                        requestId,
                        attemptNumber,
                        phase: 1,
                    })),
                    ...change,
                } as MessageInitShape<typeof AnnouncementSchema>),
            ],
        });
    }

    execute(
        kind: OperatorCommand["kind"],
        change: MessageInitShape<typeof OperatorCommandSchema> = {},
    ): OperatorResult {
        this.#command += 1;
        const command = create(OperatorCommandSchema, {
            commandId: `command-${this.#command}`,
            expectedRevision: this.state.revision,
            kind,
            ...change,
        } as MessageInitShape<typeof OperatorCommandSchema>);
        const result = this.scheduler.execute(command, this.nowMs);
        this.commit();
        return result;
    }

    job(requestId: string): Job {
        const job = this.state.job(jobKeyOf({ customer: "acme", requestId }));
        if (job === undefined) {
            throw new Error(`no job ${requestId}`);
        }
        return job;
    }

    #startLeader(): Scheduler {
        this.#term += 1;
        const scheduler = new Scheduler(this.state, defaultSchedulerSettings, this.random);
        scheduler.startTerm(this.#term, `leader-${this.#term}`, this.nowMs);
        return scheduler;
    }
}
