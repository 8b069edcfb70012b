import type { Fleet } from "./fleet.js";

/** Long enough for leases to expire, for an election and for backoff. */
const RECOVERY_MS = 16_000;
const OUTCOME_LIMIT_MS = 240_000;
const URGENT_LIMIT_MS = 2_100;
const REPAIR_LIMIT_MS = 60_000;
const FREE_LIMIT_MS = 20_000;
const URGENT_PROBES = 3;
const BATCH_PROBES = 24;
const PROBE_RUN_MS = 8_000;
const FILLING_MS = 1_000;

const bringZonesBack = async (fleet: Fleet): Promise<void> => {
    const zones = new Set(fleet.servers.map(({ host }) => host.zone));
    for (const zone of zones) {
        for (let accepted = false; !accepted;) {
            const sent = fleet.operators.bringZoneBack(zone);
            await fleet.until(() => sent.outcome !== undefined, RECOVERY_MS, `an answer to ${sent.command.commandId}`);
            accepted = sent.outcome?.accepted === true;
        }
    }
};

/** Checks that latency-critical jobs start in time although batch work fills the fleet. */
const probeUrgentWork = async (fleet: Fleet): Promise<void> => {
    for (let number = 0; number < BATCH_PROBES; number += 1) {
        fleet.callers.submit({ workClass: "study", runMs: PROBE_RUN_MS });
    }
    await fleet.advance(FILLING_MS);
    const urgent = Array.from(
        { length: URGENT_PROBES },
        () => fleet.callers.submit({ workClass: "check", runMs: 50 }),
    );
    await fleet.advance(URGENT_LIMIT_MS);
    for (const job of urgent) {
        const [first] = fleet.oracle.segmentsOf(job);
        if (first === undefined || first.startedAtMs - job.submittedAtMs > URGENT_LIMIT_MS) {
            fleet.oracle.violation(`latency-critical ${job.requestId} has not started within ${URGENT_LIMIT_MS} ms`);
        }
    }
};

/**
 * Clears all faults and checks that, within bounded times, there is a leader, repairs complete, commands and jobs reach
 * their outcomes, and all capacity is released.
 */
export const checkLiveness = async (fleet: Fleet): Promise<void> => {
    const { callers, operators, oracle } = fleet;
    fleet.endFaults();
    await fleet.until(() => fleet.leader !== undefined, RECOVERY_MS, "a leader");
    await fleet.until(() => operators.openRepairCount === 0, REPAIR_LIMIT_MS, "the end of repairs");
    await bringZonesBack(fleet);
    await fleet.advance(RECOVERY_MS);
    const sent = operators.commands.every(({ outcome }) => outcome !== undefined);
    if (!sent) {
        oracle.violation("a command has no outcome");
    }
    await probeUrgentWork(fleet);
    const standing = callers.open.filter(job => job.request.workClass === "watch");
    callers.cancel(standing);
    await fleet.until(() => callers.open.length === 0, OUTCOME_LIMIT_MS, "outcomes of all jobs");
    callers.jobs.forEach(job => {
        callers.queryOnce(job);
    });
    const isFree = (): boolean =>
        fleet.servers.every(({ used }) => used.cpuMillicores + used.memoryMebibytes === 0)
        && fleet.leader?.activeTaskCount === 0;
    await fleet.until(isFree, FREE_LIMIT_MS, "free capacity");
    await fleet.advance(1_000);
};
