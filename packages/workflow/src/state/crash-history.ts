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

/** The involvement of a run in the crash of its server. */
export interface CrashReport {
    serverId: string;
    /** The VM of the server, which stays when the server comes back under another id; empty when unknown. */
    vmId: string;
    involvement: CrashInvolvement;
}

/** The involvement of one run of a task in the crash of its server, or of one of the servers of its gang. */
export interface CrashRecord extends CrashReport {
    run: number;
}

/**
 * Runs, and VMs whose servers crashed, with a task as the sole suspect after which it is given up. One VM may itself be
 * broken, and the members of one run of a gang may have met one fault of their rack.
 */
const MAX_SOLE_SUSPECT_CRASHES = 2;
/** Runs with crashes of any involvement in a row after which a task is given up. */
const MAX_CRASHED_RUNS = 5;

const SEVERITY: Readonly<Record<CrashInvolvement, number>> = {
    [CrashInvolvement.None]: 0,
    [CrashInvolvement.RanOn]: 0,
    [CrashInvolvement.Present]: 1,
    [CrashInvolvement.Suspected]: 2,
    [CrashInvolvement.SoleSuspect]: 3,
};

/** Returns the crash of a server under a run, if it is among those of its task. */
export const findCrash = (crashes: readonly CrashRecord[], run: number, serverId: string): CrashRecord | undefined =>
    crashes.find(crash => crash.run === run && crash.serverId === serverId);

/** Returns a task's crashes after those of one more run became known, or known better. */
export const withCrash = (crashes: readonly CrashRecord[], added: CrashRecord): CrashRecord[] => {
    if (added.involvement === CrashInvolvement.RanOn) {
        return [];
    }
    const known = findCrash(crashes, added.run, added.serverId);
    const others = crashes.filter(crash => crash !== known);
    if (added.involvement === CrashInvolvement.None) {
        return others;
    }
    const isKnownWorse = known !== undefined && SEVERITY[known.involvement] > SEVERITY[added.involvement];
    return [...others, isKnownWorse ? known : added];
};

/** Whether a server, or its VM, is one that crashed under a task. */
export const hasCrashedOn = (crashes: readonly CrashRecord[], serverId: string, vmId: string): boolean =>
    crashes.some(crash => crash.serverId === serverId || (vmId !== "" && crash.vmId === vmId));

/** Whether a task may have caused one of its crashes, so that it is to be tried apart from other suspects. */
export const isSuspect = (crashes: readonly CrashRecord[] = []): boolean =>
    crashes.some(({ involvement }) => SEVERITY[involvement] >= SEVERITY[CrashInvolvement.Suspected]);

/** Whether a task has crashed so many servers that it must not start again. */
export const isToBeGivenUp = (crashes: readonly CrashRecord[]): boolean => {
    const soleCrashes = crashes.filter(({ involvement }) => involvement === CrashInvolvement.SoleSuspect);
    const vmCount = new Set(soleCrashes.map(vmOf)).size;
    return Math.min(vmCount, countRuns(soleCrashes)) >= MAX_SOLE_SUSPECT_CRASHES
        || countRuns(crashes) >= MAX_CRASHED_RUNS;
};

const countRuns = (crashes: readonly CrashRecord[]): number => new Set(crashes.map(({ run }) => run)).size;

const vmOf = ({ serverId, vmId }: CrashRecord): string => vmId === "" ? serverId : vmId;
