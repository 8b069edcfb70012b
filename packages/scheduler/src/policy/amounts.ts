import { create } from "@bufbuild/protobuf";
import { ResourcesSchema } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";

/** Amounts of each resource as plain numbers, independent of the protobuf message. */
export interface Amounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    accelerators: number;
}

/** Names of the resources, in the order in which they are compared. */
export const RESOURCE_NAMES = ["cpuMillicores", "memoryMebibytes", "accelerators"] as const;

/** Returns a new object with all amounts zero. */
export const zeroAmounts = (): Amounts => ({ cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 });

/** Adds `change` times `factor` to `target` in place. */
export const addAmounts = (target: Amounts, change: Amounts, factor = 1): void => {
    target.cpuMillicores += change.cpuMillicores * factor;
    target.memoryMebibytes += change.memoryMebibytes * factor;
    target.accelerators += change.accelerators * factor;
};

/** Returns `left - right`. */
export const subtractAmounts = (left: Amounts, right: Amounts): Amounts => ({
    cpuMillicores: left.cpuMillicores - right.cpuMillicores,
    memoryMebibytes: left.memoryMebibytes - right.memoryMebibytes,
    accelerators: left.accelerators - right.accelerators,
});

/** Returns the amounts multiplied by a factor. */
export const scaleAmounts = (amounts: Amounts, factor: number): Amounts => ({
    cpuMillicores: amounts.cpuMillicores * factor,
    memoryMebibytes: amounts.memoryMebibytes * factor,
    accelerators: amounts.accelerators * factor,
});

/** Returns true if `required` does not exceed `free` in any resource. */
export const fitsWithin = (required: Amounts, free: Amounts): boolean =>
    required.cpuMillicores <= free.cpuMillicores
    && required.memoryMebibytes <= free.memoryMebibytes
    && required.accelerators <= free.accelerators;

const usageRatio = (used: number, total: number): number => {
    if (used <= 0) {
        return 0;
    }
    return total > 0 ? used / total : Number.POSITIVE_INFINITY;
};

/** Returns the largest share over all resources; infinite if a resource is used whose total is zero. */
export const dominantShare = (used: Amounts, total: Amounts): number =>
    Math.max(
        usageRatio(used.cpuMillicores, total.cpuMillicores),
        usageRatio(used.memoryMebibytes, total.memoryMebibytes),
        usageRatio(used.accelerators, total.accelerators),
    );

/** Converts the amounts to a protobuf message, rounding each up to a whole number. */
export const toResources = (amounts: Amounts): Resources =>
    create(ResourcesSchema, {
        cpuMillicores: Math.ceil(amounts.cpuMillicores),
        memoryMebibytes: Math.ceil(amounts.memoryMebibytes),
        accelerators: Math.ceil(amounts.accelerators),
    });
