import { stepKeyOf } from "../model/specification.js";
import { CrashInvolvement, LossReason } from "../state/crash-history.js";
import type { LostRun } from "../state/events.js";
import type { RunView, ServerView } from "./server-view.js";

/** Time after the first report of a run by which it hasn't crashed its server and isn't going to. */
const RAN_ON_MS = 3_000;
/** Difference between the last heartbeats of servers that fell silent together. */
const COMMON_SILENCE_WINDOW_MS = 500;
/** Time without a heartbeat after which a server counts as silent. */
const MIN_SILENCE_MS = 1_000;
/** Servers that fall silent together from which on the cause is a common one, such as a loss of power. */
const MIN_COMMON_SILENCES = 4;
/** Time for which the suspects of a crash are remembered. */
const INCIDENT_RETENTION_MS = 60_000;

/** A lost run that may have crashed its server. */
interface Suspect {
    lost: LostRun;
    /** Whether the run was tried apart from others because a server may have crashed under an earlier one. */
    isOnTrial: boolean;
}

/** The crash of a server, or a silence that may be one. */
interface Incident {
    server: ServerView;
    /** Whether the server's life has ended: a later incarnation of it, or a later server on its VM, was heard. */
    isConfirmed: boolean;
    /** Lost runs that may be the cause, by the key of their task or, in a gang, of their step. */
    suspects: Map<string, Suspect>;
    /** All runs whose involvement was recorded. */
    involvedRuns: LostRun[];
    recordedAtMs: number;
}

/**
 * Finds the tasks that may have crashed a backend server: those that had just started when it fell silent. Suspects
 * that run on or end elsewhere are cleared, until only one is left.
 *
 * A later life of a server doesn't prove a crash: the server may have been cut off and have left as planned, without its
 * heartbeats that said so. Nothing else need differ for the leader. The first suspicion therefore only puts a task on
 * trial; crashes of servers under its trials count as the task's own. A task that does crash its servers costs one more
 * of them.
 */
export class CrashAttribution {
    readonly #incidents = new Map<string, Incident>();

    /**
     * Records that a server has crashed or that its lease has expired, and returns its committed runs as lost. The given
     * servers are all others that the leader knows.
     */
    recordLoss(server: ServerView, reason: LossReason, others: readonly ServerView[], nowMs: number): LostRun[] {
        const committed = [...server.runs.values()].filter(run => run.isCommitted);
        if (hasLeftAsPlanned(server)) {
            return committed.map(run => lostRunOf(run, LossReason.ServerLeft));
        }
        const isCommonCause = this.#hasCommonCause(server, others, nowMs);
        const suspects = committed.filter(run => hasBegun(run) && server.isFresh(run));
        const keys = new Set(suspects.map(suspectKeyOf));
        const isConfirmed = others.some(other => isSuccessor(other, server));
        const isSole = isConfirmed && keys.size === 1 && !isCommonCause;
        const involvementOf = (run: RunView): CrashInvolvement =>
            isSole && run.isSuspect ? CrashInvolvement.SoleSuspect : CrashInvolvement.Suspected;
        const lostRuns = committed.map(run => {
            if (!hasBegun(run)) {
                return lostRunOf(run, reason);
            }
            return crashedRunOf(
                run,
                server,
                reason,
                suspects.includes(run) ? involvementOf(run) : involvementOfOther(server, run),
            );
        });
        this.#incidents.set(incidentKeyOf(server.id, server.incarnation), {
            server,
            isConfirmed,
            suspects: new Map(
                isCommonCause
                    ? []
                    : suspects.map(run => [suspectKeyOf(run), {
                        lost: crashedRunOf(run, server, reason, involvementOf(run)),
                        isOnTrial: run.isSuspect,
                    }]),
            ),
            involvedRuns: lostRuns.filter(({ crash }) =>
                crash !== undefined && crash.involvement !== CrashInvolvement.RanOn
            ),
            recordedAtMs: nowMs,
        });
        return lostRuns;
    }

    /**
     * Handles the first heartbeat of a server that the leader did not know, and returns what it shows about lost runs.
     * A server that is heard again in the same incarnation was only cut off: it is no longer held against its runs. A
     * later incarnation, or a later server on the same VM, confirms the crash.
     */
    recordHeard(server: ServerView): LostRun[] {
        const key = incidentKeyOf(server.id, server.incarnation);
        const { involvedRuns = [] } = this.#incidents.get(key) ?? {};
        this.#incidents.delete(key);
        const withdrawn = involvedRuns.map(lost => withInvolvement(lost, CrashInvolvement.None));
        const confirmed = [...this.#incidents.values()]
            .filter(incident => !incident.isConfirmed && isSuccessor(server, incident.server))
            .flatMap(incident => {
                incident.isConfirmed = true;
                return soleSuspectOf(incident);
            });
        return [...withdrawn, ...confirmed];
    }

    /** Clears a task, or a gang, that has run on or ended; returns the suspects that are the only ones left. */
    clear(suspectKey: string): LostRun[] {
        return [...this.#incidents.values()].flatMap(incident =>
            incident.suspects.delete(suspectKey) ? soleSuspectOf(incident) : []
        );
    }

    /** Forgets the crashes that are too old to be of use. */
    evictExpired(nowMs: number): void {
        for (const [key, { recordedAtMs }] of this.#incidents) {
            if (nowMs - recordedAtMs > INCIDENT_RETENTION_MS) {
                this.#incidents.delete(key);
            }
        }
    }

    /**
     * Whether so many servers fell silent at about the same time that the cause is a common one. Servers with a suspect on
     * trial count only if they are the majority: tasks that crash their servers are often tried again together, when the
     * leases of the servers expire together.
     */
    #hasCommonCause(server: ServerView, others: readonly ServerView[], nowMs: number): boolean {
        const lost = [...this.#incidents.values()].map(incident => incident.server);
        const silent = others.filter(other => nowMs - other.lastHeartbeatAtMs >= MIN_SILENCE_MS);
        const together = [...new Set([server, ...silent, ...lost])].filter(other =>
            Math.abs(other.lastHeartbeatAtMs - server.lastHeartbeatAtMs) <= COMMON_SILENCE_WINDOW_MS
        );
        const untriedCount = together.filter(other => !hasTrial(other)).length;
        const knownCount = new Set([...others, ...together]).size;
        return untriedCount >= MIN_COMMON_SILENCES
            || (together.length >= MIN_COMMON_SILENCES && together.length > knownCount / 2);
    }
}

/** Whether a server is silent because it drains, or because its VM is maintained: it was heard until about the request. */
const hasLeftAsPlanned = ({ isDraining, maintenanceRequestedAtMs, lastHeartbeatAtMs }: ServerView): boolean =>
    isDraining || (maintenanceRequestedAtMs ?? Infinity) - lastHeartbeatAtMs < MIN_SILENCE_MS;

/** Returns the key under which a run is suspected: its task, or its step if it belongs to a gang. */
export const suspectKeyOf = ({ step, position, task }: Pick<RunView, "step" | "position" | "task">): string =>
    step.isGang ? stepKeyOf(position) : task;

/** Returns the loss of a run without a crash for the log. */
export const lostRunOf = ({ task, run, checkpoint }: RunView, reason: LossReason): LostRun => ({
    task,
    run,
    checkpoint,
    reason,
});

const crashedRunOf = (
    run: RunView,
    { id: serverId, vmId }: ServerView,
    reason: LossReason,
    involvement: CrashInvolvement,
): LostRun => ({ ...lostRunOf(run, reason), crash: { serverId, vmId, involvement } });

const withInvolvement = (lost: LostRun, involvement: CrashInvolvement): LostRun =>
    lost.crash === undefined ? lost : { ...lost, crash: { ...lost.crash, involvement } };

/** Whether the server has or may have received the start order; a former leader may have sent it. */
const hasBegun = (run: RunView): boolean => run.isReported || run.isAdopted || run.orderedAtSequence !== undefined;

/** Whether a task that may have crashed another server had just started. */
const hasTrial = (server: ServerView): boolean => server.freshRuns.some(run => run.isSuspect && hasBegun(run));

/** Returns the involvement of a run that has begun and isn't a suspect. */
const involvementOfOther = (server: ServerView, run: RunView): CrashInvolvement =>
    server.reportedMsOf(run) >= RAN_ON_MS ? CrashInvolvement.RanOn : CrashInvolvement.Present;

/**
 * Whether a server is a later life of another one: under the same id, or on the same VM, which runs one at a time. What a
 * server ran that this leader has never heard may have run for long; its end shows nothing.
 */
const isSuccessor = (server: ServerView, former: ServerView): boolean =>
    former.sequence !== undefined
    && server.incarnation > former.incarnation
    && (server.id === former.id || (server.vmId !== "" && server.vmId === former.vmId));

/** Returns the only suspect of a confirmed crash as such if it was on trial; nothing if there are several, or none. */
const soleSuspectOf = ({ isConfirmed, suspects }: Incident): LostRun[] => {
    const [suspect] = suspects.values();
    return isConfirmed && suspects.size === 1 && suspect?.isOnTrial === true
        ? [withInvolvement(suspect.lost, CrashInvolvement.SoleSuspect)]
        : [];
};

const incidentKeyOf = (serverId: string, incarnation: number): string => `${serverId}/${incarnation}`;
