import { create } from "@bufbuild/protobuf";
import { ContractSchema, WorkKind } from "@waxwingspread/protocol";
import type { Contract, Resources, WorkClass } from "@waxwingspread/protocol";
import { toHex } from "../output/format-values.js";
import type { ContractFile } from "./contract-schema.js";

type FileWorkClass = ContractFile["classes"][number];
type FileResources = ContractFile["quota"]["resources"];

const KIND_BY_NAME: Record<FileWorkClass["kind"], WorkKind> = {
    "latency-critical": WorkKind.LATENCY_CRITICAL,
    "batch": WorkKind.BATCH,
    "standing": WorkKind.STANDING,
};

const NAME_BY_KIND: Record<WorkKind, FileWorkClass["kind"]> = {
    // The daemon accepts no contract with an unset kind.
    [WorkKind.UNSPECIFIED]: "batch",
    [WorkKind.LATENCY_CRITICAL]: "latency-critical",
    [WorkKind.BATCH]: "batch",
    [WorkKind.STANDING]: "standing",
};

const fromHex = (text: string): Uint8Array => new Uint8Array(Buffer.from(text, "hex"));

/** Converts a validated contract file to its protobuf message. */
export const toContract = (file: ContractFile): Contract =>
    create(ContractSchema, {
        ...file,
        classes: file.classes.map(item => ({ ...item, kind: KIND_BY_NAME[item.kind] })),
        credentials: file.credentials.map(({ credentialId, saltHex, sha256Hex }) => ({
            credentialId,
            salt: fromHex(saltHex),
            sha256: fromHex(sha256Hex),
        })),
    });

const toFileResources = (resources: Resources | undefined): FileResources => ({
    cpuMillicores: resources?.cpuMillicores ?? 0,
    memoryMebibytes: resources?.memoryMebibytes ?? 0,
    accelerators: resources?.accelerators ?? 0,
});

const toFileWorkClass = (item: WorkClass): FileWorkClass => ({
    name: item.name,
    kind: NAME_BY_KIND[item.kind],
    ...(item.latencyTargetMs === 0 ? {} : { latencyTargetMs: item.latencyTargetMs }),
    neverRepeat: item.neverRepeat,
    defaultResources: toFileResources(item.defaultResources),
    ...(item.defaultRunTimeMs === 0 ? {} : { defaultRunTimeMs: item.defaultRunTimeMs }),
});

/** Converts the protobuf message of a contract to the form of a contract file. */
export const toContractFile = (contract: Contract): ContractFile => ({
    customer: contract.customer,
    weight: contract.weight,
    quota: {
        resources: toFileResources(contract.quota?.resources),
        concurrentTasks: contract.quota?.concurrentTasks ?? 0,
        submissionsPerSecond: contract.quota?.submissionsPerSecond ?? 0,
        submissionBurst: contract.quota?.submissionBurst ?? 0,
        queuedJobs: contract.quota?.queuedJobs ?? 0,
        retriesPerMinute: contract.quota?.retriesPerMinute ?? 0,
    },
    latencyCriticalShare: contract.latencyCriticalShare,
    batchShare: contract.batchShare,
    answerRetentionMs: contract.answerRetentionMs,
    classes: contract.classes.map(toFileWorkClass),
    credentials: contract.credentials.map(({ credentialId, salt, sha256 }) => ({
        credentialId,
        saltHex: toHex(salt),
        sha256Hex: toHex(sha256),
    })),
});
