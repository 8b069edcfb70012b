import { create } from "@bufbuild/protobuf";
import { ResourcesSchema } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";

/** Resource amounts as a plain object, without the type name of the protocol message. */
export interface ResourceAmounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    accelerators: number;
}

/** Zero of each resource. */
export const NO_RESOURCES: ResourceAmounts = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };

/** Returns `a + sign * b` for each resource. */
export const addResources = (a: ResourceAmounts, b: ResourceAmounts, sign: 1 | -1 = 1): ResourceAmounts => ({
    cpuMillicores: a.cpuMillicores + sign * b.cpuMillicores,
    memoryMebibytes: a.memoryMebibytes + sign * b.memoryMebibytes,
    accelerators: a.accelerators + sign * b.accelerators,
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

/** Converts amounts to a protocol message. */
export const toResources = (amounts: ResourceAmounts): Resources =>
    create(ResourcesSchema, {
        cpuMillicores: amounts.cpuMillicores,
        memoryMebibytes: amounts.memoryMebibytes,
        accelerators: amounts.accelerators,
    });
