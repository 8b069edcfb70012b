import { create } from "@bufbuild/protobuf";
import { ResourcesSchema, WorkKind } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";

/** A work class of a deployment, with its actual behaviour, which the policies can't see. */
export interface ClassShape {
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
export interface FirmShape {
    name: string;
    zones: readonly string[];
    servers: number;
    rackSize: number;
    slots: number;
    capacity: Resources;
    /** One-way network delay between zones; an order and its confirmation take two of them. */
    oneWayMs: number;
    classes: readonly ClassShape[];
    /** Mean arrival rate of latency-critical jobs, over all classes. */
    urgentPerSecond: number;
    standingTasks: number;
    /** Share of the fleet in each customer's quota; it covers the peak of the customer's latency-critical work. */
    quotaShares: Readonly<Record<string, number>>;
    /** Share of each zone's servers that the static split reserves for latency-critical and standing work. */
    urgentServerRatio: number;
}

const amounts = (cpuMillicores: number, memoryMebibytes: number): Resources =>
    create(ResourcesSchema, { cpuMillicores, memoryMebibytes });

interface SizeShape {
    declaredCpu: number;
    usedCpu: number;
    declaredMemory: number;
    usedMemory: number;
}

const sized = (size: SizeShape): Pick<ClassShape, "declared" | "used"> => ({
    declared: amounts(size.declaredCpu, size.declaredMemory),
    used: amounts(size.usedCpu, size.usedMemory),
});

const urgent = (
    customer: string,
    name: string,
    runTimeMs: readonly [number, number],
    targetMs: number,
    size: SizeShape,
): ClassShape => ({
    customer,
    name,
    workKind: WorkKind.LATENCY_CRITICAL,
    runTimeMs,
    targetMs,
    repeatable: true,
    ...sized(size),
});

const batch = (
    customer: string,
    name: string,
    runTimeMs: readonly [number, number],
    size: SizeShape,
): ClassShape => ({
    customer,
    name,
    workKind: WorkKind.BATCH,
    runTimeMs,
    targetMs: 0,
    repeatable: false,
    ...sized(size),
});

const standing = (customer: string, name: string, size: SizeShape): ClassShape => ({
    customer,
    name,
    workKind: WorkKind.STANDING,
    runTimeMs: [Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER],
    targetMs: 0,
    repeatable: true,
    ...sized(size),
});

const size = (declaredCpu: number, usedCpu: number, declaredMemory: number, usedMemory: number): SizeShape => ({
    declaredCpu,
    usedCpu,
    declaredMemory,
    usedMemory,
});

/** Filter sizing: checks with ample latency targets, and long trials. */
export const FILTER_MAKER: FirmShape = {
    name: "filterMaker",
    zones: ["presov-a", "kosice-b", "poprad-c"],
    servers: 30,
    rackSize: 8,
    slots: 8,
    capacity: amounts(16_000, 60_000),
    oneWayMs: 1.5,
    urgentPerSecond: 55,
    standingTasks: 12,
    quotaShares: { quotes: 0.5, sizing: 0.3, research: 0.2 },
    urgentServerRatio: 0.8,
    classes: [
        urgent("quotes", "check", [400, 900], 1_700, size(1_500, 1_000, 2_000, 1_500)),
        urgent("quotes", "check-cloth", [700, 1_300], 2_600, size(2_000, 1_400, 2_000, 1_800)),
        urgent("sizing", "check-pressure", [300, 700], 1_300, size(1_000, 900, 1_500, 1_000)),
        batch("sizing", "trial", [20_000, 60_000], size(2_000, 1_600, 6_000, 4_000)),
        batch("sizing", "trial-fine", [40_000, 90_000], size(4_000, 1_900, 8_000, 5_000)),
        batch("research", "trial-slurry", [15_000, 50_000], size(1_000, 1_700, 4_000, 4_500)),
        batch("research", "trial-sweep", [10_000, 30_000], size(2_000, 1_200, 4_000, 2_000)),
        batch("quotes", "trial-quote", [10_000, 40_000], size(2_000, 1_400, 4_000, 3_000)),
        standing("sizing", "wash-monitor", size(500, 300, 1_000, 500)),
    ],
};

/** Carton storage: short lookups with tight latency targets, and recall orders. */
export const ARCHIVE_FIRM: FirmShape = {
    name: "archiveFirm",
    zones: ["hafnarfjordur", "kopavogur", "mosfellsbaer", "grandi"],
    servers: 30,
    rackSize: 6,
    slots: 8,
    capacity: amounts(32_000, 125_000),
    oneWayMs: 0.5,
    urgentPerSecond: 90,
    standingTasks: 24,
    quotaShares: { courts: 0.5, offices: 0.3, vault: 0.2 },
    urgentServerRatio: 0.8,
    classes: [
        urgent("courts", "lookup", [200, 500], 800, size(2_000, 1_600, 3_000, 2_000)),
        urgent("courts", "lookup-shelf", [300, 700], 1_100, size(3_000, 2_500, 4_000, 2_500)),
        urgent("offices", "lookup-carton", [250, 600], 1_000, size(2_000, 1_800, 3_000, 2_000)),
        batch("offices", "recall", [15_000, 45_000], size(4_000, 3_000, 10_000, 7_000)),
        batch("offices", "recall-full", [30_000, 80_000], size(6_000, 3_600, 16_000, 9_000)),
        batch("courts", "recall-court", [10_000, 30_000], size(2_000, 2_800, 8_000, 8_500)),
        batch("vault", "recall-vault", [10_000, 40_000], size(4_000, 2_400, 8_000, 4_000)),
        standing("vault", "custody-watch", size(1_000, 500, 2_000, 1_000)),
    ],
};

/** Returns the key that identifies a class to the policies. */
export const classKeyOf = (shape: ClassShape): string => `${shape.customer}/${shape.name}`;

/** Returns the customers of a deployment, in the order of their first class. */
export const customersOf = (firm: FirmShape): string[] => [...new Set(firm.classes.map(shape => shape.customer))];
