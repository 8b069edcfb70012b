/** Losses that must be survived: this many machines, or this many whole availability zones, at the same time. */
export interface FaultTolerance {
    machines: number;
    zones: number;
}

/** Voters that a cluster should have. */
export interface VoterPlan {
    /** Number of voters that can be reached with the known replicas. */
    voters: number;
    /** Number of voters that the tolerance requires; greater than `voters` if there are too few replicas. */
    requiredVoters: number;
    /** Largest number of voters in one zone if they are spread evenly. */
    maxVotersPerZone: number;
    /** Whether `voters`, spread evenly, survive the worst tolerated loss. */
    isSufficient: boolean;
}

/** Returns the number of voters that the majority needs. */
export const majorityOf = (voters: number): number => Math.floor(voters / 2) + 1;

/**
 * Plans the smallest number of voters, spread evenly over the zones, of which the worst tolerated loss leaves a
 * majority. A zone's loss takes all of its voters, so that more voters in a zone can require more voters in total.
 */
export const planVoters = (replicasPerZone: readonly number[], tolerance: FaultTolerance): VoterPlan => {
    const sufficient = smallestSpread(replicasPerZone, tolerance);
    if (sufficient !== undefined) {
        const voters = sumOf(sufficient);
        return { voters, requiredVoters: voters, maxVotersPerZone: Math.max(...sufficient), isSufficient: true };
    }
    const votersForMachines = 2 * tolerance.machines + 1;
    const voters = Math.min(votersForMachines, sumOf(replicasPerZone));
    return {
        voters,
        requiredVoters: requiredVoters(replicasPerZone.length, tolerance) ?? votersForMachines,
        maxVotersPerZone: Math.max(0, ...spreadEvenly(replicasPerZone, voters)),
        isSufficient: false,
    };
};

/** Returns the voters that zones with any number of replicas need; undefined if there are too few zones. */
const requiredVoters = (zones: number, tolerance: FaultTolerance): number | undefined => {
    const maxVotersPerZone = (2 * tolerance.machines + 1) * (2 * tolerance.zones + 1);
    const spread = smallestSpread(new Array<number>(zones).fill(maxVotersPerZone), tolerance);
    return spread === undefined ? undefined : sumOf(spread);
};

const smallestSpread = (replicasPerZone: readonly number[], tolerance: FaultTolerance): number[] | undefined => {
    const replicas = sumOf(replicasPerZone);
    for (let voters = 1; voters <= replicas; voters += 1) {
        const spread = spreadEvenly(replicasPerZone, voters);
        if (voters - worstLoss(spread, tolerance) >= majorityOf(voters)) {
            return spread;
        }
    }
    return undefined;
};

/** Returns the number of voters in each zone after each voter in turn is placed in the zone with the fewest. */
const spreadEvenly = (replicasPerZone: readonly number[], voters: number): number[] => {
    const spread = replicasPerZone.map(() => 0);
    for (let placed = 0; placed < voters; placed += 1) {
        const free = spread.filter((count, zone) => count < (replicasPerZone[zone] ?? 0));
        const zone = spread.findIndex((count, index) =>
            count === Math.min(...free) && count < (replicasPerZone[index] ?? 0)
        );
        spread[zone] = (spread[zone] ?? 0) + 1;
    }
    return spread;
};

const worstLoss = (votersPerZone: readonly number[], { machines, zones }: FaultTolerance): number => {
    const fullestZones = votersPerZone.toSorted((a, b) => b - a).slice(0, zones);
    return Math.max(Math.min(machines, sumOf(votersPerZone)), sumOf(fullestZones));
};

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);
