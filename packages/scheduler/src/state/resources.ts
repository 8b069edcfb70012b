import { create } from "@bufbuild/protobuf";
import type { ResourceAmounts } from "@waxwingspread/common";
import { ResourcesSchema } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";

export {
    addAmounts,
    addResources,
    dominantShare,
    fitsWithin,
    NO_RESOURCES,
    RESOURCE_NAMES,
    scaleResources,
    subtractAmounts,
    weightedShare,
    zeroAmounts,
} from "@waxwingspread/common";
export type { ResourceAmounts } from "@waxwingspread/common";

/** Converts amounts to a protocol message. */
export const toResources = (amounts: ResourceAmounts): Resources =>
    create(ResourcesSchema, {
        cpuMillicores: amounts.cpuMillicores,
        memoryMebibytes: amounts.memoryMebibytes,
        accelerators: amounts.accelerators,
    });

/** Converts amounts to a protocol message, rounding each up to a whole number. */
export const toRoundedResources = (amounts: ResourceAmounts): Resources =>
    toResources({
        cpuMillicores: Math.ceil(amounts.cpuMillicores),
        memoryMebibytes: Math.ceil(amounts.memoryMebibytes),
        accelerators: Math.ceil(amounts.accelerators),
    });
