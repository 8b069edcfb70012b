import type { Configuration, QueueContract } from "../model/configuration.js";
import { QueueIndex } from "../model/queue-identity.js";
import { parseTaskKey } from "../model/specification.js";
import type { TaskPosition } from "../model/specification.js";
import { CancelledJobIds } from "./cancelled-job-ids.js";
import { EventKind } from "./events.js";
import type { EventOf, PressureTable, ServerIncarnation, WorkflowEvent } from "./events.js";
import { JobRecord } from "./job-record.js";
import type { JobContent } from "./job-record.js";
import { MaintenanceRecord } from "./maintenance-record.js";
import type { MaintenanceContent } from "./maintenance-record.js";

/** Backend servers whose acknowledged ends are kept; beyond it, the least recently updated one is evicted. */
const MAX_ACKNOWLEDGED_SERVERS = 4_096;

interface AcknowledgedEnds {
    incarnation: number;
    sequence: number;
}

/** Serializable content of the state. */
export interface WorkflowSnapshot {
    configuration: Configuration | undefined;
    zonesOutOfService: string[];
    jobs: JobContent[];
    acknowledged: [serverId: string, ends: AcknowledgedEnds][];
    pressures: PressureTable;
    maintenances: MaintenanceContent[];
    longestLeaseMs: number | undefined;
    /** Undefined in snapshots of former versions. */
    cancelledJobIds?: string[];
}

type Handlers = { [Kind in EventKind]: (event: EventOf<Kind>) => void };

/** An event of a later version. A replica that passed over it would have another state than the others. */
export class UnknownEventError extends Error {
    constructor(kind: string) {
        super(`unknown event ${kind}; a later version has recorded it`);
    }
}

/** Replicated state. It changes only through committed events, so that all replicas reach the same state. */
export class WorkflowState {
    #configuration: Configuration | undefined;
    #queues = new QueueIndex([]);
    readonly #zonesOutOfService = new Set<string>();
    readonly #jobs = new Map<string, JobRecord>();
    #cancelledJobIds = new CancelledJobIds();
    readonly #acknowledged = new Map<string, AcknowledgedEnds>();
    #pressures: PressureTable = {};
    readonly #maintenances = new Map<number, MaintenanceRecord>();
    #longestLeaseMs: number | undefined;

    readonly #handlers: Handlers = {
        [EventKind.ConfigurationAccepted]: event => this.#acceptConfiguration(event.configuration),
        [EventKind.ZoneTakenOut]: event => this.#zonesOutOfService.add(event.availabilityZone),
        [EventKind.ZoneReturned]: event => this.#zonesOutOfService.delete(event.availabilityZone),
        [EventKind.JobAccepted]: event => this.#acceptJob(event),
        [EventKind.JobCancelled]: event => this.#cancelJob(event),
        [EventKind.RunsAssigned]: event => this.#assignRuns(event),
        [EventKind.RunsEnded]: event => this.#endRuns(event),
        [EventKind.RunsLost]: event => this.#loseRuns(event),
        [EventKind.JobsForgotten]: event => this.#forgetJobs(event),
        [EventKind.PressuresLearned]: event => {
            this.#pressures = event.pressures;
        },
        [EventKind.MaintenanceOrdered]: event => this.#orderMaintenance(event),
        [EventKind.VmMaintained]: ({ maintenanceId, vmId, phase }) =>
            this.#maintenances.get(maintenanceId)?.advance(vmId, phase),
        [EventKind.LeaseExtended]: ({ leaseMs }) => {
            this.#longestLeaseMs = Math.max(leaseMs, this.#longestLeaseMs ?? 0);
        },
    };

    /** Restores a state from a snapshot. */
    static fromSnapshot(snapshot: WorkflowSnapshot): WorkflowState {
        const state = new WorkflowState();
        if (snapshot.configuration !== undefined) {
            state.#setConfiguration(snapshot.configuration);
        }
        snapshot.zonesOutOfService.forEach(zone => state.#zonesOutOfService.add(zone));
        for (const content of snapshot.jobs) {
            state.#jobs.set(content.specification.id, new JobRecord(content));
        }
        state.#cancelledJobIds = new CancelledJobIds(snapshot.cancelledJobIds);
        state.#pressures = snapshot.pressures;
        for (const content of snapshot.maintenances) {
            state.#maintenances.set(content.order.id, new MaintenanceRecord(content));
        }
        state.#longestLeaseMs = snapshot.longestLeaseMs;
        snapshot.acknowledged.forEach(([serverId, ends]) => state.#acknowledged.set(serverId, ends));
        return state;
    }

    get configuration(): Configuration | undefined {
        return this.#configuration;
    }

    get jobs(): ReadonlyMap<string, JobRecord> {
        return this.#jobs;
    }

    /** Ids of jobs that were cancelled and of which no submission has arrived. */
    get cancelledJobIds(): Pick<CancelledJobIds, "has" | typeof Symbol.iterator> {
        return this.#cancelledJobIds;
    }

    get zonesOutOfService(): ReadonlySet<string> {
        return this.#zonesOutOfService;
    }

    /** Effect of fillers on standing tasks, as learned by the leaders so far. */
    get pressures(): PressureTable {
        return this.#pressures;
    }

    /** Longest lease that a leader has granted to backend servers so far; undefined if none is recorded. */
    get longestLeaseMs(): number | undefined {
        return this.#longestLeaseMs;
    }

    get maintenances(): Iterable<MaintenanceRecord> {
        return this.#maintenances.values();
    }

    maintenance(id: number): MaintenanceRecord | undefined {
        return this.#maintenances.get(id);
    }

    job(id: string): JobRecord | undefined {
        return this.#jobs.get(id);
    }

    /** Returns the current contract of a job's queue, or the one at the job's acceptance when the queue is gone. */
    currentQueueOf(job: JobRecord): QueueContract {
        return this.#queues.get(job.queue) ?? job.queue;
    }

    /** Returns the sequence number of the last recorded end of a server's incarnation; 0 for none. */
    acknowledgedEnd(server: ServerIncarnation): number {
        const ends = this.#acknowledged.get(server.serverId);
        return ends?.incarnation === server.incarnation ? ends.sequence : 0;
    }

    apply(event: WorkflowEvent): void {
        if (!Object.hasOwn(this.#handlers, event.kind)) {
            throw new UnknownEventError(event.kind);
        }
        const handle = this.#handlers[event.kind] as (event: WorkflowEvent) => void;
        handle(event);
    }

    toSnapshot(): WorkflowSnapshot {
        return {
            configuration: this.#configuration,
            zonesOutOfService: [...this.#zonesOutOfService],
            jobs: [...this.#jobs.values()].map(job => job.toContent()),
            acknowledged: [...this.#acknowledged],
            pressures: this.#pressures,
            maintenances: [...this.#maintenances.values()].map(record => record.toContent()),
            longestLeaseMs: this.#longestLeaseMs,
            cancelledJobIds: [...this.#cancelledJobIds],
        };
    }

    #acceptConfiguration(configuration: Configuration): void {
        if (configuration.version > (this.#configuration?.version ?? -Infinity)) {
            this.#setConfiguration(configuration);
        }
    }

    #setConfiguration(configuration: Configuration): void {
        this.#configuration = configuration;
        this.#queues = new QueueIndex(configuration.queues);
    }

    #orderMaintenance({ order, atMs }: EventOf<EventKind.MaintenanceOrdered>): void {
        if (!this.#maintenances.has(order.id)) {
            this.#maintenances.set(order.id, new MaintenanceRecord({ order, orderedAtMs: atMs, phases: {} }));
        }
    }

    #acceptJob(event: EventOf<EventKind.JobAccepted>): void {
        if (!this.#jobs.has(event.job.id)) {
            this.#jobs.set(event.job.id, JobRecord.accepted(event.job, event.queue, event.acceptedAtMs));
            this.#cancelledJobIds.delete(event.job.id);
        }
    }

    #cancelJob({ jobId, atMs }: EventOf<EventKind.JobCancelled>): void {
        const job = this.#jobs.get(jobId);
        if (job === undefined) {
            this.#cancelledJobIds.add(jobId);
        }
        else {
            job.cancel(atMs);
        }
    }

    #forgetJobs({ jobIds, cancelledJobIds = [] }: EventOf<EventKind.JobsForgotten>): void {
        jobIds.forEach(id => this.#jobs.delete(id));
        cancelledJobIds.forEach(id => this.#cancelledJobIds.delete(id));
    }

    #assignRuns(event: EventOf<EventKind.RunsAssigned>): void {
        for (const assigned of event.runs) {
            this.#withTask(assigned.task, (job, position) => job.assign(position, assigned));
        }
    }

    #endRuns(event: EventOf<EventKind.RunsEnded>): void {
        const { serverId, incarnation } = event.server;
        if (event.throughSequence <= this.acknowledgedEnd(event.server)) {
            return;
        }
        this.#acknowledged.delete(serverId);
        this.#acknowledged.set(serverId, { incarnation, sequence: event.throughSequence });
        for (const ended of event.ends) {
            this.#withTask(ended.task, (job, position) => job.end(position, ended, event.atMs));
        }
        if (this.#acknowledged.size > MAX_ACKNOWLEDGED_SERVERS) {
            const oldest = this.#acknowledged.keys().next().value;
            this.#acknowledged.delete(oldest ?? "");
        }
    }

    #loseRuns(event: EventOf<EventKind.RunsLost>): void {
        for (const lost of event.runs) {
            this.#withTask(lost.task, (job, position) => job.lose(position, lost, event.atMs ?? job.acceptedAtMs));
        }
    }

    #withTask(key: string, change: (job: JobRecord, position: TaskPosition) => void): void {
        const position = parseTaskKey(key);
        const job = position === undefined ? undefined : this.#jobs.get(position.jobId);
        if (position !== undefined && job !== undefined) {
            change(job, position);
        }
    }
}
