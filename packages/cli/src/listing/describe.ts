import { AttemptState, HealthState, JobState, MemberRole, Outcome, Reason } from "@waxwingspread/protocol";
import type { BackendServer, Job, OperatorQueryResult, QuotaUse, Resources } from "@waxwingspread/protocol";
import type { CommandOutput } from "../command-line/command.js";
import { enumName, formatTime, toHex } from "../output/format-values.js";
import { formatTable } from "../output/table.js";

const resourcesJson = (resources: Resources | undefined): unknown => ({
    cpuMillicores: resources?.cpuMillicores ?? 0,
    memoryMebibytes: resources?.memoryMebibytes ?? 0,
    accelerators: resources?.accelerators ?? 0,
});

/** Formats the VMs that are in contact with the leader, and the members of the replicated log. */
export const describeVms = ({ vms, membership, revision }: OperatorQueryResult): CommandOutput => {
    const members = (membership?.members ?? []).map(({ identity, role }) => ({
        name: identity?.name ?? "",
        diskId: identity?.diskId ?? "",
        address: identity?.address ?? "",
        role: enumName(MemberRole, role),
    }));
    const vmRows = vms.map(vm => [vm.name, vm.role, vm.availabilityZone, vm.address, vm.state]);
    const memberRows = members.map(({ name, role, address, diskId }) => [name, role, address, diskId]);
    return {
        table: formatTable(["VM", "ROLE", "ZONE", "ADDRESS", "STATE"], vmRows)
            + "\n"
            + formatTable(["REPLICA", "MEMBER", "ADDRESS", "DISK-ID"], memberRows),
        json: {
            revision,
            vms: vms.map(({ name, role, availabilityZone, address, state }) => ({
                name,
                role,
                availabilityZone,
                address,
                state,
            })),
            members,
        },
    };
};

const serverRow = (server: BackendServer): string[] => [
    server.backendServerId,
    server.availabilityZone,
    server.rack,
    enumName(HealthState, server.health),
    server.leaving ? "leaving" : "",
    String(server.slots),
    String(server.capacity?.cpuMillicores ?? 0),
    String(server.capacity?.memoryMebibytes ?? 0),
    String(server.capacity?.accelerators ?? 0),
    String(server.consecutiveFailures),
];

const serverJson = (server: BackendServer): unknown => ({
    backendServerId: server.backendServerId,
    incarnation: server.incarnation,
    address: server.address,
    availabilityZone: server.availabilityZone,
    rack: server.rack,
    health: enumName(HealthState, server.health),
    healthChangedAtMs: server.healthChangedAtMs,
    leaving: server.leaving,
    slots: server.slots,
    capacity: resourcesJson(server.capacity),
    consecutiveFailures: server.consecutiveFailures,
});

const SERVER_HEADERS = [
    "BACKEND-SERVER",
    "ZONE",
    "RACK",
    "HEALTH",
    "LEAVING",
    "SLOTS",
    "CPU-MILLICORES",
    "MEMORY-MEBIBYTES",
    "ACCELERATORS",
    "FAILURES",
];

/** Formats backend servers with their health and capacity. */
export const describeBackendServers = ({ backendServers, revision }: OperatorQueryResult): CommandOutput => ({
    table: formatTable(SERVER_HEADERS, backendServers.map(serverRow)),
    json: { revision, backendServers: backendServers.map(serverJson) },
});

const jobRow = (job: Job): string[] => [
    job.specification?.customer ?? "",
    job.specification?.requestId ?? "",
    job.specification?.workClass ?? "",
    enumName(JobState, job.state),
    enumName(Outcome, job.outcome) || "-",
    enumName(Reason, job.reason) || "-",
    job.attempt?.backendServerId || "-",
    String(job.attemptsMade),
    String(job.evictions),
    formatTime(job.acceptedAtMs),
];

const attemptJson = ({ attempt }: Job): unknown =>
    attempt === undefined ? undefined : {
        number: attempt.number,
        backendServerId: attempt.backendServerId,
        incarnation: attempt.incarnation,
        state: enumName(AttemptState, attempt.state),
        assignedAtMs: attempt.assignedAtMs,
        runningSinceMs: attempt.runningSinceMs || undefined,
        stopReason: enumName(Reason, attempt.stopReason) || undefined,
        reserved: resourcesJson(attempt.reserved),
        throttled: attempt.throttled,
    };

/** Converts a job to its JSON output; unset fields are omitted. */
export const jobJson = (job: Job): unknown => ({
    customer: job.specification?.customer,
    requestId: job.specification?.requestId,
    workClass: job.specification?.workClass,
    state: enumName(JobState, job.state),
    outcome: enumName(Outcome, job.outcome) || undefined,
    reason: enumName(Reason, job.reason) || undefined,
    detail: job.detail || undefined,
    attempt: attemptJson(job),
    attemptsMade: job.attemptsMade,
    evictions: job.evictions,
    failedOn: job.failedOn,
    acceptedAtMs: job.acceptedAtMs,
    endedAtMs: job.endedAtMs || undefined,
    answerSha256: job.answer === undefined ? undefined : toHex(job.answer.sha256),
    acknowledged: job.acknowledged,
});

const JOB_HEADERS = [
    "CUSTOMER",
    "REQUEST-ID",
    "CLASS",
    "STATE",
    "OUTCOME",
    "REASON",
    "BACKEND-SERVER",
    "ATTEMPTS",
    "EVICTIONS",
    "ACCEPTED",
];

/** Formats jobs; the table omits some fields of the JSON output. */
export const describeJobs = ({ jobs }: OperatorQueryResult): CommandOutput => ({
    table: formatTable(JOB_HEADERS, jobs.map(jobRow)),
    json: { jobs: jobs.map(jobJson) },
});

const formatUse = (used: number | undefined, limit: number | undefined): string => `${used ?? 0}/${limit ?? 0}`;

const quotaRow = ({ customer, quota, used, runningTasks, queuedJobs }: QuotaUse): string[] => [
    customer,
    formatUse(used?.cpuMillicores, quota?.resources?.cpuMillicores),
    formatUse(used?.memoryMebibytes, quota?.resources?.memoryMebibytes),
    formatUse(used?.accelerators, quota?.resources?.accelerators),
    formatUse(runningTasks, quota?.concurrentTasks),
    formatUse(queuedJobs, quota?.queuedJobs),
];

const quotaJson = (item: QuotaUse): unknown => ({
    customer: item.customer,
    used: resourcesJson(item.used),
    quota: resourcesJson(item.quota?.resources),
    runningTasks: item.runningTasks,
    concurrentTasks: item.quota?.concurrentTasks ?? 0,
    queuedJobs: item.queuedJobs,
    queuedJobsLimit: item.quota?.queuedJobs ?? 0,
});

const QUOTA_HEADERS = ["CUSTOMER", "CPU-MILLICORES", "MEMORY-MEBIBYTES", "ACCELERATORS", "TASKS", "QUEUED"];

/** Formats the use of each customer's quota. */
export const describeQuotas = ({ quotas }: OperatorQueryResult): CommandOutput => ({
    table: formatTable(QUOTA_HEADERS, quotas.map(quotaRow)),
    json: { quotas: quotas.map(quotaJson) },
});

/** Formats the explanation of one job's state. */
export const describeExplanation = ({ explanation, jobs }: OperatorQueryResult): CommandOutput => ({
    table: explanation.map(line => `${line}\n`).join(""),
    json: { explanation, jobs: jobs.map(jobJson) },
});
