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

const CHANGES = [500, 50_000];
const CUSTOMER = "filter-maker";
const MANY = 1_000_000;
const WRITE_ENTRIES = 500;
const SUBMISSION_INTERVAL_MS = 10;
const STOP_GRACE_MS = 20_000;
const RESOURCES = { cpuMillicores: 100, memoryMebibytes: 100, accelerators: 0 };

const contract = {
    customer: CUSTOMER,
    weight: 1,
    latencyCriticalShare: 1,
    batchShare: 1,
    answerRetentionMs: MANY,
    quota: {
        resources: { cpuMillicores: MANY, memoryMebibytes: MANY, accelerators: 0 },
        concurrentTasks: MANY,
        submissionsPerSecond: MANY,
        submissionBurst: MANY,
        queuedJobs: MANY,
        retriesPerMinute: MANY,
    },
    classes: [{ name: "trial", kind: WorkKind.BATCH, defaultResources: RESOURCES }],
};

/** Creates log entries of `count` submitted jobs, as a leader of the given term would write them after `persisted`. */
const makeEntries = (persisted: readonly LogEntry[], term: number, count: number): LogEntry[] => {
    const state = new ClusterState();
    for (const { body, index } of persisted) {
        if (body.case === "data") {
            fromBinary(EventBatchSchema, body.value).events.forEach(event => state.apply(event));
        }
        state.mark(index);
        state.committed(index);
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
        state.mark(index);
        state.committed(index);
        return create(LogEntrySchema, { index, term, body: { case: "data", value } });
    });
};

const fillLog = async (folder: string, address: string, count: number): Promise<void> => {
    const opened = await ReplicaStore.open({ fileSystem: new NodeFileSystem(), folder, name: "control-1", address });
    const { hardState, entries: persisted } = opened.persisted;
    const term = hardState.term + 1;
    const entries = makeEntries(persisted, term, count);
    for (let position = 0; position < entries.length; position += WRITE_ENTRIES) {
        const part = entries.slice(position, position + WRITE_ENTRIES);
        await opened.store.write([{ hardState: { ...hardState, term }, entries: part }]);
    }
    await opened.store.close();
};

const measureOnce = async (changes: number): Promise<number> => {
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
    await fillLog(join(fleet.dataFolderOf(control), "log"), control.controlAddress ?? "", changes);
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

/** Measures the time in milliseconds from the start of a control process until it serves, by the number of log entries. */
export const measureRestart = async (): Promise<Record<number, number>> => {
    const durations: Record<number, number> = {};
    for (const changes of CHANGES) {
        durations[changes] = await measureOnce(changes);
    }
    return durations;
};
