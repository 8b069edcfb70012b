import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { SeededRandom } from "@waxwingspread/common";
import { NodeFileSystem, ReplicaStore } from "@waxwingspread/consensus";
import {
    EventBatchSchema,
    JobSpecificationSchema,
    LogEntrySchema,
    OperatorCommandSchema,
    SubmitRequestSchema,
    WorkKind,
} from "@waxwingspread/protocol";
import type { LogEntry } from "@waxwingspread/protocol";
import { ClusterState, defaultSchedulerSettings, Scheduler } from "@waxwingspread/scheduler";
import { LocalFleet } from "@waxwingspread/test-support";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { epochMs } from "./callers.js";

const LOG_ENTRY_COUNTS = [500, 50_000];
const CUSTOMER = "filter-maker";
const UNLIMITED = 1_000_000;
const ENTRIES_PER_WRITE = 500;
const SUBMISSION_INTERVAL_MS = 10;
const STOP_GRACE_MS = 20_000;
const RESOURCES = { cpuMillicores: 100, memoryMebibytes: 100, accelerators: 0 };

const contract = {
    customer: CUSTOMER,
    weight: 1,
    latencyCriticalShare: 1,
    batchShare: 1,
    answerRetentionMs: UNLIMITED,
    quota: {
        resources: { cpuMillicores: UNLIMITED, memoryMebibytes: UNLIMITED, accelerators: 0 },
        concurrentTasks: UNLIMITED,
        submissionsPerSecond: UNLIMITED,
        submissionBurst: UNLIMITED,
        queuedJobs: UNLIMITED,
        retriesPerMinute: UNLIMITED,
    },
    classes: [{ name: "trial", kind: WorkKind.BATCH, defaultResources: RESOURCES }],
};

/** Creates log entries of `count` submitted jobs, as a leader of the given term would write them after `persisted`. */
const createLogEntries = (persisted: readonly LogEntry[], term: number, count: number): LogEntry[] => {
    const state = new ClusterState();
    for (const { body, index } of persisted) {
        if (body.case === "data") {
            fromBinary(EventBatchSchema, body.value).events.forEach(event => state.apply(event));
        }
        state.markBatchEnd(index);
        state.commitThrough(index);
    }
    const scheduler = new Scheduler(state, defaultSchedulerSettings, new SeededRandom(1));
    let nowMs = epochMs();
    scheduler.startTerm(term, "control-1", nowMs);
    scheduler.execute(
        create(OperatorCommandSchema, {
            commandId: "restart-contract",
            expectedRevision: state.configuration.revision,
            kind: { case: "writeContract", value: contract },
        }),
        nowMs,
    );
    const firstIndex = (persisted.at(-1)?.index ?? 0) + 1;
    return Array.from({ length: count }, (unused, number) => {
        nowMs += SUBMISSION_INTERVAL_MS;
        const specification = create(JobSpecificationSchema, {
            customer: CUSTOMER,
            requestId: `restart-${number}`,
            workClass: "trial",
            contentSha256: new Uint8Array([1]),
        });
        scheduler.submit(create(SubmitRequestSchema, { specification, entryId: "entry-1" }), nowMs);
        const { events } = scheduler.takeDecision();
        const value = toBinary(EventBatchSchema, create(EventBatchSchema, { events }));
        const index = firstIndex + number;
        state.markBatchEnd(index);
        state.commitThrough(index);
        return create(LogEntrySchema, { index, term, body: { case: "data", value } });
    });
};

const appendToLog = async (folder: string, address: string, count: number): Promise<void> => {
    const replica = await ReplicaStore.open({ fileSystem: new NodeFileSystem(), folder, name: "control-1", address });
    const { hardState, entries: persisted } = replica.persisted;
    const term = hardState.term + 1;
    const entries = createLogEntries(persisted, term, count);
    for (let position = 0; position < entries.length; position += ENTRIES_PER_WRITE) {
        const batch = entries.slice(position, position + ENTRIES_PER_WRITE);
        await replica.store.write([{ hardState: { ...hardState, term }, entries: batch }]);
    }
    await replica.store.close();
};

const measureOnce = async (entryCount: number): Promise<number> => {
    const dataFolder = await mkdtemp(join(tmpdir(), "waxwingspread-restart-"));
    const fleet = await LocalFleet.start({
        dataFolder,
        availabilityZones: ["presov-a"],
        controlReplicas: 1,
        entries: 0,
        backendServers: 0,
    });
    const control = await fleet.leader();
    await control.process.terminate(STOP_GRACE_MS);
    await appendToLog(join(fleet.dataFolderOf(control), "log"), control.controlAddress ?? "", entryCount);
    // The first restart applies the log and takes the snapshots that a running replica would have taken meanwhile.
    control.restart();
    await fleet.leader();
    await control.process.terminate(STOP_GRACE_MS);
    const beganAtMs = epochMs();
    control.restart();
    await fleet.leader();
    const durationMs = Math.round(epochMs() - beganAtMs);
    await fleet.stop();
    await fleet.removeData();
    return durationMs;
};

/** Measures the time in ms from the start of a control process until it serves, by the number of log entries. */
export const measureRestart = async (): Promise<Record<number, number>> => {
    const durations: Record<number, number> = {};
    for (const entryCount of LOG_ENTRY_COUNTS) {
        durations[entryCount] = await measureOnce(entryCount);
    }
    return durations;
};
