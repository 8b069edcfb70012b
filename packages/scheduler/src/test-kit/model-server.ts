import { create } from "@bufbuild/protobuf";
import { AnnouncementSchema, AttemptEnd, OrderKind, StartResult, TaskPhase } from "@waxwingspread/protocol";
import type { Announcement, BlobReference, LeaseGrant, Order } from "@waxwingspread/protocol";
import { JOB_RESOURCES, SERVER_CAPACITY } from "./fixtures.js";

/** Receives the actual starts and ends of tasks on a model server. */
export interface TaskObserver {
    started(jobId: string, serverId: string, resumed: boolean): void;
    ended(jobId: string, serverId: string): void;
}

interface ModelTask {
    customer: string;
    requestId: string;
    attemptNumber: number;
    running: boolean;
    endsAtMs: number;
    willFail: boolean;
    leaseExpiresMs: number;
    /** End that the leader has not settled yet. */
    result?: { end: AttemptEnd; checkpoint?: BlobReference };
}

/** End of a task that a server reports until it is settled. */
export interface ModelEnd {
    customer: string;
    requestId: string;
    attemptNumber: number;
    end: AttemptEnd;
    checkpoint?: BlobReference;
    backendServerId: string;
    incarnation: string;
}

const CHECKPOINT = { sha256: new Uint8Array([1]), sizeBytes: 1 } as BlobReference;

/** Model of a backend server that handles starts, leases and stops correctly; its clock runs at its own rate. */
export class ModelServer {
    readonly #tasks = new Map<string, ModelTask>();
    readonly #refused = new Map<string, number>();
    readonly #attempts = new Map<string, number>();
    #incarnation = 1;
    #sequence = 0;
    #term = 0;
    #leaseToken = "";
    #clockMs: number;
    leaving = false;

    constructor(
        readonly id: string,
        readonly clockRate: number,
        readonly returnsTokens: boolean,
        readonly observer: TaskObserver,
    ) {
        this.#clockMs = Number(id.slice(1)) * 1_000_000;
    }

    get incarnation(): string {
        return `${this.id}-${this.#incarnation}`;
    }

    get runningTasks(): number {
        return [...this.#tasks.values()].filter(task => task.running).length;
    }

    advance(durationMs: number): void {
        this.#clockMs += durationMs * this.clockRate;
        for (const task of this.#tasks.values()) {
            if (task.running && task.leaseExpiresMs <= this.#clockMs) {
                this.#end(task, { end: AttemptEnd.STOPPED });
            }
            else if (task.running && task.endsAtMs <= this.#clockMs) {
                this.#end(task, { end: task.willFail ? AttemptEnd.TASK_ERROR : AttemptEnd.COMPLETED });
            }
        }
    }

    /** Starts a new incarnation: all tasks end with the old process. */
    restart(): void {
        for (const task of this.#tasks.values()) {
            if (task.running) {
                this.#end(task, { end: AttemptEnd.STOPPED });
            }
        }
        this.#tasks.clear();
        this.#refused.clear();
        this.#attempts.clear();
        this.#incarnation += 1;
        this.#sequence = 0;
        this.#term = 0;
        this.#leaseToken = "";
        this.#clockMs = 0;
        this.leaving = false;
    }

    start(order: Order, runTimeMs: number, willFail: boolean): StartResult {
        const key = `${order.requestId}#${order.attemptNumber}`;
        if (order.incarnation !== this.incarnation) {
            return StartResult.UNKNOWN;
        }
        if (this.#tasks.has(key)) {
            return StartResult.ACCEPTED;
        }
        const refused = this.#refused.has(key) || this.leaving || order.term < this.#term
            || this.#clockMs > order.startDeadlineBackendMs || order.leaseExpiresBackendMs <= this.#clockMs
            || order.attemptNumber < (this.#attempts.get(order.requestId) ?? 0)
            || (this.runningTasks + 1) * JOB_RESOURCES.cpuMillicores > SERVER_CAPACITY.cpuMillicores;
        if (refused) {
            this.#refused.set(key, order.startDeadlineBackendMs);
            return StartResult.REFUSED;
        }
        this.#term = order.term;
        this.#attempts.set(order.requestId, order.attemptNumber);
        const { customer, requestId, attemptNumber, leaseExpiresBackendMs: leaseExpiresMs } = order;
        const endsAtMs = this.#clockMs + runTimeMs;
        this.#tasks.set(key, { customer, requestId, attemptNumber, running: true, endsAtMs, willFail, leaseExpiresMs });
        this.observer.started(requestId, this.id, order.checkpoint !== undefined);
        return StartResult.ACCEPTED;
    }

    stop(order: Order, checkpointWorks: boolean): void {
        const task = this.#tasks.get(`${order.requestId}#${order.attemptNumber}`);
        if (task?.running && order.incarnation === this.incarnation) {
            const checkpoint = order.kind === OrderKind.CHECKPOINT_AND_STOP && checkpointWorks ? CHECKPOINT : undefined;
            this.#end(task, { end: AttemptEnd.STOPPED, checkpoint });
        }
    }

    announce(availabilityZone: string): Announcement {
        this.#sequence += 1;
        return create(AnnouncementSchema, {
            backendServerId: this.id,
            incarnation: this.incarnation,
            address: this.id,
            availabilityZone,
            rack: this.id,
            capacity: SERVER_CAPACITY,
            slots: 4,
            leaving: this.leaving,
            clockMs: this.#clockMs,
            sequence: this.#sequence,
            leaseToken: this.#leaseToken,
            tasks: [...this.#tasks.values()].map(({ customer, requestId, attemptNumber, running }) => ({
                customer,
                requestId,
                attemptNumber,
                phase: running ? TaskPhase.RUNNING : TaskPhase.ENDED,
            })),
        });
    }

    renew(grant: LeaseGrant): void {
        if (grant.incarnation !== this.incarnation || grant.term < this.#term) {
            return;
        }
        this.#term = grant.term;
        this.#leaseToken = this.returnsTokens && grant.token !== "" ? grant.token : this.#leaseToken;
        for (const task of this.#tasks.values()) {
            task.leaseExpiresMs = Math.max(task.leaseExpiresMs, grant.expiresBackendMs);
        }
    }

    unsettledEnds(): ModelEnd[] {
        return [...this.#tasks.values()].flatMap(({ customer, requestId, attemptNumber, result }) =>
            result === undefined ? [] : [{
                customer,
                requestId,
                attemptNumber,
                ...result,
                backendServerId: this.id,
                incarnation: this.incarnation,
            }]
        );
    }

    settled(end: ModelEnd): void {
        if (end.incarnation === this.incarnation) {
            this.#tasks.delete(`${end.requestId}#${end.attemptNumber}`);
        }
    }

    #end(task: ModelTask, result: { end: AttemptEnd; checkpoint?: BlobReference }): void {
        task.running = false;
        task.result = result;
        this.observer.ended(task.requestId, this.id);
    }
}
