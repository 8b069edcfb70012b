import type { Configuration } from "../model/configuration.js";
import type { HeartbeatReport } from "../model/heartbeat.js";
import type { OrganisationContract } from "../model/organisation.js";
import type { JobSpecification, StepSpecification } from "../model/specification.js";

/** Host of the queues in tests. */
export const HOST = "jobs.example";

/** Returns a step of finite tasks. */
export const stepOf = (changes: Partial<StepSpecification> = {}): StepSpecification => ({
    taskCount: 1,
    amounts: { cpuMillicores: 1_000, memoryMebibytes: 1_000, accelerators: 0 },
    estimatedRunTimeMs: 1_000,
    dependsOn: [],
    savesCheckpoints: false,
    isGang: false,
    prefersOneRack: false,
    requiredLabel: "",
    dataRack: "",
    maxTasksPerServer: 0,
    allowsCopies: false,
    isStanding: false,
    image: "image",
    targetTailMs: 0,
    isFiller: false,
    maxUnavailable: undefined,
    ...changes,
});

/** Returns a standing step with a target tail latency of 100 ms. */
export const standingStepOf = (changes: Partial<StepSpecification> = {}): StepSpecification =>
    stepOf({ isStanding: true, targetTailMs: 100, image: "standing", ...changes });

/** Returns a step of fillers that save checkpoints. */
export const fillerStepOf = (changes: Partial<StepSpecification> = {}): StepSpecification =>
    stepOf({ isFiller: true, savesCheckpoints: true, image: "filler", estimatedRunTimeMs: 5_000, ...changes });

/** Returns a job that runs once. */
export const jobOf = (id: string, ...steps: StepSpecification[]): JobSpecification => ({
    id,
    payload: `payload of ${id}`,
    steps,
    schedule: undefined,
});

/** Returns a configuration with the queue `/batch/` of the service `pool`. */
export const configurationOf = (version: number, changes: Partial<Configuration> = {}): Configuration => ({
    version,
    queues: [{
        name: "batch",
        host: HOST,
        pathPrefix: "/batch/",
        service: "pool",
        priority: 0,
        maxAttempts: 2,
        stretchRatio: 2,
        targetDurationMs: 1_000,
        timeoutMs: 3_000,
        eligibility: undefined,
    }],
    services: [{ name: "pool", guardsCapacity: true, isStandby: false }],
    maxBodyBytes: 262_144,
    document: `{"version":${version}}`,
    ...changes,
});

/** Returns the contract of an organisation without limits, whose only key has its name as its digest. */
export const organisationOf = (name: string, changes: Partial<OrganisationContract> = {}): OrganisationContract => ({
    name,
    keyDigests: [name],
    weight: 1,
    submissionsPerSecond: 0,
    quota: { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 },
    ...changes,
});

/** Returns the contract of an organisation without limits, with the given digests of API keys. */
export const organisationWithKeys = (name: string, ...keyDigests: string[]): OrganisationContract =>
    organisationOf(name, { keyDigests });

/** Returns a heartbeat of an idle server with 4 cores in the zone `a`. */
export const heartbeatOf = (
    serverId: string,
    sequence: number,
    changes: Partial<HeartbeatReport> = {},
): HeartbeatReport => ({
    serverId,
    incarnation: 1,
    sequence,
    clockMs: undefined,
    vmId: `vm-${serverId}`,
    service: "pool",
    availabilityZone: "a",
    rack: "r1",
    labels: ["kind", "r1"],
    capacity: { cpuMillicores: 4_000, memoryMebibytes: 16_000, accelerators: 0 },
    isDraining: false,
    remainingMs: undefined,
    running: [],
    ended: [],
    ...changes,
});
