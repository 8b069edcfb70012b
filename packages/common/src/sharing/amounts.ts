/** Resource amounts as a plain object, without the type name of a protocol message. */
export interface ResourceAmounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    accelerators: number;
}

/** Zero of each resource. */
export const NO_RESOURCES: ResourceAmounts = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };

/** Names of the resources, in the order in which they are compared. */
export const RESOURCE_NAMES = ["cpuMillicores", "memoryMebibytes", "accelerators"] as const;

/** Returns a new object with all amounts zero. */
export const zeroAmounts = (): ResourceAmounts => ({ cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 });

/** Returns `a + sign * b` for each resource. */
export const addResources = (a: ResourceAmounts, b: ResourceAmounts, sign: 1 | -1 = 1): ResourceAmounts => ({
    cpuMillicores: a.cpuMillicores + sign * b.cpuMillicores,
    memoryMebibytes: a.memoryMebibytes + sign * b.memoryMebibytes,
    accelerators: a.accelerators + sign * b.accelerators,
});

/** Adds `change` times `factor` to `target` in place. */
export const addAmounts = (target: ResourceAmounts, change: ResourceAmounts, factor = 1): void => {
    target.cpuMillicores += change.cpuMillicores * factor;
    target.memoryMebibytes += change.memoryMebibytes * factor;
    target.accelerators += change.accelerators * factor;
};

/** Returns `left - right`. */
export const subtractAmounts = (left: ResourceAmounts, right: ResourceAmounts): ResourceAmounts => ({
    cpuMillicores: left.cpuMillicores - right.cpuMillicores,
    memoryMebibytes: left.memoryMebibytes - right.memoryMebibytes,
    accelerators: left.accelerators - right.accelerators,
});

/** Multiplies each amount by the ratio, without rounding. */
export const scaleResources = (resources: ResourceAmounts, ratio: number): ResourceAmounts => ({
    cpuMillicores: resources.cpuMillicores * ratio,
    memoryMebibytes: resources.memoryMebibytes * ratio,
    accelerators: resources.accelerators * ratio,
});

/** Returns true if `part` does not exceed `whole` in any resource. */
export const fitsWithin = (part: ResourceAmounts, whole: ResourceAmounts): boolean =>
    part.cpuMillicores <= whole.cpuMillicores
    && part.memoryMebibytes <= whole.memoryMebibytes
    && part.accelerators <= whole.accelerators;

const usageRatio = (used: number, total: number): number => {
    if (used <= 0) {
        return 0;
    }
    return total > 0 ? used / total : Number.POSITIVE_INFINITY;
};

/** Returns the largest share over all resources; infinite if a resource is used whose total is zero. */
export const dominantShare = (used: ResourceAmounts, total: ResourceAmounts): number =>
    Math.max(
        usageRatio(used.cpuMillicores, total.cpuMillicores),
        usageRatio(used.memoryMebibytes, total.memoryMebibytes),
        usageRatio(used.accelerators, total.accelerators),
    );

/** Returns the dominant share divided by the weight of its holder. */
export const weightedShare = (used: ResourceAmounts, total: ResourceAmounts, weight: number): number =>
    dominantShare(used, total) / weight;
