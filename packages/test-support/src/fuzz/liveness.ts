import type { Fleet } from "./fleet.js";

/** Long enough for leases to expire, for an election and for backoff. */
const RECOVERY_MS = 16_000;
const OUTCOME_TIMEOUT_MS = 240_000;
const LATENCY_CRITICAL_START_LIMIT_MS = 2_100;
const REPAIR_TIMEOUT_MS = 60_000;
const CAPACITY_RELEASE_TIMEOUT_MS = 20_000;
const LATENCY_CRITICAL_PROBES = 3;
const BATCH_PROBES = 24;
const PROBE_RUN_MS = 8_000;
const FILL_MS = 1_000;

const bringZonesBack = async (fleet: Fleet): Promise<void> => {
    const zones = new Set(fleet.servers.map(({ host }) => host.zone));
    for (const zone of zones) {
        for (let accepted = false; !accepted;) {
            const sent = fleet.operators.bringZoneBack(zone);
            await fleet.waitUntil(
                () => sent.outcome !== undefined,
                RECOVERY_MS,
                `an answer to ${sent.command.commandId}`,
            );
            accepted = sent.outcome?.accepted === true;
        }
    }
};

/** Checks that latency-critical jobs start in time although batch work fills the fleet. */
const probeLatencyCriticalWork = async (fleet: Fleet): Promise<void> => {
    for (let number = 0; number < BATCH_PROBES; number += 1) {
        fleet.callers.submit({ workClass: "study", runMs: PROBE_RUN_MS });
    }
    await fleet.advance(FILL_MS);
    const latencyCriticalJobs = Array.from(
        { length: LATENCY_CRITICAL_PROBES },
        () => fleet.callers.submit({ workClass: "check", runMs: 50 }),
    );
    await fleet.advance(LATENCY_CRITICAL_START_LIMIT_MS);
    for (const job of latencyCriticalJobs) {
        const [first] = fleet.oracle.segmentsOf(job);
        if (first === undefined || first.startedAtMs - job.submittedAtMs > LATENCY_CRITICAL_START_LIMIT_MS) {
            fleet.oracle.violation(
                `latency-critical ${job.requestId} has not started within ${LATENCY_CRITICAL_START_LIMIT_MS} ms`,
            );
        }
    }
};

/**
 * Clears all faults and checks that, within bounded times, there is a leader, repairs complete, commands and jobs reach
 * their outcomes, and all capacity is released.
 */
export const checkLiveness = async (fleet: Fleet): Promise<void> => {
    const { callers, operators, oracle } = fleet;
    fleet.clearFaults();
    await fleet.waitUntil(() => fleet.leader !== undefined, RECOVERY_MS, "a leader");
    await fleet.waitUntil(() => operators.openRepairCount === 0, REPAIR_TIMEOUT_MS, "the end of repairs");
    await bringZonesBack(fleet);
    await fleet.advance(RECOVERY_MS);
    const hasAllOutcomes = operators.commands.every(({ outcome }) => outcome !== undefined);
    if (!hasAllOutcomes) {
        oracle.violation("a command has no outcome");
    }
    await probeLatencyCriticalWork(fleet);
    const standingJobs = callers.open.filter(job => job.request.workClass === "watch");
    callers.cancel(standingJobs);
    await fleet.waitUntil(() => callers.open.length === 0, OUTCOME_TIMEOUT_MS, "outcomes of all jobs");
    callers.jobs.forEach(job => {
        callers.queryOnce(job);
    });
    const isCapacityFree = (): boolean =>
        fleet.servers.every(({ used }) => used.cpuMillicores + used.memoryMebibytes === 0)
        && fleet.leader?.activeTaskCount === 0;
    await fleet.waitUntil(isCapacityFree, CAPACITY_RELEASE_TIMEOUT_MS, "free capacity");
    await fleet.advance(1_000);
};
