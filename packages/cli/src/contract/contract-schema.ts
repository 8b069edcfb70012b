import { z } from "zod";

const MAXIMUM_UINT32 = 4_294_967_295;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
/** At least 16 bytes of salt, which is what `contract new-credential` generates. */
const SALT_PATTERN = /^([0-9a-f]{2}){16,64}$/i;
const SHA256_PATTERN = /^[0-9a-f]{64}$/i;

const name = z.string().regex(NAME_PATTERN, "must be 1 to 63 lower-case letters, digits and inner dashes");
const count = z.int().min(0).max(MAXIMUM_UINT32);
const positiveCount = z.int().min(1).max(MAXIMUM_UINT32);
const ratio = z.number().min(0).max(1);
const durationMs = z.number().positive();

const resources = z.strictObject({
    cpuMillicores: count,
    memoryMebibytes: count,
    accelerators: count.default(0),
});

const quota = z.strictObject({
    resources,
    concurrentTasks: positiveCount,
    submissionsPerSecond: z.number().positive(),
    submissionBurst: positiveCount,
    queuedJobs: positiveCount,
    retriesPerMinute: z.number().min(0),
});

const workClass = z.strictObject({
    name,
    kind: z.enum(["latency-critical", "batch", "standing"]),
    latencyTargetMs: positiveCount.optional(),
    neverRepeat: z.boolean().default(false),
    defaultResources: resources,
    defaultRunTimeMs: durationMs.optional(),
});

const credential = z.strictObject({
    credentialId: name,
    saltHex: z.string().regex(SALT_PATTERN, "must be 32 to 128 hexadecimal digits"),
    sha256Hex: z.string().regex(SHA256_PATTERN, "must be 64 hexadecimal digits"),
});

const contractShape = z.strictObject({
    customer: name,
    weight: z.number().positive(),
    quota,
    latencyCriticalShare: ratio,
    batchShare: ratio,
    answerRetentionMs: durationMs,
    classes: z.array(workClass).min(1),
    credentials: z.array(credential).min(1),
});

/** A contract as it is written in a file. */
export type ContractFile = z.infer<typeof contractShape>;

/** Reports a violation of a rule that involves more than one field. */
type ReportViolation = (path: (string | number)[], message: string) => void;

const checkDistinct = (names: readonly string[], path: string, field: string, report: ReportViolation): void =>
    names.forEach((item, index) => {
        if (names.indexOf(item) !== index) {
            report([path, index, field], `"${item}" is already used`);
        }
    });

const RESOURCE_FIELDS = ["cpuMillicores", "memoryMebibytes", "accelerators"] as const;

const checkClass = (contract: ContractFile, index: number, report: ReportViolation): void => {
    const item = contract.classes[index];
    if (item === undefined) {
        return;
    }
    const path = ["classes", index];
    const isLatencyCritical = item.kind === "latency-critical";
    if (isLatencyCritical && item.latencyTargetMs === undefined) {
        report([...path, "latencyTargetMs"], "is required for a latency-critical class");
    }
    if (!isLatencyCritical && item.latencyTargetMs !== undefined) {
        report([...path, "latencyTargetMs"], "is allowed for a latency-critical class only");
    }
    if (item.kind !== "standing" && item.defaultRunTimeMs === undefined) {
        report([...path, "defaultRunTimeMs"], `is required for a ${item.kind} class`);
    }
    for (const field of RESOURCE_FIELDS) {
        const available = contract.quota.resources[field];
        if (item.defaultResources[field] > available) {
            report([...path, "defaultResources", field], `exceeds the quota of ${available}`);
        }
    }
};

/** Validates each field and the constraints between fields. */
export const contractSchema = contractShape.superRefine((contract, refinement) => {
    const report: ReportViolation = (path, message) => refinement.addIssue({ code: "custom", path, message });
    checkDistinct(contract.classes.map(item => item.name), "classes", "name", report);
    checkDistinct(contract.credentials.map(item => item.credentialId), "credentials", "credentialId", report);
    contract.classes.forEach((unusedClass, index) => checkClass(contract, index, report));
});
