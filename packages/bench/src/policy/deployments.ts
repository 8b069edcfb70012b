import { create } from "@bufbuild/protobuf";
import { ResourcesSchema, WorkKind } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";

/** A work class of a deployment, with its actual behaviour, which the policies can't see. */
export interface WorkClassProfile {
    customer: string;
    name: string;
    workKind: WorkKind;
    /** Bounds of the run time on an idle VM. */
    runTimeMs: readonly [number, number];
    /** Latency target; zero for batch and standing work. */
    targetMs: number;
    declared: Resources;
    /** Mean resources that a task actually uses. */
    used: Resources;
    repeatable: boolean;
}

/** Simulated fleet and workload of a deployment, as described in section 1 of the design. */
export interface Deployment {
    name: string;
    zones: readonly string[];
    servers: number;
    rackSize: number;
    slots: number;
    capacity: Resources;
    /** One-way network delay between zones; an order and its confirmation take two of them. */
    oneWayMs: number;
    classes: readonly WorkClassProfile[];
    /** Mean arrival rate of latency-critical jobs, over all classes. */
    latencyCriticalPerSecond: number;
    standingTasks: number;
    /** Share of the fleet in each customer's quota; it covers the peak of the customer's latency-critical work. */
    quotaShares: Readonly<Record<string, number>>;
    /** Share of each zone's servers that the static split reserves for latency-critical and standing work. */
    latencyCriticalServerRatio: number;
}

const createResources = (cpuMillicores: number, memoryMebibytes: number): Resources =>
    create(ResourcesSchema, { cpuMillicores, memoryMebibytes });

interface TaskSize {
    declaredCpu: number;
    usedCpu: number;
    declaredMemory: number;
    usedMemory: number;
}

const resourcesOf = (taskSize: TaskSize): Pick<WorkClassProfile, "declared" | "used"> => ({
    declared: createResources(taskSize.declaredCpu, taskSize.declaredMemory),
    used: createResources(taskSize.usedCpu, taskSize.usedMemory),
});

const latencyCriticalClass = (
    customer: string,
    name: string,
    runTimeMs: readonly [number, number],
    targetMs: number,
    taskSize: TaskSize,
): WorkClassProfile => ({
    customer,
    name,
    workKind: WorkKind.LATENCY_CRITICAL,
    runTimeMs,
    targetMs,
    repeatable: true,
    ...resourcesOf(taskSize),
});

const batchClass = (
    customer: string,
    name: string,
    runTimeMs: readonly [number, number],
    taskSize: TaskSize,
): WorkClassProfile => ({
    customer,
    name,
    workKind: WorkKind.BATCH,
    runTimeMs,
    targetMs: 0,
    repeatable: false,
    ...resourcesOf(taskSize),
});

const standingClass = (customer: string, name: string, taskSize: TaskSize): WorkClassProfile => ({
    customer,
    name,
    workKind: WorkKind.STANDING,
    runTimeMs: [Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER],
    targetMs: 0,
    repeatable: true,
    ...resourcesOf(taskSize),
});

const createTaskSize = (
    declaredCpu: number,
    usedCpu: number,
    declaredMemory: number,
    usedMemory: number,
): TaskSize => ({
    declaredCpu,
    usedCpu,
    declaredMemory,
    usedMemory,
});

/** Filter sizing: checks with ample latency targets, and long trials. */
export const FILTER_MAKER: Deployment = {
    name: "filterMaker",
    zones: ["presov-a", "kosice-b", "poprad-c"],
    servers: 30,
    rackSize: 8,
    slots: 8,
    capacity: createResources(16_000, 60_000),
    oneWayMs: 1.5,
    latencyCriticalPerSecond: 55,
    standingTasks: 12,
    quotaShares: { quotes: 0.5, sizing: 0.3, research: 0.2 },
    latencyCriticalServerRatio: 0.8,
    classes: [
        latencyCriticalClass("quotes", "check", [400, 900], 1_700, createTaskSize(1_500, 1_000, 2_000, 1_500)),
        latencyCriticalClass("quotes", "check-cloth", [700, 1_300], 2_600, createTaskSize(2_000, 1_400, 2_000, 1_800)),
        latencyCriticalClass("sizing", "check-pressure", [300, 700], 1_300, createTaskSize(1_000, 900, 1_500, 1_000)),
        batchClass("sizing", "trial", [20_000, 60_000], createTaskSize(2_000, 1_600, 6_000, 4_000)),
        batchClass("sizing", "trial-fine", [40_000, 90_000], createTaskSize(4_000, 1_900, 8_000, 5_000)),
        batchClass("research", "trial-slurry", [15_000, 50_000], createTaskSize(1_000, 1_700, 4_000, 4_500)),
        batchClass("research", "trial-sweep", [10_000, 30_000], createTaskSize(2_000, 1_200, 4_000, 2_000)),
        batchClass("quotes", "trial-quote", [10_000, 40_000], createTaskSize(2_000, 1_400, 4_000, 3_000)),
        standingClass("sizing", "wash-monitor", createTaskSize(500, 300, 1_000, 500)),
    ],
};

/** Carton storage: short lookups with tight latency targets, and recall orders. */
export const ARCHIVE_FIRM: Deployment = {
    name: "archiveFirm",
    zones: ["hafnarfjordur", "kopavogur", "mosfellsbaer", "grandi"],
    servers: 30,
    rackSize: 6,
    slots: 8,
    capacity: createResources(32_000, 125_000),
    oneWayMs: 0.5,
    latencyCriticalPerSecond: 90,
    standingTasks: 24,
    quotaShares: { courts: 0.5, offices: 0.3, vault: 0.2 },
    latencyCriticalServerRatio: 0.8,
    classes: [
        latencyCriticalClass("courts", "lookup", [200, 500], 800, createTaskSize(2_000, 1_600, 3_000, 2_000)),
        latencyCriticalClass("courts", "lookup-shelf", [300, 700], 1_100, createTaskSize(3_000, 2_500, 4_000, 2_500)),
        latencyCriticalClass("offices", "lookup-carton", [250, 600], 1_000, createTaskSize(2_000, 1_800, 3_000, 2_000)),
        batchClass("offices", "recall", [15_000, 45_000], createTaskSize(4_000, 3_000, 10_000, 7_000)),
        batchClass("offices", "recall-full", [30_000, 80_000], createTaskSize(6_000, 3_600, 16_000, 9_000)),
        batchClass("courts", "recall-court", [10_000, 30_000], createTaskSize(2_000, 2_800, 8_000, 8_500)),
        batchClass("vault", "recall-vault", [10_000, 40_000], createTaskSize(4_000, 2_400, 8_000, 4_000)),
        standingClass("vault", "custody-watch", createTaskSize(1_000, 500, 2_000, 1_000)),
    ],
};

/** Returns the key that identifies a class to the policies. */
export const classKeyOf = (profile: WorkClassProfile): string => `${profile.customer}/${profile.name}`;

/** Returns the customers of a deployment, in the order of their first class. */
export const customersOf = (
    deployment: Deployment,
): string[] => [...new Set(deployment.classes.map(profile => profile.customer))];
