import { bearerTokenOf, createCredential, generateSecret } from "@waxwingspread/entry";

const toHex = (bytes: Uint8Array): string => Buffer.from(bytes).toString("hex");

/** Contract in the format of the operators' CLI, and the bearer token of its caller. */
export interface ExampleContract {
    contract: Record<string, unknown>;
    token: string;
}

/** Returns a contract with the classes check (latency-critical), trial (batch, never repeated) and watch (standing). */
export const createExampleContract = (customer: string): ExampleContract => {
    const secret = generateSecret();
    const credential = createCredential("main", secret);
    const contract = {
        customer,
        weight: 1,
        quota: {
            resources: { cpuMillicores: 400_000, memoryMebibytes: 1_600_000, accelerators: 0 },
            concurrentTasks: 200,
            submissionsPerSecond: 2_000,
            submissionBurst: 4_000,
            queuedJobs: 10_000,
            retriesPerMinute: 600,
        },
        latencyCriticalShare: 1,
        batchShare: 1,
        answerRetentionMs: 3_600_000,
        classes: [
            {
                name: "check",
                kind: "latency-critical",
                latencyTargetMs: 250,
                defaultResources: { cpuMillicores: 500, memoryMebibytes: 256 },
                defaultRunTimeMs: 50,
            },
            {
                name: "trial",
                kind: "batch",
                neverRepeat: true,
                defaultResources: { cpuMillicores: 2_000, memoryMebibytes: 2_048 },
                defaultRunTimeMs: 2_000,
            },
            {
                name: "watch",
                kind: "standing",
                defaultResources: { cpuMillicores: 250, memoryMebibytes: 128 },
            },
        ],
        credentials: [{
            credentialId: credential.credentialId,
            saltHex: toHex(credential.salt),
            sha256Hex: toHex(credential.sha256),
        }],
    };
    return { contract, token: bearerTokenOf(customer, "main", secret) };
};
