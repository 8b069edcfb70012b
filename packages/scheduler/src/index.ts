export * from "./policy/basic-policies.js";
export * from "./policy/types.js";
export * from "./state/cluster-state.js";
export { addResources, fitsWithin, NO_RESOURCES, toResources } from "./state/resources.js";
export type { ResourceAmounts } from "./state/resources.js";
export { heldAttempt } from "./state/usage.js";
export type { Use } from "./state/usage.js";
