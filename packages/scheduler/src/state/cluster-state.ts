import { create } from "@bufbuild/protobuf";
import { jobKeyOf, StepError } from "@waxwingspread/common";
import type { JobKey } from "@waxwingspread/common";
import { ClusterSnapshotSchema, ConfigurationSchema, ErrorCode, ZoneState } from "@waxwingspread/protocol";
import type {
    AvailabilityZone,
    BackendServer,
    ClusterSnapshot,
    CommandCompleted,
    Configuration,
    Contract,
    Event,
    Job,
    WorkClass,
} from "@waxwingspread/protocol";
import { EVENT_HANDLERS } from "./event-handlers.js";
import type { EventHandler } from "./event-handlers.js";
import { Table, UndoLog } from "./table.js";
import { FACTS_KEY, NO_FACTS } from "./tables.js";
import type { ClusterFacts, ClusterTables, NumberedCommand } from "./tables.js";
import { UsageIndex } from "./usage.js";
import type { CapacityUse } from "./usage.js";

/** Receives every change of a record, including those of a rollback. */
export interface ClusterObserver {
    jobChanged(key: JobKey, before: Job | undefined, after: Job | undefined): void;
    backendServerChanged(id: string, before: BackendServer | undefined, after: BackendServer | undefined): void;
    contractChanged(customer: string, before: Contract | undefined, after: Contract | undefined): void;
    zoneChanged(name: string, before: AvailabilityZone | undefined, after: AvailabilityZone | undefined): void;
}

const sortedBy = <V>(values: Iterable<V>, keyOf: (value: V) => string): V[] =>
    [...values].map(value => ({ key: keyOf(value), value }))
        .sort((a, b) => a.key < b.key ? -1 : 1)
        .map(({ value }) => value);

/** Replicated state of the cluster. Applying the same events in the same order gives the same state everywhere. */
export class ClusterState {
    readonly #undoLog = new UndoLog();
    readonly #usage = new UsageIndex();
    readonly #tables: ClusterTables = {
        facts: new Table<ClusterFacts>(this.#undoLog),
        contracts: new Table<Contract>(this.#undoLog),
        zones: new Table<AvailabilityZone>(this.#undoLog),
        servers: new Table<BackendServer>(this.#undoLog),
        jobs: new Table<Job>(this.#undoLog),
        commands: new Table<NumberedCommand>(this.#undoLog),
        usage: this.#usage,
    };
    readonly #commandNumbers = new Map<string, string>();
    #configuration: Configuration | undefined;
    #observer: ClusterObserver | undefined;

    constructor() {
        const { contracts, zones, servers, jobs, commands, facts } = this.#tables;
        jobs.onChange((key, before, after) => {
            this.#usage.jobChanged(before, after);
            this.#observer?.jobChanged(key, before, after);
        });
        servers.onChange((id, before, after) => this.#observer?.backendServerChanged(id, before, after));
        contracts.onChange((customer, before, after) => {
            this.#configuration = undefined;
            this.#observer?.contractChanged(customer, before, after);
        });
        zones.onChange((name, before, after) => {
            this.#configuration = undefined;
            this.#observer?.zoneChanged(name, before, after);
        });
        facts.onChange((unusedKey, before, after) => {
            this.#configuration = undefined;
            if (before?.term !== after?.term) {
                this.#observer = undefined;
            }
        });
        commands.onChange((number, before, after) => {
            if (before !== undefined) {
                this.#commandNumbers.delete(before.command.commandId);
            }
            if (after !== undefined) {
                this.#commandNumbers.set(after.command.commandId, number);
            }
        });
    }

    /** Applies one event; throws a StepError if it contradicts the state, which is a programming error. */
    apply(event: Event): void {
        const { case: kind, value } = event.kind;
        if (kind === undefined) {
            throw new StepError(ErrorCode.CORRUPT, "apply", "", "the event has no kind");
        }
        const handler = EVENT_HANDLERS[kind] as EventHandler<typeof value>;
        handler(this.#tables, value, event.atMs);
    }

    /**
     * Marks the end of the batch at the given log index; a follower that applied it calls `commitThrough` right
     * afterwards.
     */
    markBatchEnd(index: number): void {
        this.#undoLog.markBatchEnd(index);
    }

    /** Makes the batches up to the given log index permanent. */
    commitThrough(index: number): void {
        this.#undoLog.commitThrough(index);
    }

    /** Undoes all uncommitted changes. */
    rollback(): void {
        this.#undoLog.rollback();
    }

    /**
     * Sets the only observer until the term changes, so that a former leader's scheduler is not notified of the events
     * that its replica applies as a follower.
     */
    observe(observer: ClusterObserver | undefined): void {
        this.#observer = observer;
    }

    /** Current configuration; the same object until it changes. */
    get configuration(): Configuration {
        this.#configuration ??= create(ConfigurationSchema, {
            revision: this.revision,
            contracts: sortedBy(this.#tables.contracts.values(), contract => contract.customer),
            availabilityZones: sortedBy(this.#tables.zones.values(), zone => zone.name),
        });
        return this.#configuration;
    }

    get revision(): number {
        return this.#facts.revision;
    }

    get term(): number {
        return this.#facts.term;
    }

    contract(customer: string): Contract | undefined {
        return this.#tables.contracts.get(customer);
    }

    workClass(customer: string, name: string): WorkClass | undefined {
        return this.contract(customer)?.classes.find(workClass => workClass.name === name);
    }

    contracts(): Iterable<Contract> {
        return this.#tables.contracts.values();
    }

    zone(name: string): AvailabilityZone | undefined {
        return this.#tables.zones.get(name);
    }

    zones(): Iterable<AvailabilityZone> {
        return this.#tables.zones.values();
    }

    /** State of a zone; one that operators never changed is in service. */
    zoneState(name: string): ZoneState {
        return this.zone(name)?.state ?? ZoneState.IN_SERVICE;
    }

    backendServer(id: string): BackendServer | undefined {
        return this.#tables.servers.get(id);
    }

    backendServers(): Iterable<BackendServer> {
        return this.#tables.servers.values();
    }

    get backendServerCount(): number {
        return this.#tables.servers.size;
    }

    job(key: JobKey): Job | undefined {
        return this.#tables.jobs.get(key);
    }

    jobs(): Iterable<Job> {
        return this.#tables.jobs.values();
    }

    get jobCount(): number {
        return this.#tables.jobs.size;
    }

    queuedJobKeys(): ReadonlySet<JobKey> {
        return this.#usage.queued;
    }

    /** Jobs whose attempt holds capacity. */
    activeJobKeys(): ReadonlySet<JobKey> {
        return this.#usage.active;
    }

    /** Capacity held on a backend server and the jobs that hold it. */
    useOfBackendServer(id: string): CapacityUse {
        return this.#usage.ofServer(id);
    }

    useOfCustomer(customer: string): CapacityUse {
        return this.#usage.ofCustomer(customer);
    }

    /** Recorded result of an operator's command, while it is retained. */
    command(commandId: string): CommandCompleted | undefined {
        const number = this.#commandNumbers.get(commandId);
        return number === undefined ? undefined : this.#tables.commands.get(number)?.command;
    }

    /** Copy of the committed state. */
    toSnapshot(): ClusterSnapshot {
        const { facts, contracts, zones, servers, jobs, commands } = this.#tables;
        const { revision, term } = facts.committedValues()[0] ?? NO_FACTS;
        return create(ClusterSnapshotSchema, {
            configuration: create(ConfigurationSchema, {
                revision,
                contracts: sortedBy(contracts.committedValues(), contract => contract.customer),
                availabilityZones: sortedBy(zones.committedValues(), zone => zone.name),
            }),
            backendServers: sortedBy(servers.committedValues(), server => server.backendServerId),
            jobs: sortedBy(jobs.committedValues(), job => job.specification ? jobKeyOf(job.specification) : ""),
            commands: commands.committedValues().sort((a, b) => a.number - b.number).map(({ command }) => command),
            term,
        });
    }

    static fromSnapshot(snapshot: ClusterSnapshot): ClusterState {
        const state = new ClusterState();
        const tables = state.#tables;
        snapshot.configuration?.contracts.forEach(contract => tables.contracts.load(contract.customer, contract));
        snapshot.configuration?.availabilityZones.forEach(zone => tables.zones.load(zone.name, zone));
        snapshot.backendServers.forEach(server => tables.servers.load(server.backendServerId, server));
        snapshot.commands.forEach((command, number) => tables.commands.load(String(number), { number, command }));
        for (const job of snapshot.jobs) {
            if (job.specification !== undefined) {
                tables.jobs.load(jobKeyOf(job.specification), job);
            }
        }
        tables.facts.load(FACTS_KEY, {
            ...NO_FACTS,
            revision: snapshot.configuration?.revision ?? 0,
            term: snapshot.term,
            nextCommand: snapshot.commands.length,
        });
        return state;
    }

    get #facts(): ClusterFacts {
        return this.#tables.facts.get(FACTS_KEY) ?? NO_FACTS;
    }
}
