import { create } from "@bufbuild/protobuf";
import { jobKeyOf, StepError } from "@waxwingspread/common";
import {
    AttemptEnd,
    AttemptState,
    ErrorCode,
    HealthState,
    JobSchema,
    JobState,
    Outcome,
    Reason,
    ZoneState,
} from "@waxwingspread/protocol";
import type { Attempt, BackendServer, Event, Job, JobSpecification } from "@waxwingspread/protocol";
import { addResources, fitsWithin, NO_RESOURCES } from "./resources.js";
import { FACTS_KEY, NO_FACTS } from "./tables.js";
import type { ClusterFacts, ClusterTables } from "./tables.js";
import { heldAttempt } from "./usage.js";

/** Applies one kind of event. */
export type EventHandler<V> = (tables: ClusterTables, value: V, atMs: number) => void;

type EventKind = Exclude<Event["kind"], { case: undefined }>;
type EventCase = EventKind["case"];
type ValueOf<C extends EventCase> = Extract<EventKind, { case: C }>["value"];

/** Number of operator command results that are retained. */
export const RETAINED_COMMANDS = 4_096;

/** Number of former incarnations retained for each backend server. */
const RETAINED_INCARNATIONS = 16;

/** Reasons of stops that count as evictions. */
const EVICTION_REASONS: ReadonlySet<Reason> = new Set([
    Reason.EVICTED,
    Reason.PREEMPTED,
    Reason.INTERFERENCE,
    Reason.OVERUSE,
    Reason.QUOTA_RECLAIMED,
]);

const corruptionError = (step: string, peer: string, message: string): StepError =>
    new StepError(ErrorCode.CORRUPT, `apply ${step}`, peer, message);

const factsOf = (tables: ClusterTables): ClusterFacts => tables.facts.get(FACTS_KEY) ?? NO_FACTS;

const changeFacts = (tables: ClusterTables, change: Partial<ClusterFacts>): void =>
    tables.facts.set(FACTS_KEY, { ...factsOf(tables), ...change });

const advanceRevision = (tables: ClusterTables, revision: number, step: string): void => {
    const current = factsOf(tables).revision;
    if (revision !== current + 1) {
        throw corruptionError(step, "", `revision ${revision} does not follow ${current}`);
    }
    changeFacts(tables, { revision });
};

const jobOf = (tables: ClusterTables, identity: { customer: string; requestId: string }, step: string): Job => {
    const job = tables.jobs.get(jobKeyOf(identity));
    if (job === undefined) {
        throw corruptionError(step, identity.requestId, "unknown job");
    }
    return job;
};

const setJob = (tables: ClusterTables, job: Job, change: Partial<Job>): void =>
    tables.jobs.set(jobKeyOf(job.specification as JobSpecification), { ...job, ...change });

const attemptOf = (job: Job, number: number, step: string): Attempt => {
    const attempt = heldAttempt(job);
    if (attempt?.number !== number) {
        throw corruptionError(step, job.specification?.requestId ?? "", `attempt ${number} holds no capacity`);
    }
    return attempt;
};

const serverOf = (tables: ClusterTables, id: string, step: string): BackendServer => {
    const server = tables.servers.get(id);
    if (server === undefined) {
        throw corruptionError(step, id, "unknown backend server");
    }
    return server;
};

const checkAssignment = (tables: ClusterTables, job: Job, attempt: Attempt): void => {
    const step = "attemptAssigned";
    const peer = attempt.backendServerId;
    const server = serverOf(tables, peer, step);
    const use = tables.usage.ofServer(peer);
    const reserved = attempt.reserved ?? NO_RESOURCES;
    if (job.state !== JobState.QUEUED || job.cancelRequested || attempt.number !== job.attemptsMade + 1) {
        throw corruptionError(step, peer, `attempt ${attempt.number} of a job that is not waiting for it`);
    }
    if (server.incarnation !== attempt.incarnation || server.leaving) {
        throw corruptionError(step, peer, "the backend server has another incarnation or is leaving");
    }
    if (tables.zones.get(server.availabilityZone)?.state === ZoneState.OUT_OF_SERVICE) {
        throw corruptionError(step, peer, `zone ${server.availabilityZone} is out of service`);
    }
    if (!fitsWithin(addResources(use.resources, reserved), server.capacity ?? NO_RESOURCES)) {
        throw corruptionError(step, peer, "the reservation exceeds the free capacity");
    }
    if (use.jobKeys.size >= server.slots) {
        throw corruptionError(step, peer, "the backend server has no free slot");
    }
    if (job.everStarted && !job.specification?.repeatable && job.checkpoint === undefined) {
        throw corruptionError(step, peer, "work that must not be repeated has been started before");
    }
};

const checkJoin = (tables: ClusterTables, server: BackendServer): void => {
    const step = "backendServerJoined";
    const previous = tables.servers.get(server.backendServerId);
    const use = tables.usage.ofServer(server.backendServerId);
    if (previous !== undefined && previous.incarnation !== server.incarnation && use.jobKeys.size > 0) {
        throw corruptionError(step, server.backendServerId, "attempts of the former incarnation hold capacity");
    }
    if (!fitsWithin(use.resources, server.capacity ?? NO_RESOURCES) || use.jobKeys.size > server.slots) {
        throw corruptionError(step, server.backendServerId, "the attempts exceed the announced capacity");
    }
};

const formerIncarnations = (previous: BackendServer | undefined, incarnation: string): string[] => {
    if (previous === undefined) {
        return [];
    }
    return previous.incarnation === incarnation
        ? previous.formerIncarnations
        : [...previous.formerIncarnations, previous.incarnation].slice(-RETAINED_INCARNATIONS);
};

/** Non-repeatable work may continue only from the checkpoint of its last run, so an older one is discarded. */
const checkpointAfter = (job: Job, value: ValueOf<"attemptEnded">): Job["checkpoint"] => {
    if (value.end === AttemptEnd.NEVER_STARTED) {
        return job.checkpoint;
    }
    return job.specification?.repeatable ? value.checkpoint ?? job.checkpoint : value.checkpoint;
};

const checkJobEnd = (job: Job, value: ValueOf<"jobEnded">): void => {
    if (job.state === JobState.ENDED || heldAttempt(job) !== undefined) {
        throw corruptionError("jobEnded", value.requestId, "the job has ended before or holds capacity");
    }
    if (value.outcome === Outcome.NOT_RUN && job.everStarted) {
        throw corruptionError("jobEnded", value.requestId, "a job that was started can't end as not run");
    }
};

const contractAndZoneHandlers = {
    contractWritten: (tables: ClusterTables, value: ValueOf<"contractWritten">): void => {
        if (value.contract === undefined) {
            throw corruptionError("contractWritten", "", "the event has no contract");
        }
        advanceRevision(tables, value.revision, "contractWritten");
        tables.contracts.set(value.contract.customer, value.contract);
    },
    contractRemoved: (tables: ClusterTables, value: ValueOf<"contractRemoved">): void => {
        advanceRevision(tables, value.revision, "contractRemoved");
        tables.contracts.set(value.customer, undefined);
    },
    zoneChanged: (tables: ClusterTables, value: ValueOf<"zoneChanged">): void => {
        if (value.availabilityZone === undefined) {
            throw corruptionError("zoneChanged", "", "the event has no availability zone");
        }
        advanceRevision(tables, value.revision, "zoneChanged");
        tables.zones.set(value.availabilityZone.name, value.availabilityZone);
    },
    commandCompleted: (tables: ClusterTables, value: ValueOf<"commandCompleted">): void => {
        const { firstCommand, nextCommand } = factsOf(tables);
        tables.commands.set(String(nextCommand), { number: nextCommand, command: value });
        const isFull = nextCommand - firstCommand >= RETAINED_COMMANDS;
        if (isFull) {
            tables.commands.set(String(firstCommand), undefined);
        }
        changeFacts(tables, { firstCommand: firstCommand + (isFull ? 1 : 0), nextCommand: nextCommand + 1 });
    },
    termStarted: (tables: ClusterTables, value: ValueOf<"termStarted">): void => {
        if (value.term <= factsOf(tables).term) {
            throw corruptionError("termStarted", value.leaderId, `term ${value.term} is not new`);
        }
        changeFacts(tables, { term: value.term });
    },
};

const backendServerHandlers = {
    backendServerJoined: (tables: ClusterTables, value: ValueOf<"backendServerJoined">, atMs: number): void => {
        const server = value.backendServer;
        if (server === undefined) {
            throw corruptionError("backendServerJoined", "", "the event has no backend server");
        }
        checkJoin(tables, server);
        const previous = tables.servers.get(server.backendServerId);
        tables.servers.set(server.backendServerId, {
            ...server,
            health: previous?.health ?? HealthState.HEALTHY,
            healthChangedAtMs: previous?.healthChangedAtMs ?? atMs,
            consecutiveFailures: previous?.consecutiveFailures ?? 0,
            formerIncarnations: formerIncarnations(previous, server.incarnation),
        });
    },
    backendServerLeaving: (tables: ClusterTables, value: ValueOf<"backendServerLeaving">): void => {
        const server = serverOf(tables, value.backendServerId, "backendServerLeaving");
        if (server.incarnation !== value.incarnation) {
            throw corruptionError(
                "backendServerLeaving",
                value.backendServerId,
                "the backend server has another incarnation",
            );
        }
        tables.servers.set(value.backendServerId, { ...server, leaving: true });
    },
    backendServerRemoved: (tables: ClusterTables, value: ValueOf<"backendServerRemoved">): void => {
        serverOf(tables, value.backendServerId, "backendServerRemoved");
        if (tables.usage.ofServer(value.backendServerId).jobKeys.size > 0) {
            throw corruptionError(
                "backendServerRemoved",
                value.backendServerId,
                "attempts on the backend server hold capacity",
            );
        }
        tables.servers.set(value.backendServerId, undefined);
    },
    backendServerHealthChanged: (
        tables: ClusterTables,
        value: ValueOf<"backendServerHealthChanged">,
        atMs: number,
    ): void => {
        const server = serverOf(tables, value.backendServerId, "backendServerHealthChanged");
        const { health, consecutiveFailures } = value;
        tables.servers.set(value.backendServerId, { ...server, health, consecutiveFailures, healthChangedAtMs: atMs });
    },
};

const attemptHandlers = {
    attemptAssigned: (tables: ClusterTables, value: ValueOf<"attemptAssigned">): void => {
        const job = jobOf(tables, value, "attemptAssigned");
        if (value.attempt === undefined) {
            throw corruptionError("attemptAssigned", value.requestId, "the event has no attempt");
        }
        checkAssignment(tables, job, value.attempt);
        setJob(tables, job, {
            state: JobState.ACTIVE,
            attempt: value.attempt,
            attemptsMade: value.attempt.number,
            reason: Reason.UNSPECIFIED,
        });
    },
    attemptRunning: (tables: ClusterTables, value: ValueOf<"attemptRunning">, atMs: number): void => {
        const job = jobOf(tables, value, "attemptRunning");
        const attempt = attemptOf(job, value.attemptNumber, "attemptRunning");
        if (attempt.runningSinceMs > 0) {
            throw corruptionError("attemptRunning", value.requestId, "the attempt is already running");
        }
        const state = attempt.state === AttemptState.ASSIGNED ? AttemptState.RUNNING : attempt.state;
        setJob(tables, job, { everStarted: true, attempt: { ...attempt, state, runningSinceMs: atMs } });
    },
    attemptStopping: (tables: ClusterTables, value: ValueOf<"attemptStopping">): void => {
        const job = jobOf(tables, value, "attemptStopping");
        const attempt = attemptOf(job, value.attemptNumber, "attemptStopping");
        if (attempt.state === AttemptState.STOPPING) {
            throw corruptionError("attemptStopping", value.requestId, "the attempt is already stopping");
        }
        setJob(tables, job, {
            attempt: { ...attempt, state: AttemptState.STOPPING, stopReason: value.reason },
            evictions: job.evictions + (EVICTION_REASONS.has(value.reason) ? 1 : 0),
        });
    },
    attemptThrottled: (tables: ClusterTables, value: ValueOf<"attemptThrottled">): void => {
        const job = jobOf(tables, value, "attemptThrottled");
        const attempt = attemptOf(job, value.attemptNumber, "attemptThrottled");
        setJob(tables, job, { attempt: { ...attempt, throttled: value.throttled } });
    },
    attemptEnded: (tables: ClusterTables, value: ValueOf<"attemptEnded">): void => {
        const job = jobOf(tables, value, "attemptEnded");
        const attempt = attemptOf(job, value.attemptNumber, "attemptEnded");
        const neverStarted = value.end === AttemptEnd.NEVER_STARTED;
        if (neverStarted && attempt.runningSinceMs > 0) {
            throw corruptionError("attemptEnded", value.requestId, "an attempt that ran can't end as never started");
        }
        const failed = value.end === AttemptEnd.TASK_ERROR && !job.failedOn.includes(attempt.backendServerId);
        setJob(tables, job, {
            attempt: { ...attempt, state: AttemptState.ENDED },
            everStarted: job.everStarted || !neverStarted,
            checkpoint: checkpointAfter(job, value),
            failedOn: failed ? [...job.failedOn, attempt.backendServerId] : job.failedOn,
            detail: value.detail,
        });
    },
};

const jobHandlers = {
    jobAccepted: (tables: ClusterTables, value: ValueOf<"jobAccepted">, atMs: number): void => {
        const { specification, entryId } = value;
        if (specification === undefined || tables.jobs.get(jobKeyOf(specification)) !== undefined) {
            throw corruptionError("jobAccepted", specification?.requestId ?? "", "the request id is in use");
        }
        const job = create(JobSchema, { specification, entryId, acceptedAtMs: atMs, state: JobState.QUEUED });
        tables.jobs.set(jobKeyOf(specification), job);
    },
    jobRequeued: (tables: ClusterTables, value: ValueOf<"jobRequeued">): void => {
        const job = jobOf(tables, value, "jobRequeued");
        if (job.state !== JobState.ACTIVE || heldAttempt(job) !== undefined) {
            throw corruptionError("jobRequeued", value.requestId, "the job is not active or holds capacity");
        }
        setJob(tables, job, { state: JobState.QUEUED, reason: value.reason, notBeforeMs: value.notBeforeMs });
    },
    jobEnded: (tables: ClusterTables, value: ValueOf<"jobEnded">, atMs: number): void => {
        const job = jobOf(tables, value, "jobEnded");
        checkJobEnd(job, value);
        const { outcome, reason, answer, detail } = value;
        const change = { state: JobState.ENDED, outcome, reason, answer, detail, endedAtMs: atMs };
        setJob(tables, job, { ...change, checkpoint: undefined });
    },
    cancelRequested: (tables: ClusterTables, value: ValueOf<"cancelRequested">): void =>
        setJob(tables, jobOf(tables, value, "cancelRequested"), { cancelRequested: true }),
    answerAcknowledged: (tables: ClusterTables, value: ValueOf<"answerAcknowledged">): void =>
        setJob(tables, jobOf(tables, value, "answerAcknowledged"), { acknowledged: true }),
    jobForgotten: (tables: ClusterTables, value: ValueOf<"jobForgotten">): void => {
        const job = jobOf(tables, value, "jobForgotten");
        if (job.state !== JobState.ENDED) {
            throw corruptionError("jobForgotten", value.requestId, "the job has not ended");
        }
        tables.jobs.set(jobKeyOf(value), undefined);
    },
};

/** Handler of each kind of event. */
export const EVENT_HANDLERS: { readonly [C in EventCase]: EventHandler<ValueOf<C>> } = {
    ...contractAndZoneHandlers,
    ...backendServerHandlers,
    ...attemptHandlers,
    ...jobHandlers,
};
