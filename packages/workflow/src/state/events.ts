import type { Configuration, QueueContract } from "../model/configuration.js";
import type { RunEnd } from "../model/heartbeat.js";
import type { MaintenanceOrder, VmMaintenancePhase } from "../model/maintenance.js";
import type { JobSpecification } from "../model/specification.js";
import type { CrashReport, LossReason } from "./crash-history.js";

/** Kinds of replicated events. */
export enum EventKind {
    ConfigurationAccepted = "configuration-accepted",
    ZoneTakenOut = "zone-taken-out",
    ZoneReturned = "zone-returned",
    JobAccepted = "job-accepted",
    JobCancelled = "job-cancelled",
    RunsAssigned = "runs-assigned",
    RunsEnded = "runs-ended",
    RunsLost = "runs-lost",
    JobsForgotten = "jobs-forgotten",
    PressuresLearned = "pressures-learned",
    MaintenanceOrdered = "maintenance-ordered",
    VmMaintained = "vm-maintained",
    LeaseExtended = "lease-extended",
}

/** Learned effect of filler images on the tail latency of standing images: by standing image, then by filler image. */
export type PressureTable = Record<string, Record<string, number>>;

/** One incarnation of a backend server. */
export interface ServerIncarnation {
    serverId: string;
    incarnation: number;
}

/** A run assigned to a backend server. It is recorded before its start order is sent. */
export interface AssignedRun extends ServerIncarnation {
    task: string;
    run: number;
}

/** The end of a run, as stored in a `RunsEnded` event. */
export interface RecordedEnd {
    task: string;
    run: number;
    end: RunEnd;
    checkpoint: string;
}

/**
 * A run that its backend server has certainly ended or never started, or further knowledge of the involvement of such a
 * run in a crash.
 */
export interface LostRun {
    task: string;
    run: number;
    /** Latest checkpoint reported to the leader; empty for none. */
    checkpoint: string;
    /** Undefined in records of former versions. */
    reason?: LossReason;
    /** Involvement in the crash of the server; undefined if it didn't crash or the run had not begun. */
    crash?: CrashReport;
}

/** A replicated change. Applying an event that no longer matches the state has no effect. */
export type WorkflowEvent =
    | { kind: EventKind.ConfigurationAccepted; configuration: Configuration }
    | { kind: EventKind.ZoneTakenOut; availabilityZone: string }
    | { kind: EventKind.ZoneReturned; availabilityZone: string }
    | { kind: EventKind.JobAccepted; job: JobSpecification; queue: QueueContract; acceptedAtMs: number }
    /** Also recorded for a job that isn't known, whose submission may arrive later. */
    | { kind: EventKind.JobCancelled; jobId: string; atMs: number }
    | { kind: EventKind.RunsAssigned; runs: AssignedRun[] }
    | {
        kind: EventKind.RunsEnded;
        server: ServerIncarnation;
        /** Highest sequence number among the server's ends that this event covers. */
        throughSequence: number;
        ends: RecordedEnd[];
        atMs: number;
    }
    | {
        kind: EventKind.RunsLost;
        runs: LostRun[];
        /** Undefined in records of former versions. */
        atMs?: number;
    }
    | {
        kind: EventKind.JobsForgotten;
        /** Jobs that have ended. */
        jobIds: string[];
        /** Cancelled jobs of which no submission has arrived; undefined in records of former versions. */
        cancelledJobIds?: string[];
    }
    | { kind: EventKind.PressuresLearned; pressures: PressureTable }
    | { kind: EventKind.MaintenanceOrdered; order: MaintenanceOrder; atMs: number }
    | { kind: EventKind.VmMaintained; maintenanceId: number; vmId: string; phase: VmMaintenancePhase }
    /** Recorded before a leader grants leases that are longer than any before. */
    | { kind: EventKind.LeaseExtended; leaseMs: number };

/** The events of one kind. */
export type EventOf<Kind extends EventKind> = Extract<WorkflowEvent, { kind: Kind }>;

/** Size up to which events share a record. A record must fit into one message between replicas, which is far larger. */
export const MAX_SHARED_RECORD_BYTES = 1024 * 1024;

/** Encodes events as one log record. */
export const encodeEvents = (events: readonly WorkflowEvent[]): Uint8Array => Buffer.from(JSON.stringify(events));

/** Encodes events as log records of a bounded size, beside events that are larger by themselves. At least one record. */
export const encodeRecords = (events: readonly WorkflowEvent[]): Uint8Array[] => {
    const records: string[][] = [[]];
    let bytes = 0;
    events.forEach((event, index) => {
        const text = JSON.stringify(event);
        if (bytes + text.length > MAX_SHARED_RECORD_BYTES && bytes > 0 && !isCancellationOf(event, events[index - 1])) {
            records.push([]);
            bytes = 0;
        }
        records.at(-1)?.push(text);
        bytes += text.length;
    });
    return records.map(texts => Buffer.from(`[${texts.join()}]`));
};

/** Whether an event cancels the job that the one before accepts; no replica may know the one without the other. */
const isCancellationOf = (event: WorkflowEvent, previous: WorkflowEvent | undefined): boolean =>
    event.kind === EventKind.JobCancelled
    && previous?.kind === EventKind.JobAccepted
    && previous.job.id === event.jobId;

/** Decodes a log record written by `encodeEvents`. Throws an error for any other content. */
export const decodeEvents = (record: Uint8Array): WorkflowEvent[] => {
    const events = JSON.parse(Buffer.from(record.buffer, record.byteOffset, record.byteLength).toString()) as unknown;
    if (!Array.isArray(events)) {
        throw new Error("the record is not a list of events");
    }
    return events as WorkflowEvent[];
};
