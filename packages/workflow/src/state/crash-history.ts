/** Why a run is gone without a reported end. */
export enum LossReason {
    /** A later incarnation of the server was heard. */
    ServerRestarted = "server-restarted",
    /** The server was silent until its lease had expired: it has crashed or is cut off. */
    LeaseExpired = "lease-expired",
    /** The server was draining or in maintenance, and its lease has expired. */
    ServerLeft = "server-left",
    /** The start order was never sent or arrived too late. */
    NeverStarted = "never-started",
    /** The server had reported the run and no longer lists it. */
    Missing = "missing",
    /** The server was removed before the assignment was committed. */
    ServerRemoved = "server-removed",
}

/** How a run was involved in the crash, or the silence, of its backend server. */
export enum CrashInvolvement {
    /** Not at all; withdraws what was recorded before, for example after the server was heard again. */
    None = "none",
    /** It had run for so long that neither this crash nor any before is held against its task. */
    RanOn = "ran-on",
    /** It was there, but others are more likely to be the cause. */
    Present = "present",
    /** One of several runs that may be the cause. */
    Suspected = "suspected",
    /** The only run that may be the cause. */
    SoleSuspect = "sole-suspect",
}

/** The involvement of one run of a task in the crash of its server. */
export interface CrashRecord {
    run: number;
    serverId: string;
    involvement: CrashInvolvement;
}

/** Servers that crashed with a task as the sole suspect after which it is given up; one server may itself be broken. */
const MAX_CRASHED_SERVERS = 2;
/** Crashes of any involvement, without a run that ran on, after which a task is given up. */
const MAX_CRASHES = 5;

const SEVERITY: Readonly<Record<CrashInvolvement, number>> = {
    [CrashInvolvement.None]: 0,
    [CrashInvolvement.RanOn]: 0,
    [CrashInvolvement.Present]: 1,
    [CrashInvolvement.Suspected]: 2,
    [CrashInvolvement.SoleSuspect]: 3,
};

/** Returns a task's crashes after those of one more run became known, or known better. */
export const withCrash = (crashes: readonly CrashRecord[], added: CrashRecord): CrashRecord[] => {
    if (added.involvement === CrashInvolvement.RanOn) {
        return [];
    }
    const others = crashes.filter(({ run }) => run !== added.run);
    if (added.involvement === CrashInvolvement.None) {
        return others;
    }
    const known = crashes.find(({ run }) => run === added.run);
    const isKnownWorse = known !== undefined && SEVERITY[known.involvement] > SEVERITY[added.involvement];
    return [...others, isKnownWorse ? known : added];
};

/** Whether a task may have caused one of its crashes, so that it is to be tried apart from other suspects. */
export const isSuspect = (crashes: readonly CrashRecord[] = []): boolean =>
    crashes.some(({ involvement }) => SEVERITY[involvement] >= SEVERITY[CrashInvolvement.Suspected]);

/** Whether a task has crashed so many servers that it must not start again. */
export const isToBeGivenUp = (crashes: readonly CrashRecord[]): boolean => {
    const soleCrashes = crashes.filter(({ involvement }) => involvement === CrashInvolvement.SoleSuspect);
    const serverIds = new Set(soleCrashes.map(({ serverId }) => serverId));
    return serverIds.size >= MAX_CRASHED_SERVERS || crashes.length >= MAX_CRASHES;
};
