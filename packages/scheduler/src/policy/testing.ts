import { create } from "@bufbuild/protobuf";
import { QuotaSchema, ResourcesSchema, WorkKind } from "@waxwingspread/protocol";
import type { Quota, Resources } from "@waxwingspread/protocol";
import type { CustomerLimits, PlacedTask, PlacementQuery, QueuedJob, ServerView } from "./types.js";

/** Data for the tests of the policies: amounts of resources. */
export const resources = (cpuMillicores: number, memoryMebibytes = 0, accelerators = 0): Resources =>
    create(ResourcesSchema, { cpuMillicores, memoryMebibytes, accelerators });

export const server = (backendServerId: string, change: Partial<ServerView> = {}): ServerView => ({
    backendServerId,
    availabilityZone: "zone-a",
    rack: "rack-1",
    capacity: resources(16_000, 60_000),
    slots: 8,
    placeable: true,
    slotLimit: 8,
    probing: false,
    ...change,
});

export const task = (taskKey: string, change: Partial<PlacedTask> = {}): PlacedTask => ({
    taskKey,
    customer: "customer",
    classKey: "customer/trial",
    workKind: WorkKind.BATCH,
    reserved: resources(2_000, 4_000),
    placedAtMs: 0,
    repeatable: false,
    throttled: false,
    stopping: false,
    ...change,
});

export const query = (change: Partial<PlacementQuery> = {}): PlacementQuery => ({
    customer: "customer",
    classKey: "customer/check",
    workKind: WorkKind.LATENCY_CRITICAL,
    reserved: resources(1_000, 1_000),
    repeatable: false,
    excludedServerIds: [],
    spreadAway: [],
    latencyTargetMs: 0,
    ...change,
});

export const job = (jobKey: string, change: Partial<QueuedJob> = {}): QueuedJob => ({
    jobKey,
    customer: "customer",
    classKey: "customer/trial",
    workKind: WorkKind.BATCH,
    reserved: resources(1_000, 1_000),
    queuedAtMs: 0,
    notBeforeMs: 0,
    deadlineMs: 0,
    latencyTargetMs: 0,
    ...change,
});

export const limits = (
    customer: string,
    quota: Partial<Omit<Quota, "$typeName" | "$unknown">> = {},
    change: Partial<CustomerLimits> = {},
): CustomerLimits => ({
    customer,
    quota: create(QuotaSchema, { resources: resources(100_000, 400_000), ...quota }),
    weight: 1,
    latencyCriticalShare: 1,
    batchShare: 1,
    ...change,
});
