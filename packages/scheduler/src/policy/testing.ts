import { create } from "@bufbuild/protobuf";
import { QuotaSchema, ResourcesSchema, WorkKind } from "@waxwingspread/protocol";
import type { Quota, Resources } from "@waxwingspread/protocol";
import type { CustomerLimits, PlacedTask, PlacementQuery, QueuedJob, ServerView } from "./types.js";

/** Creates resource amounts for policy tests. */
export const resources = (cpuMillicores: number, memoryMebibytes = 0, accelerators = 0): Resources =>
    create(ResourcesSchema, { cpuMillicores, memoryMebibytes, accelerators });

/** Creates the view of a healthy backend server with 16 cores, 60,000 MiB of memory and 8 slots. */
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

/** Creates a non-repeatable batch task with 2 cores and 4,000 MiB of memory. */
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

/** Creates a query for a small latency-critical task without a latency target. */
export const query = (change: Partial<PlacementQuery> = {}): PlacementQuery => ({
    customer: "customer",
    classKey: "customer/check",
    workKind: WorkKind.LATENCY_CRITICAL,
    reserved: resources(1_000, 1_000),
    repeatable: false,
    excludedServerIds: [],
    avoidedDomains: [],
    latencyTargetMs: 0,
    ...change,
});

/** Creates a queued batch job with 1 core and 1,000 MiB of memory. */
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

/** Creates the limits of a customer with a quota of 100 cores and 400,000 MiB, weight 1 and full shares. */
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
