import type { RunSegment } from "../stand-in/observations.js";
import type { CallerJob } from "./callers.js";
import type { Fleet } from "./fleet.js";
import type { SentCommand } from "./operators.js";
import { SERVER_CAPACITY, SERVER_SLOTS } from "./server-host.js";

/** Time for which starts may still arrive once a zone is out of service or a server's leaving is accepted. */
const START_DELAY_LIMIT_MS = 3_000;
/** Time after which no entry may accept work at an older revision than that of an accepted command. */
const CONFIGURATION_LIMIT_MS = 2_000;
/** Allows for rounding errors: times of servers are converted between clocks. */
const TOLERANCE_MS = 0.01;
/** Time without contact after which the leader may have treated an attempt, and its checkpoint with it, as lost. */
const LEASE_MS = 9_000;
/** Reasons of a stand-in backend server for refusing a start that does not fit. */
const CAPACITY_REFUSALS = ["no free capacity", "another attempt of the job is held"];

/** A violated invariant. */
export class Violation extends Error {
    constructor(message: string) {
        super(message);
        this.name = "Violation";
    }
}

interface ZoneOutage {
    acceptedAtMs: number;
}

const isResumed = (previous: RunSegment, next: RunSegment): boolean =>
    previous.stopReason === "checkpointed"
    && Math.abs(next.progressAtStartMs - (previous.progressAtStopMs ?? 0)) < TOLERANCE_MS;

/** Checks invariants that callers, operators and backend servers can observe. Throws a {@link Violation}. */
export class Oracle {
    readonly #zoneOutages = new Map<string, ZoneOutage>();
    readonly #revisions = new Map<string, number>();
    readonly #checkedSegmentCounts = new Map<string, number>();
    readonly #checkedCommands = new Set<SentCommand>();
    #shutdownViolation: string | undefined;

    constructor(readonly fleet: Fleet) {}

    get zonesOutOfService(): string[] {
        return [...this.#zoneOutages.keys()];
    }

    /** Throws a violation with the current virtual time. */
    violation(message: string): never {
        throw new Violation(`at ${this.fleet.simulation.nowMs}: ${message}`);
    }

    /** Checks the invariants that must hold at all times. */
    checkInvariants(): void {
        this.#checkReportedViolations();
        this.#checkCommands();
        this.#checkConfiguration();
        this.#checkStarts();
        this.#checkServers();
        this.#checkJobs();
    }

    /** Records the result of a planned shutdown of an entry; the next check reports callers without a reply. */
    recordEntryShutdown(name: string, unanswered: number): void {
        if (unanswered > 0) {
            this.#shutdownViolation = `${name} shut down with ${unanswered} callers unanswered`;
        }
    }

    /** Returns the run segments of a job in the order of their starts. */
    segmentsOf(job: CallerJob): RunSegment[] {
        return this.#segmentsByJob().get(job.requestId) ?? [];
    }

    #checkReportedViolations(): void {
        const { callers, operators, entries } = this.fleet;
        const entryViolations = entries.flatMap(entry => entry.violations);
        const [violation = this.#shutdownViolation] = [
            ...callers.violations,
            ...operators.violations,
            ...entryViolations,
        ];
        if (violation !== undefined) {
            this.violation(violation);
        }
    }

    /**
     * Checks that each accepted command that changed the configuration created its own revision. A zone counts as out
     * of service once the command is accepted.
     */
    #checkCommands(): void {
        const { commands } = this.fleet.operators;
        for (const sent of commands) {
            const { command, outcome } = sent;
            if (command.kind.case === "bringZoneBack") {
                this.#zoneOutages.delete(command.kind.value);
            }
            if (outcome?.accepted !== true || this.#checkedCommands.has(sent)) {
                continue;
            }
            this.#checkedCommands.add(sent);
            const isChange = outcome.revision === command.expectedRevision + 1;
            if (!isChange && (command.kind.case === "writeContract" || outcome.revision !== command.expectedRevision)) {
                this.violation(`${command.commandId}: unexpected revision ${outcome.revision}`);
            }
            const duplicate = [...this.#checkedCommands].find(other =>
                isChange && other !== sent && other.outcome?.revision === outcome.revision
                && other.command.expectedRevision === command.expectedRevision
            );
            if (duplicate !== undefined) {
                this.violation(
                    `${command.commandId} and ${duplicate.command.commandId} both created revision ${outcome.revision}`,
                );
            }
        }
        this.#updateZones();
    }

    #updateZones(): void {
        for (const { command, outcome } of this.fleet.operators.commands) {
            const { kind } = command;
            if (kind.case !== "takeZoneOut" || outcome?.accepted !== true) {
                continue;
            }
            const zone = kind.value.availabilityZone;
            const mayBeInService = this.fleet.operators.commands.some(({ command: other, outcome: result }) =>
                other.kind.case === "bringZoneBack" && other.kind.value === zone
                && (result === undefined || result.accepted && result.revision > outcome.revision)
            );
            if (!mayBeInService && !this.#zoneOutages.has(zone)) {
                this.#zoneOutages.set(zone, { acceptedAtMs: outcome.atMs });
            }
        }
    }

    #checkConfiguration(): void {
        const { entries, operators, simulation } = this.fleet;
        const requiredRevision = operators.commands
            .filter(({ outcome }) =>
                outcome?.accepted === true && outcome.atMs + CONFIGURATION_LIMIT_MS < simulation.nowMs
            )
            .reduce((highest, { outcome }) => Math.max(highest, outcome?.revision ?? 0), 0);
        for (const { host, node } of entries) {
            if (node === undefined) {
                continue;
            }
            const key = `${host.name}/${host.generation}`;
            const revision = node.configurationRevision;
            if (revision < (this.#revisions.get(key) ?? 0)) {
                this.violation(`${host.name} reverted to revision ${revision}`);
            }
            this.#revisions.set(key, revision);
            if (!host.isFrozen && revision < requiredRevision && node.isReady(simulation.nowMs)) {
                this.violation(
                    `${host.name} accepts work at revision ${revision} although ${requiredRevision} is in force`,
                );
            }
        }
    }

    #checkStarts(): void {
        for (const server of this.fleet.servers) {
            const { segments } = server;
            const outage = this.#zoneOutages.get(server.host.zone);
            for (const segment of segments.slice(this.#checkedSegmentCounts.get(server.name) ?? 0)) {
                if (outage !== undefined && segment.startedAtMs > outage.acceptedAtMs + START_DELAY_LIMIT_MS) {
                    this.violation(`${segment.requestId} started on ${server.name}, whose zone is out of service`);
                }
            }
            this.#checkedSegmentCounts.set(server.name, segments.length);
            const acceptedAtMs = server.leavingAcceptedAtMs;
            const lateRefusal = server.refusalsBeforeDeadline.find(({ reason, atMs }) =>
                reason === "leaving" && acceptedAtMs !== undefined && atMs > acceptedAtMs + START_DELAY_LIMIT_MS
            );
            if (lateRefusal !== undefined) {
                this.violation(`${lateRefusal.job} was sent to ${server.name}, which is leaving`);
            }
        }
    }

    #checkServers(): void {
        for (const server of this.fleet.servers) {
            server.updateObservations();
            for (const { peakUsed, peakTasks } of server.observations) {
                const isExceeded = peakUsed.cpuMillicores > SERVER_CAPACITY.cpuMillicores
                    || peakUsed.memoryMebibytes > SERVER_CAPACITY.memoryMebibytes
                    || peakTasks > SERVER_SLOTS;
                if (isExceeded) {
                    this.violation(`${server.name} has exceeded its capacity`);
                }
            }
            // A server refuses a start that exceeds its capacity, so such a refusal before the start's deadline shows
            // that the leader assigned the task wrongly.
            const refusal = server.refusalsBeforeDeadline.find(({ reason }) => CAPACITY_REFUSALS.includes(reason));
            if (refusal !== undefined) {
                this.violation(`${refusal.job} was sent to ${server.name}: ${refusal.reason}`);
            }
        }
    }

    #checkJobs(): void {
        const segmentsByJob = this.#segmentsByJob();
        for (const job of this.fleet.callers.jobs) {
            const segments = segmentsByJob.get(job.requestId) ?? [];
            this.#checkNoOverlap(job, segments);
            this.#checkRuns(job, segments);
            this.#checkResumption(job, segments);
            if (job.ended?.outcome === "not-run" && segments.length > 0) {
                this.violation(`${job.requestId} ran although its outcome is not-run`);
            }
            if (job.ended?.outcome === "completed" && !segments.some(({ stopReason }) => stopReason === "completed")) {
                this.violation(`${job.requestId} is completed but none of its runs was`);
            }
        }
    }

    #checkNoOverlap(job: CallerJob, segments: RunSegment[]): void {
        segments.slice(1).forEach((segment, position) => {
            const previous = segments[position];
            if (previous !== undefined && (previous.stoppedAtMs ?? Infinity) > segment.startedAtMs + TOLERANCE_MS) {
                const servers = `${previous.backendServerId} and ${segment.backendServerId}`;
                this.violation(`${job.requestId} runs on both ${servers} at ${segment.startedAtMs}`);
            }
        });
    }

    #checkRuns(job: CallerJob, segments: RunSegment[]): void {
        const isRepeatable = job.request.workClass !== "trial" && job.request.repeatable !== false;
        const runs = segments.filter((segment, position) => {
            const previous = segments[position - 1];
            return previous === undefined || !isResumed(previous, segment);
        });
        if (!isRepeatable && runs.length > 1) {
            this.violation(`${job.requestId} must not be repeated but ran ${runs.length} times`);
        }
    }

    /** Checks that runs resume only from checkpoints, and from that of the previous run unless it was lost. */
    #checkResumption(job: CallerJob, segments: RunSegment[]): void {
        segments.forEach((segment, position) => {
            const { progressAtStartMs } = segment;
            const previous = segments[position - 1];
            const isProgressValid = progressAtStartMs === 0
                || segments.slice(0, position).some(earlier => isResumed(earlier, segment));
            if (!isProgressValid) {
                this.violation(`${job.requestId} resumed at ${progressAtStartMs}, where no checkpoint was taken`);
            }
            if (previous?.stopReason !== "checkpointed" || isResumed(previous, segment)) {
                return;
            }
            const stoppedAtMs = previous.stoppedAtMs ?? 0;
            const server = this.fleet.servers.find(({ name }) => name === previous.backendServerId);
            const isCheckpointLost = segment.startedAtMs - stoppedAtMs > LEASE_MS
                || server?.interruptionTimesMs.some(atMs => atMs >= stoppedAtMs && atMs <= segment.startedAtMs);
            if (!isCheckpointLost) {
                this.violation(`${job.requestId} didn't resume from its checkpoint at ${previous.progressAtStopMs}`);
            }
        });
    }

    #segmentsByJob(): Map<string, RunSegment[]> {
        const byJob = new Map<string, RunSegment[]>();
        for (const segment of this.fleet.servers.flatMap(({ segments }) => segments)) {
            const jobSegments = byJob.get(segment.requestId);
            if (jobSegments === undefined) {
                byJob.set(segment.requestId, [segment]);
            }
            else {
                jobSegments.push(segment);
            }
        }
        byJob.forEach(segments => segments.sort((a, b) => a.startedAtMs - b.startedAtMs));
        return byJob;
    }
}
