import { create } from "@bufbuild/protobuf";
import { ResourcesSchema } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";

/** Amounts without the message's type name. */
export interface ResourceAmounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    accelerators: number;
}

/** Resources of which there are none. */
export const NO_RESOURCES: ResourceAmounts = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };

export const addResources = (a: ResourceAmounts, b: ResourceAmounts, sign: 1 | -1 = 1): ResourceAmounts => ({
    cpuMillicores: a.cpuMillicores + sign * b.cpuMillicores,
    memoryMebibytes: a.memoryMebibytes + sign * b.memoryMebibytes,
    accelerators: a.accelerators + sign * b.accelerators,
});

export const scaleResources = (resources: ResourceAmounts, ratio: number): ResourceAmounts => ({
    cpuMillicores: resources.cpuMillicores * ratio,
    memoryMebibytes: resources.memoryMebibytes * ratio,
    accelerators: resources.accelerators * ratio,
});

/** True where `part` does not exceed `whole` in any resource. */
export const fitsWithin = (part: ResourceAmounts, whole: ResourceAmounts): boolean =>
    part.cpuMillicores <= whole.cpuMillicores
    && part.memoryMebibytes <= whole.memoryMebibytes
    && part.accelerators <= whole.accelerators;

export const toResources = (amounts: ResourceAmounts): Resources =>
    create(ResourcesSchema, {
        cpuMillicores: amounts.cpuMillicores,
        memoryMebibytes: amounts.memoryMebibytes,
        accelerators: amounts.accelerators,
    });
